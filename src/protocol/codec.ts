/**
 * Encodes messages with MessagePack. A message is sent as an array that starts with the number of its type and
 * continues with its field values by position, so field names take no space; nested objects are sent as maps.
 */
import { Packr } from 'msgpackr';
import type { Stamp } from '../model/hybrid-clock.js';
import { MESSAGE_FIELDS, type Message } from './messages.js';

/** A frame that is not a message of this protocol. */
export interface DecodeError {
  type: 'malformedMessage';
  reason: string;
}

/** A message with the stamp of the sender's hybrid logical clock. */
export interface StampedMessage {
  message: Message;
  stamp: Stamp;
}

/** The result of decoding one frame, which holds one or more messages. */
export type Decoded = { ok: true; messages: StampedMessage[] } | { ok: false; error: DecodeError };

/**
 * MessagePack record structures of nested objects that are sent often: both sides know these field names, so they are not
 * sent. Other objects are sent with their field names.
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

/** Encodes `message`; `stamp` is the current stamp of the sender's clock. */
export function encode(message: Message, stamp: Stamp): Buffer {
  const fields = message as unknown as Record<string, unknown>;
  const values = MESSAGE_FIELDS[message.type].map((name) => fields[name]);
  values[0] = TYPE_NUMBERS.get(message.type);
  values.push(stamp);
  return packr.pack(values);
}

/** Decodes the concatenated messages in `frame`; a frame with one malformed message is rejected as a whole. */
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

/** Builds a message from its decoded values, or returns the reason why they are malformed. */
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
