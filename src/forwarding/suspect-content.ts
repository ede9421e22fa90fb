/** The content of one request, as far as back ends may crash under it. Its fingerprints are taken only where they are needed. */
import type { Fingerprint, PoisonDecision } from '../systems/poison-requests.js';
import type { BackEndRow } from './back-end-table.js';
import type { PoisonGuard } from './poison-guard.js';

/** The content of one request. */
export class SuspectContent {
  readonly #guard: PoisonGuard;
  readonly #take: () => Fingerprint[];
  #fingerprints: Fingerprint[] | undefined;
  #isTrial = false;
  #mayHaveRun = false;

  /** @param take - takes its fingerprints; called once at the most, after its body has been read */
  constructor(guard: PoisonGuard, take: () => Fingerprint[]) {
    this.#guard = guard;
    this.#take = take;
  }

  get fingerprints(): readonly Fingerprint[] {
    this.#fingerprints ??= this.#take();
    return this.#fingerprints;
  }

  /** Decides whether it is sent at all. */
  async admit(service: string): Promise<PoisonDecision> {
    if (!this.#guard.isWatching) return { type: 'allowed' };
    const decision = await this.#guard.admit(this.fingerprints, service);
    this.#isTrial = decision.type === 'trial';
    return decision;
  }

  /** Whether it may go to a back end now; a trial may as long as it lasts. */
  get mayBeSent(): boolean {
    return this.#isTrial || !this.#guard.isWatching || this.#guard.allows(this.fingerprints);
  }

  /** After this a request like it may be tried here, in milliseconds. */
  get retryAfter(): number {
    return this.#guard.retryAfter(this.fingerprints);
  }

  /** Whether it may go to one more back end after one that may have run it; a trial ends with its first. */
  get mayRunAgain(): boolean {
    return !this.#isTrial && this.mayBeSent;
  }

  /** Whether it is one of these. */
  isAmong(fingerprints: ReadonlySet<Fingerprint>): boolean {
    return this.fingerprints.some((fingerprint) => fingerprints.has(fingerprint));
  }

  /** Its connection to a back end broke. */
  noteBroken(row: BackEndRow): void {
    this.#guard.noteBroken({ row, fingerprints: this.fingerprints });
  }

  /** It was given up at a back end, which may still run it. */
  noteGivenUp(row: BackEndRow): void {
    this.#guard.noteGivenUp({ row, fingerprints: this.fingerprints });
  }

  /** A back end may have run it, or may yet. */
  noteMayHaveRun(): void {
    this.#mayHaveRun = true;
  }

  /** It has ended, whatever came of it. */
  noteSettled(): void {
    if (this.#isTrial && !this.#mayHaveRun) this.#guard.withdrawTrial(this.fingerprints);
  }

  noteServed(): void {
    if (this.#guard.isWatching) this.#guard.noteServed(this.fingerprints);
  }
}
