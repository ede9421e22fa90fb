/**
 * Relays a stream of server-sent events so that it can go on at another back end: only whole events are passed on, and
 * the identity of the last one is known.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(.*)$/;

/** The events of one answer. */
export class EventRelay {
  #held: Buffer = Buffer.alloc(0);
  #lastEventId: string | undefined;

  /** @param lastEventId - the event after which the stream goes on, where it does */
  constructor(lastEventId: string | undefined) {
    this.#lastEventId = lastEventId;
  }

  /** Identity of the last event that was passed on. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Takes bytes of the stream; returns those that complete events, with what was held of the first. */
  push(chunk: Buffer): Buffer | undefined {
    const bytes = this.#held.byteLength === 0 ? chunk : Buffer.concat([this.#held, chunk]);
    const end = endOfLastEvent(bytes);
    this.#held = bytes.subarray(end);
    if (end === 0) return undefined;
    const whole = bytes.subarray(0, end);
    this.#lastEventId = lastIdIn(whole) ?? this.#lastEventId;
    return whole;
  }

  /** The stream ended properly: returns what is left. */
  end(): Buffer {
    const rest = this.#held;
    this.#held = Buffer.alloc(0);
    return rest;
  }
}

/** Offset after the last empty line, which ends an event; 0 where there is none. */
function endOfLastEvent(bytes: Buffer): number {
  for (let index = bytes.byteLength - 1; index > 0; index--) {
    if (bytes[index] !== LINE_FEED) continue;
    const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
    if (before >= 0 && bytes[before] === LINE_FEED) return index + 1;
  }
  return 0;
}

function lastIdIn(events: Buffer): string | undefined {
  const lines = events.toString('latin1').split(/\r?\n/);
  for (let index = lines.length - 1; index >= 0; index--) {
    const id = ID_FIELD.exec(lines[index]);
    if (id !== null) return id[1];
  }
  return undefined;
}
