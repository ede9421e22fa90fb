/**
 * Writes lines to a stream whose reader may be slow or stopped, without waiting for it. Each kind of line is limited per
 * second, and no line is written while too many bytes are buffered; omitted lines are counted and their number is written.
 */

/** Maximum number of lines of one kind per second. */
const MAX_LINES_PER_WINDOW = 40;
const WINDOW_MS = 1_000;
/** Lines are omitted while this many bytes or more are buffered. */
const MAX_BUFFERED_BYTES = 262_144;

/** A stream that accepts every write and reports how many bytes it has buffered. */
export interface LineStream {
  write(text: string): unknown;
  readonly writableLength: number;
}

/** The bounded output of one process. */
export class BoundedOutput {
  readonly #stream: LineStream;
  readonly #clock: () => number;
  readonly #lineCounts = new Map<string, number>();
  readonly #omittedCounts = new Map<string, number>();
  #windowStart = Number.NEGATIVE_INFINITY;

  constructor(stream: LineStream, clock: () => number = () => performance.now()) {
    this.#stream = stream;
    this.#clock = clock;
  }

  /** Writes a line of a kind, or counts it as omitted. */
  write(kind: string, line: string): void {
    if (this.admits(kind)) this.writeAdmitted(line);
  }

  /** Returns whether one more line of a kind may be written; if not, counts it as omitted. */
  admits(kind: string): boolean {
    const now = this.#clock();
    if (now - this.#windowStart >= WINDOW_MS) this.#beginWindow(now);
    const count = (this.#lineCounts.get(kind) ?? 0) + 1;
    this.#lineCounts.set(kind, count);
    if (count <= MAX_LINES_PER_WINDOW && this.#stream.writableLength < MAX_BUFFERED_BYTES) return true;
    this.#omittedCounts.set(kind, (this.#omittedCounts.get(kind) ?? 0) + 1);
    return false;
  }

  /** Writes a line that was admitted. */
  writeAdmitted(line: string): void {
    this.#stream.write(`${line}\n`);
  }

  #beginWindow(now: number): void {
    this.#windowStart = now;
    this.#lineCounts.clear();
    if (this.#omittedCounts.size === 0 || this.#stream.writableLength >= MAX_BUFFERED_BYTES) return;
    this.#stream.write(
      `${JSON.stringify({ message: 'lines left out', ...Object.fromEntries(this.#omittedCounts) })}\n`,
    );
    this.#omittedCounts.clear();
  }
}
