/**
 * Lines for a reader that may be slow or stop: the writer never waits for it. Of each kind of line only so many are
 * written a second, and none while too much waits to be read; what was left out is counted and told.
 */

/** Lines of one kind a second. */
const MAX_LINES_PER_WINDOW = 40;
const WINDOW_MS = 1_000;
/** Bytes that may wait to be read. */
const MAX_BUFFERED_BYTES = 262_144;

/** Where lines go: a stream that takes what it is given and tells how much waits. */
export interface LineStream {
  write(text: string): unknown;
  readonly writableLength: number;
}

/** The writer of one process. */
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

  /** Writes a line of a kind, or counts it as left out. */
  write(kind: string, line: string): void {
    if (this.admits(kind)) this.writeAdmitted(line);
  }

  /** Whether one more line of a kind may be written; where not, it counts as left out. */
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
