/**
 * Splits a stream of server-sent events at event boundaries and tracks the id of the last whole event, so that another back
 * end can resume the stream after it.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(.*)$/;

export class EventRelay {
  #incomplete: Buffer = Buffer.alloc(0);
  #lastEventId: string | undefined;
  #hasEvents = false;

  /** @param lastEventId - id of the event after which the stream resumes; undefined to start at its beginning */
  constructor(lastEventId: string | undefined) {
    this.#lastEventId = lastEventId;
  }

  /** Id of the last whole event that `push` returned, or of the event after which the stream resumes. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Whether `push` has returned any event. */
  get hasEvents(): boolean {
    return this.#hasEvents;
  }

  /** Whether bytes of an event have arrived that is not whole yet. */
  get isInsideEvent(): boolean {
    return this.#incomplete.some((byte) => byte !== LINE_FEED && byte !== CARRIAGE_RETURN);
  }

  /** Adds bytes of the stream; returns all whole events that are now available, undefined if there are none. */
  push(chunk: Buffer): Buffer | undefined {
    const bytes = this.#incomplete.byteLength === 0 ? chunk : Buffer.concat([this.#incomplete, chunk]);
    const end = endOfLastEvent(bytes);
    this.#incomplete = bytes.subarray(end);
    if (end === 0) return undefined;
    const whole = bytes.subarray(0, end);
    this.#hasEvents = true;
    this.#lastEventId = findLastId(whole) ?? this.#lastEventId;
    return whole;
  }

  /** Call at the proper end of the stream: returns the bytes after the last whole event. */
  end(): Buffer {
    const rest = this.#incomplete;
    this.#incomplete = Buffer.alloc(0);
    return rest;
  }
}

/** Offset after the last empty line, which ends an event; 0 if there is none. */
function endOfLastEvent(bytes: Buffer): number {
  for (let index = bytes.byteLength - 1; index > 0; index--) {
    if (bytes[index] !== LINE_FEED) continue;
    const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
    if (before >= 0 && bytes[before] === LINE_FEED) return index + 1;
  }
  return 0;
}

function findLastId(events: Buffer): string | undefined {
  const lines = events.toString('latin1').split(/\r?\n/);
  for (let index = lines.length - 1; index >= 0; index--) {
    const id = ID_FIELD.exec(lines[index]);
    if (id !== null) return id[1];
  }
  return undefined;
}
