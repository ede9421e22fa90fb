/** The content of one request, which may be a poison request. Its fingerprints are computed only when they are needed. */
import type { Fingerprint, PoisonDecision } from '../systems/poison-requests.js';
import type { BackEndRow } from './back-end-table.js';
import type { PoisonGuard } from './poison-guard.js';

/** Applies the poison guard to one request. */
export class SuspectContent {
  readonly #guard: PoisonGuard;
  readonly #computeFingerprints: () => Fingerprint[];
  #fingerprints: Fingerprint[] | undefined;
  #isTrial = false;
  #mayHaveRun = false;

  /** @param computeFingerprints - computes the fingerprints; called at most once, after the body has been read */
  constructor(guard: PoisonGuard, computeFingerprints: () => Fingerprint[]) {
    this.#guard = guard;
    this.#computeFingerprints = computeFingerprints;
  }

  get fingerprints(): readonly Fingerprint[] {
    this.#fingerprints ??= this.#computeFingerprints();
    return this.#fingerprints;
  }

  /** Decides whether the request is sent at all. */
  async admit(service: string): Promise<PoisonDecision> {
    if (!this.#guard.hasSuspects) return { type: 'allowed' };
    const decision = await this.#guard.admit(this.fingerprints, service);
    this.#isTrial = decision.type === 'trial';
    return decision;
  }

  /** Whether the request may be sent to a back end now. Always true for a trial. */
  get mayBeSent(): boolean {
    return this.#isTrial || !this.#guard.hasSuspects || this.#guard.allows(this.fingerprints);
  }

  /** Retry delay for the caller, in milliseconds. */
  get retryAfter(): number {
    return this.#guard.retryAfter(this.fingerprints);
  }

  /** Whether the request may be sent again after a back end may have run it. Never true for a trial. */
  get mayRunAgain(): boolean {
    return !this.#isTrial && this.mayBeSent;
  }

  /** Whether `fingerprints` includes any of this content's fingerprints. */
  matchesAny(fingerprints: ReadonlySet<Fingerprint>): boolean {
    return this.fingerprints.some((fingerprint) => fingerprints.has(fingerprint));
  }

  /** The connection to a back end that was running the request broke. */
  noteBroken(row: BackEndRow): void {
    this.#guard.noteBroken({ row, fingerprints: this.fingerprints });
  }

  /** The request was aborted at a back end, which may still run it. */
  noteGivenUp(row: BackEndRow): void {
    this.#guard.noteGivenUp({ row, fingerprints: this.fingerprints });
  }

  /** A back end may have run the request, or may still run it. */
  noteMayHaveRun(): void {
    this.#mayHaveRun = true;
  }

  /** The request has ended, with any outcome. */
  noteEnded(): void {
    if (this.#isTrial && !this.#mayHaveRun) this.#guard.withdrawTrial(this.fingerprints);
  }

  noteServed(): void {
    if (this.#guard.hasSuspects) this.#guard.noteServed(this.fingerprints);
  }
}
