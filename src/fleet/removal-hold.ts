/**
 * Holds back removals of back ends for a short time after the store has returned from an outage or from an older copy of its
 * data: their records may have expired although they are running, and those that are running write their records again.
 */
import type { StoreRevision } from '../clients/store-revision.js';
import type { BackEndRemoval } from './back-end-list.js';

/** How long removals are held back, in milliseconds; running back ends write their records again within two seconds. */
const HOLD_TIME = 1_900;

/** The removals that are held back. */
export class RemovalHold {
  readonly #onEnd: (removals: readonly BackEndRemoval[]) => void;
  readonly #held = new Map<string, BackEndRemoval>();
  /** Back ends that have written their records since the store returned; their removals are not expirations. */
  readonly #written = new Set<string>();
  #returnedAt: StoreRevision = 0;
  #isActive = false;
  #timer: NodeJS.Timeout | undefined;

  /** @param onEnd - receives the removals of back ends that have not written their records when the hold ends */
  constructor(onEnd: (removals: readonly BackEndRemoval[]) => void) {
    this.#onEnd = onEnd;
  }

  /** Begins when the store has returned; `revision` is its newest revision at that time. */
  begin(revision: StoreRevision): void {
    this.#returnedAt = revision;
    this.#isActive = true;
    this.#written.clear();
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.end(), HOLD_TIME);
  }

  /** Whether removals are being held back. */
  get isActive(): boolean {
    return this.#isActive;
  }

  /** Whether the removal of a back end is held back. */
  isHeld(id: string): boolean {
    return this.#held.has(id);
  }

  /** Holds a removal back; returns false if it is to be applied. */
  hold(removal: BackEndRemoval): boolean {
    if (!this.#isActive || this.#written.has(removal.id)) return false;
    this.#held.set(removal.id, removal);
    return true;
  }

  /** Records that a back end has written its record. */
  noteWritten(id: string, revision: StoreRevision): void {
    this.#held.delete(id);
    if (this.#isActive && revision > this.#returnedAt) this.#written.add(id);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  /** Ends now. */
  end(): void {
    clearTimeout(this.#timer);
    this.#isActive = false;
    const removals = [...this.#held.values()];
    this.#held.clear();
    this.#written.clear();
    if (removals.length > 0) this.#onEnd(removals);
  }
}
