/**
 * Keeps requests that crash back ends from being sent on: what this entry sees break, what other entries tell, and what
 * follows for requests that arrive, wait or are under way. What is decided stands in `systems/poison-requests.ts`.
 */
import type { Log } from '../observability/log.js';
import type { Metrics } from '../observability/metrics.js';
import type { PoisonNews } from '../protocol/poison-news.js';
import {
  type BackEndCrash,
  type Fingerprint,
  type PoisonDecision,
  PoisonRequests,
} from '../systems/poison-requests.js';
import type { BackEndRow } from './back-end-table.js';
import { type ConnectionAnswer, type CrashSuspect, CrashWitness } from './crash-witness.js';
import type { QuarantineRecords, QuarantineState } from './quarantine-records.js';

/** After a trial that could not be claimed callers may ask again after this, in milliseconds: the store may be back then. */
const RETRY_CLAIM = 2_000;

/** What the guard works with. */
export interface PoisonGuardOptions {
  log: Log;
  metrics: Metrics;
  /** This entry's place among those that may try a content, 0 for the first. */
  placeOf: (fingerprint: Fingerprint) => number;
  /** Whether this start of a back end has ended without notice. */
  hasEnded: (row: BackEndRow) => boolean;
  /** What outlives this process. */
  records: QuarantineRecords;
  /** Opens a connection to a back end that may have crashed. */
  call?: (address: string) => Promise<ConnectionAnswer>;
}

/** The guard of one entry. */
export class PoisonGuard {
  readonly #log: Log;
  readonly #requests: PoisonRequests;
  readonly #witness: CrashWitness;
  readonly #records: QuarantineRecords;
  /** Contents whose trial is being claimed here. */
  readonly #claimed = new Set<Fingerprint>();
  readonly #counts = { crashes: 0, quarantined: 0, trials: 0, acquitted: 0 };
  readonly #calls: Record<ConnectionAnswer, number> = { refused: 0, accepted: 0, silent: 0 };
  readonly #refusedByService = new Map<string, number>();
  /** Takes what other entries are to know. */
  onNews: (news: PoisonNews) => void = () => {};
  /** Takes contents that are in quarantine from now on. */
  onQuarantined: (fingerprints: ReadonlySet<Fingerprint>) => void = () => {};

