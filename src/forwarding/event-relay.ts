/**
 * Splits a stream of server-sent events at event boundaries and tracks the id of the last whole event, so that another back
 * end can resume the stream after it. Each byte is searched once and copied a bounded number of times.
 */
import { GrowingBuffer } from './growing-buffer.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = 'id:';
/** A line with an id. A value with a line end inside is none: it could not be sent in a header when a stream is resumed. */
const ID_LINE = /^id: ?(.*)$/;

export class EventRelay {
  /** The beginning of an event that is not whole yet. */
  #incomplete = new GrowingBuffer();
  /** Whether the incomplete event consists of more than line ends. */
  #isInsideEvent = false;
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
    return this.#isInsideEvent;
  }

  /** Number of bytes held of an event that is not whole yet. */
  get incompleteBytes(): number {
    return this.#incomplete.byteLength;
  }

  /** Adds bytes of the stream; returns all whole events that are now available, undefined if there are none. */
  push(chunk: Buffer): Buffer | undefined {
    const end = this.#endOfLastEvent(chunk);
    if (end === 0) {
      this.#incomplete.append(chunk);
      this.#isInsideEvent ||= hasContent(chunk);
      return undefined;
    }
    this.#incomplete.append(chunk.subarray(0, end));
    const whole = this.#incomplete.take();
    const rest = chunk.subarray(end);
    this.#incomplete.append(rest);
    this.#isInsideEvent = hasContent(rest);
    this.#hasEvents = true;
    this.#lastEventId = findLastId(whole) ?? this.#lastEventId;
    return whole;
  }

  /** Call at the proper end of the stream: returns the bytes after the last whole event. */
  end(): Buffer {
    this.#isInsideEvent = false;
    return this.#incomplete.take();
  }

  /** Offset in `chunk` after the last empty line, which ends an event; 0 if no empty line ends in it. */
  #endOfLastEvent(chunk: Buffer): number {
    let index = chunk.lastIndexOf(LINE_FEED);
    while (index >= 0) {
      const before = this.#byteAt(chunk, index - 1) === CARRIAGE_RETURN ? index - 2 : index - 1;
      if (this.#byteAt(chunk, before) === LINE_FEED) return index + 1;
      index = index === 0 ? -1 : chunk.lastIndexOf(LINE_FEED, index - 1);
    }
    return 0;
  }

  /** A byte of `chunk`, or of the incomplete event before it for a negative index; undefined before its beginning. */
  #byteAt(chunk: Buffer, index: number): number | undefined {
    return index >= 0 ? chunk[index] : this.#incomplete.byteAt(this.#incomplete.byteLength + index);
  }
}

function hasContent(bytes: Buffer): boolean {
  return bytes.some((byte) => byte !== LINE_FEED && byte !== CARRIAGE_RETURN);
}

/** The value of the last line with an id; undefined if there is none. */
function findLastId(events: Buffer): string | undefined {
  let start = startOfIdLine(events, events.byteLength);
  while (start >= 0) {
    const lineEnd = events.indexOf(LINE_FEED, start);
    const end = events[lineEnd - 1] === CARRIAGE_RETURN ? lineEnd - 1 : lineEnd;
    const id = ID_LINE.exec(events.toString('latin1', start, end));
    if (id !== null) return id[1];
    start = startOfIdLine(events, start - 1);
  }
  return undefined;
}

/** Offset of the last line before `end` that begins as one with an id does; negative if there is none. */
function startOfIdLine(events: Buffer, end: number): number {
  // A negative offset would be one from the end.
  if (end <= 0) return -1;
  const lineFeed = events.lastIndexOf(`\n${ID_FIELD}`, end - 1);
  if (lineFeed >= 0) return lineFeed + 1;
  return events.toString('latin1', 0, ID_FIELD.length) === ID_FIELD ? 0 : -1;
}
