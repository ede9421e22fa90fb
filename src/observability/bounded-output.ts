/**
 * Lines for a reader that may be slow or stop: the writer never waits for it. Of each kind of line only so many are
 * written a second, and none while too much waits to be read; what was left out is counted and told.
 */

/** Lines of one kind a second. */
const LINES_OF_KIND = 40;
const WINDOW = 1_000;
/** Bytes that may wait to be read. */
const WAITING_BYTES = 262_144;

/** Where lines go: a stream that takes what it is given and tells how much waits. */
export interface LineStream {
  write(text: string): unknown;
  readonly writableLength: number;
}

/** The writer of one process. */
export class BoundedOutput {
  readonly #stream: LineStream;
  readonly #clock: () => number;
  readonly #counts = new Map<string, number>();
  readonly #leftOut = new Map<string, number>();
  #windowStart = Number.NEGATIVE_INFINITY;

  constructor(stream: LineStream, clock: () => number = () => performance.now()) {
    this.#stream = stream;
    this.#clock = clock;
  }

  /** Writes a line of a kind, or counts it as left out. */
  write(kind: string, line: string): void {
    if (this.admits(kind)) this.put(line);
  }

  /** Whether one more line of a kind may be written; where not, it counts as left out. */
  admits(kind: string): boolean {
    const now = this.#clock();
    if (now - this.#windowStart >= WINDOW) this.#beginWindow(now);
    const count = (this.#counts.get(kind) ?? 0) + 1;
    this.#counts.set(kind, count);
    if (count <= LINES_OF_KIND && this.#stream.writableLength < WAITING_BYTES) return true;
    this.#leftOut.set(kind, (this.#leftOut.get(kind) ?? 0) + 1);
    return false;
  }

  /** Writes a line that was admitted. */
  put(line: string): void {
    this.#stream.write(`${line}\n`);
  }

  #beginWindow(now: number): void {
    this.#windowStart = now;
    this.#counts.clear();
    if (this.#leftOut.size === 0 || this.#stream.writableLength >= WAITING_BYTES) return;
    this.#stream.write(
      `${JSON.stringify({ message: 'lines left out', ...Object.fromEntries(this.#leftOut) })}\n`,
    );
    this.#leftOut.clear();
  }
}
