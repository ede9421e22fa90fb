/**
 * How much a process sends of weights at the same time. As a version comes to the first entry of a zone, all others want it from
 * there: nine that ask for two batches of 590 kB each share a link of 40 Mbit/s, so that every batch takes longer than the 2 s
 * after which it is given up, and nobody has anything of it. Here as many batches go out as the link carries soon, and the others
 * are refused at once: whoever is refused asks an entry that has a batch by then. In virtual time ten entries with links of 28
 * Mbit/s have a version after 2.1 s; without this they do not within 15 s, and 108 batches are given up on their way.
 */

/** Bytes of batches for entries that are on their way at the same time: 0.4 s of a link of 40 Mbit/s. */
const MOST_BYTES = 2_000_000;
/**
 * Pieces that agents ask for at a time. Their links are narrow, so that those which an entry serves do not fill its own: such
 * batches are not refused.
 */
export const SMALL_BATCH = 3;

/** What one process sends. */
export class UploadLimit {
  #bytes = 0;

  /** Bytes of large batches on their way. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Whether a batch of `pieces` with `bytes` in all may go out now; if so, `end` must be called with the same numbers. */
  begin(pieces: number, bytes: number): boolean {
    if (pieces <= SMALL_BATCH) return true;
    // One batch goes out however large it is.
    if (this.#bytes > 0 && this.#bytes + bytes > MOST_BYTES) return false;
    this.#bytes += bytes;
    return true;
  }

  /** A batch has gone out, or was given up. */
  end(pieces: number, bytes: number): void {
    if (pieces > SMALL_BATCH) this.#bytes -= bytes;
  }
}
