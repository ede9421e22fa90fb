/**
 * Limits the weights that a process uploads concurrently. When a version arrives at the first entry of a zone, all others
 * request it from there. If nine entries requested two batches of 590 kB each over a link of 40 Mbit/s, every batch would
 * take longer than its timeout of 2 s, and none would be received. Therefore only as many batches are sent as the link can
 * carry soon, and the others are refused immediately; a refused entry asks one that has received a batch by then. In
 * simulation, ten entries with links of 28 Mbit/s have a version after 2.1 s; without the limit they do not have it within
 * 15 s, and 108 batches time out in flight.
 */

/** Maximum number of bytes of batches for entries in flight at the same time: 0.4 s of a link of 40 Mbit/s. */
const MAX_BYTES = 2_000_000;
/**
 * Largest batch, in pieces, that is never refused: agents request no more at a time. Agents' links are narrow, so the
 * agents that an entry serves cannot saturate its link.
 */
export const SMALL_BATCH = 3;

/** Tracks the batches that one process is uploading. */
export class UploadLimit {
  #bytes = 0;

  /** Bytes of large batches in flight. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Whether a batch of `pieces` with `bytes` in total may be sent now. If so, `end` must be called with the same values. */
  begin(pieces: number, bytes: number): boolean {
    if (pieces <= SMALL_BATCH) return true;
    // A single batch is sent regardless of its size.
    if (this.#bytes > 0 && this.#bytes + bytes > MAX_BYTES) return false;
    this.#bytes += bytes;
    return true;
  }

  /** Records that a batch was sent completely or abandoned. */
  end(pieces: number, bytes: number): void {
    if (pieces > SMALL_BATCH) this.#bytes -= bytes;
  }
}
