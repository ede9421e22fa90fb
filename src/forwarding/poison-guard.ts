/**
 * Stops forwarding requests that crash back ends (poison requests). Collects the crashes that this entry detects and
 * those that other entries report, and applies the resulting decisions to new, waiting and sent requests. The
 * decision rules are in `systems/poison-requests.ts`.
 */
import type { Log } from '../observability/log.js';
import type { Metrics } from '../observability/metrics.js';
import type { PoisonUpdate } from '../protocol/poison-update.js';
import {
  type BackEndCrash,
  type Fingerprint,
  type PoisonDecision,
  PoisonRequests,
} from '../systems/poison-requests.js';
import type { BackEndRow } from './back-end-table.js';
import { CrashDetector, type CrashSuspect, type ProbeResult } from './crash-detector.js';
import type { QuarantineRecords, QuarantineState } from './quarantine-records.js';

/** Retry delay for callers whose trial could not be claimed, in milliseconds: the store may be available again by then. */
const CLAIM_RETRY_DELAY = 2_000;

export interface PoisonGuardOptions {
  log: Log;
  metrics: Metrics;
  /** This entry's rank among those that may run a trial with a content; 0 is first. */
  placeOf: (fingerprint: Fingerprint) => number;
  /** Whether this start of a back end has ended without notice. */
  hasEnded: (row: BackEndRow) => boolean;
  /** Persists crashes and trials. */
  records: QuarantineRecords;
  /** Opens a connection to a back end that may have crashed. */
  call?: (address: string) => Promise<ProbeResult>;
}

/** Blocks poison requests at one entry. */
export class PoisonGuard {
  readonly #log: Log;
  readonly #requests: PoisonRequests;
  readonly #detector: CrashDetector;
  readonly #records: QuarantineRecords;
  /** Contents for which this entry is currently claiming a trial. */
  readonly #claiming = new Set<Fingerprint>();
  readonly #counts = { crashes: 0, quarantined: 0, trials: 0, acquitted: 0 };
  readonly #probes: Record<ProbeResult, number> = { refused: 0, accepted: 0, silent: 0 };
  readonly #refusedByService = new Map<string, number>();
  /** Called with news to send to all other entries. */
  onNews: (news: PoisonUpdate) => void = () => {};
  /** Called with contents that have just been put into quarantine. */
  onQuarantined: (fingerprints: ReadonlySet<Fingerprint>) => void = () => {};

