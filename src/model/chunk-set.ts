/**
 * A set of chunk indexes of one weight version, held as a bitmap.
 *
 * @example
 * ```ts
 * const have = new ChunkSet(256);
 * have.add(3);
 * have.size; // 1
 * ```
 */
export class ChunkSet {
  /** Number of chunks in the version; valid indexes are `0 .. capacity - 1`. */
  readonly capacity: number;
  readonly words: Uint32Array;
  #size = 0;

  constructor(capacity: number) {
    this.capacity = capacity;
    this.words = new Uint32Array(Math.ceil(capacity / 32));
  }

  /** Creates a set from the bytes of {@link toBytes}; bits beyond `capacity` are ignored. */
  static fromBytes(capacity: number, bytes: Uint8Array): ChunkSet {
    const set = new ChunkSet(capacity);
    for (let chunk = 0; chunk < capacity; chunk++) {
      if ((bytes[chunk >>> 3] >>> (chunk & 7)) & 1) set.add(chunk);
    }
    return set;
  }

  /** Number of chunks in the set. */
  get size(): number {
    return this.#size;
  }

  get complete(): boolean {
    return this.#size === this.capacity;
  }

  has(chunk: number): boolean {
    return ((this.words[chunk >>> 5] >>> (chunk & 31)) & 1) === 1;
  }

  /** Adds a chunk; returns false if it is already present or its index is out of range. */
  add(chunk: number): boolean {
    if (chunk < 0 || chunk >= this.capacity || this.has(chunk)) return false;
    this.words[chunk >>> 5] |= 1 << (chunk & 31);
    this.#size++;
    return true;
  }

  /** The bitmap sent between processes: one bit per chunk, least significant bit first. */
  toBytes(): Uint8Array {
    const bytes = new Uint8Array(Math.ceil(this.capacity / 8));
    for (let chunk = 0; chunk < this.capacity; chunk++) {
      if (this.has(chunk)) bytes[chunk >>> 3] |= 1 << (chunk & 7);
    }
    return bytes;
  }

  /** The chunks in ascending order. */
  *values(): Generator<number> {
    for (let chunk = 0; chunk < this.capacity; chunk++) {
      if (this.has(chunk)) yield chunk;
    }
  }
}
