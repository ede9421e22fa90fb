/** Collects bytes that arrive in parts. Its capacity doubles when it is full, so each byte is copied a bounded number of times. */

const EMPTY = Buffer.alloc(0);

export class GrowingBuffer {
  /** A part that was appended to an empty buffer is kept as it is, without a copy. */
  #bytes: Buffer = EMPTY;
  #length = 0;

  get byteLength(): number {
    return this.#length;
  }

  /** The byte at `index`; undefined outside of what was appended. */
  byteAt(index: number): number | undefined {
    return index < this.#length ? this.#bytes[index] : undefined;
  }

  append(part: Buffer): void {
    if (this.#length === 0) {
      this.#bytes = part;
      this.#length = part.byteLength;
      return;
    }
    const length = this.#length + part.byteLength;
    if (length > this.#bytes.byteLength) this.#grow(length);
    part.copy(this.#bytes, this.#length);
    this.#length = length;
  }

  /** Removes and returns what was appended. */
  take(): Buffer {
    const bytes = this.#bytes.subarray(0, this.#length);
    this.#bytes = EMPTY;
    this.#length = 0;
    return bytes;
  }

  #grow(length: number): void {
    const grown = Buffer.allocUnsafe(Math.max(length, 2 * this.#bytes.byteLength));
    this.#bytes.copy(grown, 0, 0, this.#length);
    this.#bytes = grown;
  }
}