  constructor({ log, metrics, placeOf, hasEnded, records, call }: PoisonGuardOptions) {
    this.#log = log;
    this.#records = records;
    records.onRead = (state) => this.#restore(state);
    records.isQuarantined = (fingerprint) => this.#requests.isQuarantined(fingerprint);
    this.#requests = new PoisonRequests(placeOf);
    this.#detector = new CrashDetector({
      log,
      call,
      hasEnded,
      calls: this.#probes,
      onCrash: (crash) => this.#onCrash(crash),
    });
    metrics.add([
      {
        name: 'poison_events',
        help: 'Crashes of back ends seen here, contents put into quarantine, trials and acquittals since the start',
        label: 'kind',
        read: () => ({ ...this.#counts }),
      },
      {
        name: 'crash_calls',
        help: 'Calls since the start to back ends whose connections broke, by what came of them: only a refused one is a crash',
        label: 'answer',
        read: () => ({ ...this.#probes }),
      },
      {
        name: 'poison_refusals',
        help: 'Requests refused since the start as back ends crash under their content, by service',
        label: 'service',
        read: () => Object.fromEntries(this.#refusedByService),
      },
      {
        name: 'poison_quarantined',
        help: 'Contents in quarantine now',
        read: () => this.#requests.quarantined().length,
      },
      {
        name: 'poison_crashes_remembered',
        help: 'Crashes of back ends under which some content is suspect',
        read: () => this.#requests.crashes().length,
      },
    ]);
  }

  /** Whether any content is suspected. While none is, fingerprints need not be computed. */
  get hasSuspects(): boolean {
    return this.#requests.isWatching;
  }

  /** Decides on a request of `service` before it is first sent. A trial is claimed in the store and recorded as started. */
  async admit(fingerprints: readonly Fingerprint[], service: string): Promise<PoisonDecision> {
    const now = performance.now();
    let decision = this.#decide(fingerprints, now);
    if (decision.type === 'trial') decision = await this.#claimTrial(fingerprints);
    if (decision.type === 'quarantined')
      this.#refusedByService.set(service, (this.#refusedByService.get(service) ?? 0) + 1);
    return decision;
  }

  /** Whether a request that waits, or is to be sent again, may still be sent. */
  allows(fingerprints: readonly Fingerprint[]): boolean {
    return this.#decide(fingerprints, performance.now()).type === 'allowed';
  }

  /**
   * Retry delay for callers with this content, in milliseconds: the time until this entry may send it as a trial, if
   * another trial is allowed; 0 if it is not in quarantine.
   */
  retryAfter(fingerprints: readonly Fingerprint[]): number {
    const decision = this.#decide(fingerprints, performance.now());
    return decision.type === 'quarantined' ? decision.retryAfter : 0;
  }

  /** The connection of a request in progress broke. */
  noteBroken(suspect: CrashSuspect): void {
    this.#detector.noteBroken(suspect);
  }

  /** A request in progress was aborted, but its back end may still run it. */
  noteGivenUp(suspect: CrashSuspect): void {
    this.#detector.noteGivenUp(suspect);
  }

  /** A request was served completely: its content is acquitted. */
  noteServed(fingerprints: readonly Fingerprint[]): void {
    const trials = this.#trialsOf(fingerprints);
    for (const fingerprint of fingerprints)
      if (this.#acquit(fingerprint)) this.onNews({ type: 'served', fingerprint });
    void this.#records.releaseTrials(trials, Number.POSITIVE_INFINITY);
  }

  /** The request of a trial has ended without reaching a back end. */
  withdrawTrial(fingerprints: readonly Fingerprint[]): void {
    void this.#records.releaseTrials(this.#trialsOf(fingerprints), 1);
    for (const fingerprint of fingerprints) {
      this.#requests.withdrawTrial(fingerprint);
      this.onNews({ type: 'notTried', fingerprint });
    }
  }

  /** Stops detecting crashes. */
  stop(): void {
    this.#detector.stop();
  }

  /** Applies news from another entry. */
  takeNews(news: PoisonUpdate): void {
    const now = performance.now();
    if (news.type === 'trial') return this.#requests.noteTrial(news.fingerprint, now);
    if (news.type === 'notTried') return this.#requests.withdrawTrial(news.fingerprint);
    if (news.type === 'served') return void this.#acquit(news.fingerprint);
    const { backEnd, start, age, suspects } = news;
    this.#applyCrash({ backEnd, start, at: now - age, suspects });
  }

  /** The crashes that current quarantines are based on, to send on a new connection. */
  allNews(): PoisonUpdate[] {
    const now = performance.now();
    return this.#requests.crashesOfQuarantined().map((crash) => newsOf(crash, now));
  }

  /** The strictest of the decisions on its fingerprints, because each fingerprint identifies the whole content. */
  #decide(fingerprints: readonly Fingerprint[], now: number): PoisonDecision {
    const decisions = fingerprints.map((fingerprint) => this.#requests.decide(fingerprint, now));
    const quarantined = decisions.filter((decision) => decision.type === 'quarantined');
    if (quarantined.length > 0)
      return quarantined.reduce((one, other) => (other.retryAfter > one.retryAfter ? other : one));
    return decisions.find(({ type }) => type === 'trial') ?? { type: 'allowed' };
  }

  /** Claims a trial. The request is refused if the store does not answer or the trial has already been claimed. */
  async #claimTrial(fingerprints: readonly Fingerprint[]): Promise<PoisonDecision> {
    const refused: PoisonDecision = { type: 'quarantined', retryAfter: CLAIM_RETRY_DELAY };
    if (fingerprints.some((fingerprint) => this.#claiming.has(fingerprint))) return refused;
    for (const fingerprint of fingerprints) this.#claiming.add(fingerprint);
    const trialCounts = new Map(fingerprints.map((one) => [one, this.#requests.trialsOf(one)]));
    const claim = await this.#records.claimTrial(trialCounts);
    for (const fingerprint of fingerprints) this.#claiming.delete(fingerprint);
    if (claim.type === 'taken')
      for (const [fingerprint, count] of claim.trials) this.#requests.noteTrials(fingerprint, count);
    if (claim.type !== 'claimed') return refused;
    this.#beginTrial(fingerprints, performance.now());
    return { type: 'trial' };
  }

  #beginTrial(fingerprints: readonly Fingerprint[], now: number): void {
    this.#counts.trials++;
    this.#log.info('quarantined content tried', { fingerprints });
    for (const fingerprint of fingerprints) {
      this.#requests.noteTrial(fingerprint, now);
      this.onNews({ type: 'trial', fingerprint });
    }
  }

  #onCrash(crash: BackEndCrash): void {
    this.#counts.crashes++;
    this.#handleOwnCrash(crash);
  }

  /** Handles a crash, or further suspects of one, that this entry detected itself: stores and announces it. */
  #handleOwnCrash(crash: BackEndCrash): void {
    this.#records.noteCrash(crash);
    this.onNews(newsOf(crash, performance.now()));
    this.#applyCrash(crash);
  }

  #applyCrash(crash: BackEndCrash): void {
    this.#addGivenUp(crash);
    const quarantined = this.#requests.noteCrash(crash);
    if (quarantined.length === 0) return;
    this.#counts.quarantined += quarantined.length;
    for (const fingerprint of quarantined)
      this.#log.warn('content quarantined', { fingerprint, backEnd: crash.backEnd });
    this.onQuarantined(new Set(quarantined));
  }

  /**
   * Adds aborted requests that may still have been running at the back end to the suspects of its crash. Without
   * them, a content was not counted for a crash that it had caused; another crash at the same moment was then
   * classified as part of a wave, which ended the quarantine of the content.
   */
  #addGivenUp({ backEnd, start, at }: BackEndCrash): void {
    const suspects = this.#detector.removeGivenUp({ id: backEnd, start });
    if (suspects.length > 0) this.#handleOwnCrash({ backEnd, start, at, suspects });
  }

  /** Applies stored crashes and trials, which may precede the start of this process. */
  #restore({ crashes, trials }: QuarantineState): void {
    for (const crash of crashes) this.#applyCrash(crash);
    for (const [fingerprint, count] of trials) this.#requests.noteTrials(fingerprint, count);
  }

  #trialsOf(fingerprints: readonly Fingerprint[]): Map<Fingerprint, number> {
    const trials = fingerprints.map((one) => [one, this.#requests.trialsOf(one)] as const);
    return new Map(trials.filter(([, count]) => count > 0));
  }

  #acquit(fingerprint: Fingerprint): boolean {
    this.#records.noteServed(fingerprint);
    if (!this.#requests.noteServed(fingerprint)) return false;
    this.#counts.acquitted++;
    return true;
  }
}

function newsOf({ backEnd, start, at, suspects }: BackEndCrash, now: number): PoisonUpdate {
  return { type: 'crashed', backEnd, start, age: Math.round(now - at), suspects: [...suspects] };
}
