/**
 * Encodes messages with MessagePack. The message's type goes as its number and its fields by position, so
 * that a message costs its content and not its field names; nested objects go as maps.
 */
import { Packr } from 'msgpackr';
import type { Stamp } from '../model/hybrid-clock.js';
import { MESSAGE_FIELDS, type Message } from './messages.js';

/** A frame that is not a message of this protocol. */
export interface DecodeError {
  type: 'malformedMessage';
  reason: string;
}

/** A message with the sender's causal clock, and what it took of the frame. */
export interface StampedMessage {
  message: Message;
  stamp: Stamp;
}

/** The outcome of decoding one frame, which holds one message or several. */
export type Decoded = { ok: true; messages: StampedMessage[] } | { ok: false; error: DecodeError };

/**
 * Nested objects that are sent often: their field names are known on both sides and are not sent. Other objects
 * carry their names with them.
 */
const RECORD_STRUCTURES = [
  ['id', 'address', 'place', 'region', 'zone'],
  ['grantId', 'chunk', 'source'],
  ['type', 'peer'],
  ['type'],
  ['id', 'active', 'held'],
  ['id', 'address', 'callerAddress', 'place', 'zone', 'leaving', 'sequence'],
  [
    'sequence',
    'info',
    'operatorAddress',
    'backEnd',
    'pool',
    'leaving',
    'versions',
    'active',
    'capacity',
    'ownership',
  ],
  ['version', 'bytesHeld', 'bytesTotal', 'ready', 'problem'],
  ['epoch', 'heldFor', 'movesAcknowledged'],
  [
    'id',
    'address',
    'callerAddress',
    'zone',
    'region',
    'isReady',
    'configurationRevision',
    'backEndsRevision',
    'storeTime',
    'versions',
    'entriesKnown',
    'loads',
    'held',
    'engines',
  ],
  ['model', 'version', 'age'],
  ['model', 'version', 'count', 'have', 'stored'],
  [
    'address',
    'slotAddress',
    'version',
    'isReached',
    'isSwitching',
    'load',
    'switchesIn',
    'held',
    'start',
    'follows',
  ],
  ['id', 'start', 'inFlight'],
];

const packr = new Packr({
  structures: RECORD_STRUCTURES,
  maxSharedStructures: RECORD_STRUCTURES.length,
  encodeUndefinedAsNil: true,
});
const TYPES = Object.keys(MESSAGE_FIELDS) as Array<Message['type']>;
const TYPE_NUMBERS = new Map(TYPES.map((type, index) => [type, index]));

/** The bytes of `message`; `stamp` is the sender's causal clock. */
export function encode(message: Message, stamp: Stamp): Buffer {
  const fields = message as unknown as Record<string, unknown>;
  const values = MESSAGE_FIELDS[message.type].map((name) => fields[name]);
  values[0] = TYPE_NUMBERS.get(message.type);
  values.push(stamp);
  return packr.pack(values);
}

/** The messages in `frame`, one encoding after the other, or why there are none. */
export function decode(frame: Uint8Array): Decoded {
  let encodings: unknown;
  try {
    encodings = packr.unpackMultiple(frame as Buffer);
  } catch (cause) {
    return malformed(String(cause));
  }
  const messages: StampedMessage[] = [];
  for (const values of encodings as unknown[]) {
    const message = messageOf(values);
    if (typeof message === 'string') return malformed(message);
    messages.push(message);
  }
  return messages.length === 0 ? malformed('no message') : { ok: true, messages };
}

/** The message in these values, or what is wrong with them. */
function messageOf(values: unknown): StampedMessage | string {
  if (!Array.isArray(values)) return 'not a sequence of fields';
  const type = TYPES[values[0] as number];
  if (type === undefined) return `unknown message number ${String(values[0])}`;
  const names = MESSAGE_FIELDS[type];
  if (values.length !== names.length + 1) return `${type} has ${values.length - 1} fields`;
  const message: Record<string, unknown> = { type };
  for (let index = 1; index < names.length; index++) message[names[index]] = values[index] ?? undefined;
  return { message: message as unknown as Message, stamp: Number(values[names.length]) };
}

function malformed(reason: string): Decoded {
  return { ok: false, error: { type: 'malformedMessage', reason } };
}
