/**
 * When each piece of an engine's stage was last found intact, and what that proves of the weights that the engine loads.
 *
 * An engine loads what is in its stage at the moment at which it accepts an order, and a staged piece may become corrupt at any
 * moment. A check holds for the moment at which it began, so whatever acts on it bounds its age: an order is sent only on
 * young checks, and a piece counts as proven only if its check was still valid when the order had certainly been accepted, or if
 * it was read back intact after that. A corrupt piece stays corrupt until it is written again, so the latter proves that it was
 * intact all the time since the order was sent, if nothing was written in between. Times are in milliseconds of the monotonic clock.
 */

/**
 * A check is valid for this long, in milliseconds: engines must not load a piece that has been corrupt for 3 s. The rest allows for
 * clocks that do not run at the same rate.
 */
export const CHECK_VALIDITY = 2_500;
/**
 * Maximum age of the oldest check when an order is sent, in milliseconds. An order that is answered within the rest of the validity
 * was accepted while all checks were valid.
 */
export const MAX_CHECK_AGE = 2_000;

/** The time in which an engine has accepted an order: no sooner than `from`, no later than `by`. */
export interface AcceptanceTime {
  from: number;
  by: number;
}

/** The checks of the pieces of one version in one engine's stage. */
export class StageChecks {
  readonly #intactAt: number[];
  readonly #otherWritesUntil: number;
  /** Pieces that were corrupt when they were last read. */
  readonly #corrupt = new Set<number>();
  /** The time in which each piece may have been corrupt for longer than a check is valid. */
  readonly #doubtful = new Map<number, { after: number; until: number }>();
  /** Pieces that a late write may overwrite with other bytes, and those that one may mend unnoticed; until when it is expected. */
  readonly #overwritable = new Map<number, number>();
  readonly #mendable = new Map<number, number>();

  /** @param otherWritesUntil - until when writes of another process may overwrite any piece, with other bytes or with the same */
  constructor(pieces: number, otherWritesUntil = Number.NEGATIVE_INFINITY) {
    this.#otherWritesUntil = otherWritesUntil;
    this.#intactAt = new Array(pieces).fill(Number.NEGATIVE_INFINITY);
  }

  /**
   * A write of `piece` has had no answer and may still be carried out, with the bytes of this version or with others.
   * @param until - until when it is expected
   */
  noteLateWrite(piece: number, bytes: 'sameBytes' | 'otherBytes', until: number): void {
    const pieces = bytes === 'sameBytes' ? this.#mendable : this.#overwritable;
    pieces.set(piece, Math.max(until, pieces.get(piece) ?? until));
  }

  /** When the oldest check of `pieces` began; minus infinity if one of them was not found intact when it was last read. */
  oldestOf(pieces: readonly number[]): number {
    const times = pieces.map((piece) =>
      this.#corrupt.has(piece) ? Number.NEGATIVE_INFINITY : this.#checkedAt(piece),
    );
    return Math.min(...times);
  }

  /** Those of `pieces` whose check is older than `time`, and the corrupt ones. */
  uncheckedSince(time: number, pieces: readonly number[]): number[] {
    return pieces.filter((piece) => this.oldestOf([piece]) < time);
  }

  /** A read that began at `askedAt` and was answered at `answeredAt` has found the piece intact. */
  noteIntact(piece: number, askedAt: number, answeredAt: number): void {
    const checkedAt = this.#checkedAt(piece);
    if (this.#corrupt.delete(piece)) this.#noteDoubtful(piece, this.#validUntil(piece), answeredAt);
    else if (this.#mendable.has(piece) || checkedAt < this.#otherWritesUntil)
      this.#noteDoubtful(piece, this.#mendableAfter(piece), answeredAt);
    this.#intactAt[piece] = Math.max(checkedAt, askedAt);
  }

  /** From when on the piece may have been overwritten, or corrupt for longer than a check is valid, and mended since. */
  #mendableAfter(piece: number): number {
    return this.#checkedAt(piece) + (this.isProvable(piece) ? CHECK_VALIDITY : 0);
  }

  #noteDoubtful(piece: number, after: number, until: number): void {
    // No order is sent before the first check.
    if (until <= after || after === Number.NEGATIVE_INFINITY) return;
    const known = this.#doubtful.get(piece);
    this.#doubtful.set(piece, { after: Math.min(after, known?.after ?? after), until });
  }

  noteCorrupt(piece: number): void {
    this.#corrupt.add(piece);
  }

  /** Whether the piece was corrupt when it was last read. */
  isCorrupt(piece: number): boolean {
    return this.#corrupt.has(piece);
  }

  /**
   * Whether a read after an order can prove the piece: since its check, it is not to be expected that a late write overwrites it and
   * another one mends it.
   */
  isProvable(piece: number): boolean {
    const [overwritten, mended] = [this.#overwritable.get(piece), this.#mendable.get(piece)];
    if (overwritten === undefined || mended === undefined) return true;
    return this.#checkedAt(piece) >= Math.min(overwritten, mended);
  }

  /** Those of `pieces` that are not proven to have been sound whenever the engine accepted the order. */
  unproven({ from, by }: AcceptanceTime, pieces: readonly number[]): number[] {
    const isDoubtful = (piece: number) => {
      const doubtful = this.#doubtful.get(piece);
      return doubtful !== undefined && doubtful.until >= from && doubtful.after < by;
    };
    return pieces.filter((piece) => isDoubtful(piece) || this.#validUntil(piece) < by);
  }

  #checkedAt(piece: number): number {
    return this.#intactAt[piece] ?? Number.NEGATIVE_INFINITY;
  }

  /** A check does not outlast its beginning if other bytes may have been written since. */
  #validUntil(piece: number): number {
    const checkedAt = this.#checkedAt(piece);
    const isOverwritable = this.#overwritable.has(piece) || checkedAt < this.#otherWritesUntil;
    return checkedAt + (isOverwritable ? 0 : CHECK_VALIDITY);
  }
}