  constructor({ log, metrics, placeOf, hasEnded, records, call }: PoisonGuardOptions) {
    this.#log = log;
    this.#records = records;
    records.onRead = (state) => this.#restore(state);
    records.isQuarantined = (fingerprint) => this.#requests.isQuarantined(fingerprint);
    this.#requests = new PoisonRequests(placeOf);
    this.#witness = new CrashWitness({
      log,
      call,
      hasEnded,
      calls: this.#calls,
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
        read: () => ({ ...this.#calls }),
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

  /** False while no content is suspect: then fingerprints need not be taken. */
  get isWatching(): boolean {
    return this.#requests.isWatching;
  }

  /** Decides on a request of `service` that is to be sent for the first time; a trial is claimed first, and begins here. */
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

  /** Time after which a request with this content may be tried here, in milliseconds. */
  retryAfter(fingerprints: readonly Fingerprint[]): number {
    const decision = this.#decide(fingerprints, performance.now());
    return decision.type === 'quarantined' ? decision.retryAfter : 0;
  }

  /** The connection of a request in progress broke. */
  noteBroken(suspect: CrashSuspect): void {
    this.#witness.noteBroken(suspect);
  }

  /** A request in progress was given up, and its back end may still run it. */
  noteGivenUp(suspect: CrashSuspect): void {
    this.#witness.noteGivenUp(suspect);
  }

  /** A request was served whole. */
  noteServed(fingerprints: readonly Fingerprint[]): void {
    const trials = this.#trialsOf(fingerprints);
    for (const fingerprint of fingerprints)
      if (this.#acquit(fingerprint)) this.onNews({ type: 'served', fingerprint });
    void this.#records.releaseTrials(trials, Number.POSITIVE_INFINITY);
  }

  /** The request of a trial has ended without having reached a back end. */
  withdrawTrial(fingerprints: readonly Fingerprint[]): void {
    void this.#records.releaseTrials(this.#trialsOf(fingerprints), 1);
    for (const fingerprint of fingerprints) {
      this.#requests.withdrawTrial(fingerprint);
      this.onNews({ type: 'notTried', fingerprint });
    }
  }

  /** Looks for crashes no more. */
  stop(): void {
    this.#witness.stop();
  }

  /** Takes what another entry tells. */
  takeNews(news: PoisonNews): void {
    const now = performance.now();
    if (news.type === 'trial') return this.#requests.noteTrial(news.fingerprint, now);
    if (news.type === 'notTried') return this.#requests.withdrawTrial(news.fingerprint);
    if (news.type === 'served') return void this.#acquit(news.fingerprint);
    const { backEnd, start, age, suspects } = news;
    this.#takeCrash({ backEnd, start, at: now - age, suspects });
  }

  /** What quarantines rest on, for an entry that may not have heard of it. */
  allNews(): PoisonNews[] {
    const now = performance.now();
    return this.#requests.crashesOfQuarantined().map((crash) => newsOf(crash, now));
  }

  /** The strictest of what its fingerprints say, as each stands for the whole content. */
  #decide(fingerprints: readonly Fingerprint[], now: number): PoisonDecision {
    const decisions = fingerprints.map((fingerprint) => this.#requests.decide(fingerprint, now));
    const quarantined = decisions.filter((decision) => decision.type === 'quarantined');
    if (quarantined.length > 0)
      return quarantined.reduce((one, other) => (other.retryAfter > one.retryAfter ? other : one));
    return decisions.find(({ type }) => type === 'trial') ?? { type: 'allowed' };
  }

  /** A trial that cannot be claimed, or that another entry has, is not made. */
  async #claimTrial(fingerprints: readonly Fingerprint[]): Promise<PoisonDecision> {
    const refused: PoisonDecision = { type: 'quarantined', retryAfter: RETRY_CLAIM };
    if (fingerprints.some((fingerprint) => this.#claimed.has(fingerprint))) return refused;
    for (const fingerprint of fingerprints) this.#claimed.add(fingerprint);
    const made = new Map(fingerprints.map((one) => [one, this.#requests.trialsOf(one)]));
    const claim = await this.#records.claimTrial(made);
    for (const fingerprint of fingerprints) this.#claimed.delete(fingerprint);
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
    this.#takeOwnCrash(crash);
  }

  /** A crash, or suspects of one, that this entry knows of by itself. */
  #takeOwnCrash(crash: BackEndCrash): void {
    this.#records.noteCrash(crash);
    this.onNews(newsOf(crash, performance.now()));
    this.#takeCrash(crash);
  }

  #takeCrash(crash: BackEndCrash): void {
    this.#addGivenUp(crash);
    const quarantined = this.#requests.noteCrash(crash);
    if (quarantined.length === 0) return;
    this.#counts.quarantined += quarantined.length;
    for (const fingerprint of quarantined)
      this.#log.warn('content quarantined', { fingerprint, backEnd: crash.backEnd });
    this.onQuarantined(new Set(quarantined));
  }

  /**
   * What was given up at a back end that crashes nevertheless was in progress there as well. Left out, a content seemed to have
   * no part in a crash that it caused, which took another crash of the same moment for one of a wave and ended its quarantine.
   */
  #addGivenUp({ backEnd, start, at }: BackEndCrash): void {
    const suspects = this.#witness.takeGivenUp({ id: backEnd, start });
    if (suspects.length > 0) this.#takeOwnCrash({ backEnd, start, at, suspects });
  }

  /** What the store keeps of a time that this process has not seen. */
  #restore({ crashes, trials }: QuarantineState): void {
    for (const crash of crashes) this.#takeCrash(crash);
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

function newsOf({ backEnd, start, at, suspects }: BackEndCrash, now: number): PoisonNews {
  return { type: 'crashed', backEnd, start, age: Math.round(now - at), suspects: [...suspects] };
}
