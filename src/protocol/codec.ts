/**
 * Encodes messages with MessagePack. The message's type goes as its number and its fields by position, so
 * that a message costs its content and not its field names; nested objects go as maps.
 */
import { Packr } from 'msgpackr';
import type { Stamp } from '../observability/hybrid-clock.js';
import { MESSAGE_FIELDS, type Message } from './messages.js';

/** A frame that is not a message of this protocol. */
export interface DecodeError {
  type: 'malformedMessage';
  reason: string;
}

/** The outcome of decoding one frame. */
export type Decoded = { ok: true; message: Message; stamp: Stamp } | { ok: false; error: DecodeError };

/**
 * Nested objects that are sent often: their field names are known on both sides and are not sent. Other objects
 * carry their names with them.
 */
const KNOWN_OBJECTS = [
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
];

const packr = new Packr({
  structures: KNOWN_OBJECTS,
  maxSharedStructures: KNOWN_OBJECTS.length,
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

/** The message in `frame`, or why there is none. */
export function decode(frame: Uint8Array): Decoded {
  let values: unknown;
  try {
    values = packr.unpack(frame);
  } catch (cause) {
    return malformed(String(cause));
  }
  if (!Array.isArray(values)) return malformed('not a sequence of fields');
  const type = TYPES[values[0] as number];
  if (type === undefined) return malformed(`unknown message number ${String(values[0])}`);
  const names = MESSAGE_FIELDS[type];
  if (values.length !== names.length + 1) return malformed(`${type} has ${values.length - 1} fields`);
  const message: Record<string, unknown> = { type };
  for (let index = 1; index < names.length; index++) message[names[index]] = values[index] ?? undefined;
  const stamp = Number(values[names.length]);
  return { ok: true, message: message as unknown as Message, stamp };
}

function malformed(reason: string): Decoded {
  return { ok: false, error: { type: 'malformedMessage', reason } };
}
