/**
 * Stops forwarding requests that crash back ends (poison requests). Collects the crashes that this entry detects and
 * those that other entries report, and applies the resulting decisions to new, waiting and sent requests. The
 * decision rules are in `systems/poison-requests.ts`.
 */
import type { BackEndIdentity } from '../model/back-end-identity.js';
import type { Log } from '../observability/log.js';
import type { Metrics } from '../observability/metrics.js';
import type { PoisonUpdate } from '../protocol/poison-update.js';
import { SETTLE_TIME } from '../systems/crashing-parts.js';
import type { PartGroup } from '../systems/part-groups.js';
import {
  type BackEndCrash,
  type PoisonDecision,
  PoisonRequests,
  type RequestContent,
} from '../systems/poison-requests.js';
import type { ProbeResult } from './back-end-probe.js';
import type { BackEndRow } from './back-end-table.js';
import { CrashDetector, type CrashSuspect, suspectsOf } from './crash-detector.js';
import type { QuarantineRecords, QuarantineState } from './quarantine-records.js';

/** Retry delay for callers whose trial could not be claimed, in milliseconds: the store may be available again by then. */
const CLAIM_RETRY_DELAY = 2_000;

export interface PoisonGuardOptions {
  log: Log;
  metrics: Metrics;
  /** This entry's rank among those that may run a trial with a content or prompt part; 0 is first. */
  placeOf: (key: string) => number;
  /** Whether this start of a back end has ended. */
  hasEnded: (row: BackEndRow) => boolean;
  /** Whether this start of a back end is leaving or has left as planned. */
  isLeaving: (backEnd: BackEndIdentity) => boolean;
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
  /** Contents and parts for which this entry is currently claiming a trial. */
  readonly #claiming = new Set<string>();
  /** Set while crashes are known that `updateParts` does not consider yet. */
  #updateTimer: NodeJS.Timeout | undefined;
  readonly #counts = { crashes: 0, quarantined: 0, quarantinedParts: 0, trials: 0, acquitted: 0 };
  readonly #probes: Record<ProbeResult, number> = { refused: 0, accepted: 0, silent: 0 };
  readonly #refusedByService = new Map<string, number>();
  /** Called with news to send to all other entries. */
  onNews: (news: PoisonUpdate) => void = () => {};
  /** Called when contents or prompt parts have just been put into quarantine. */
  onQuarantined: () => void = () => {};

  constructor({ log, metrics, placeOf, hasEnded, isLeaving, records, call }: PoisonGuardOptions) {
    this.#log = log;
    this.#records = records;
    records.onRead = (state) => this.#restore(state);
    records.quarantinedOf = (crash) => this.#requests.quarantinedOf(crash);
    this.#requests = new PoisonRequests(placeOf);
    this.#detector = new CrashDetector({
      log,
      call,
      hasEnded,
      isLeaving,
      calls: this.#probes,
      onCrash: (crash) => this.#onCrash(crash),
      onServed: (content, at) => this.#noteServedAt(content, at),
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
        name: 'poison_parts_quarantined',
        help: 'Groups of prompt parts in quarantine now',
        read: () => this.#requests.parts.quarantined.length,
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
  async admit(content: RequestContent, service: string): Promise<PoisonDecision> {
    let decision = this.#requests.decideOn(content, performance.now());
    if (decision.type === 'trial') decision = await this.#claimTrial(this.#requests.trialKeysOf(content));
    if (decision.type === 'quarantined')
      this.#refusedByService.set(service, (this.#refusedByService.get(service) ?? 0) + 1);
    return decision;
  }

  /** Whether a request that waits, or is to be sent again, may still be sent. */
  allows(content: RequestContent): boolean {
    return this.#requests.decideOn(content, performance.now()).type === 'allowed';
  }

  /**
   * Retry delay for callers with this content, in milliseconds: the time until this entry may send it as a trial, if
   * another trial is allowed; 0 if it is not in quarantine.
   */
  retryAfter(content: RequestContent): number {
    const decision = this.#requests.decideOn(content, performance.now());
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

  /** The answer to a request ended with its connection. */
  noteEndedByClose(suspect: CrashSuspect): void {
    this.#detector.noteEndedByClose(suspect);
  }

  /** A new connection to a back end was refused. */
  noteRefused(row: BackEndRow): void {
    this.#detector.noteRefused(row);
  }

  /** A back end has answered an attempt that began at `startedAt`, in milliseconds of the monotonic clock. */
  noteAnswering(row: BackEndRow, startedAt: number): void {
    this.#detector.noteAnswering(row, startedAt);
  }

  /** A request was served completely: its content and its prompt parts are acquitted. */
  noteServed(content: RequestContent): void {
    this.#noteServedAt(content, performance.now());
  }

  /** The request of a trial has ended without reaching a back end. */
  withdrawTrial(content: RequestContent): void {
    const keys = this.#requests.trialKeysOf(content);
    void this.#records.releaseTrials(this.#trialsOf(keys), 1);
    for (const key of keys) {
      this.#requests.withdrawTrial(key);
      this.onNews({ type: 'notTried', fingerprint: key });
    }
  }

  /** Stops detecting crashes. */
  stop(): void {
    clearTimeout(this.#updateTimer);
    this.#updateTimer = undefined;
    this.#detector.stop();
  }

  /** Applies news from another entry. */
  takeNews(news: PoisonUpdate): void {
    const now = performance.now();
    if (news.type === 'trial') return this.#requests.noteTrial(news.fingerprint, now);
    if (news.type === 'notTried') return this.#requests.withdrawTrial(news.fingerprint);
    if (news.type === 'served') {
      this.#records.noteServed(news.fingerprint);
      this.#noteAcquitted(this.#requests.acquit(news.fingerprint, now) ? [news.fingerprint] : []);
      return;
    }
    const { backEnd, start, age, suspects, parts, quarantinedParts } = news;
    this.#applyCrash({ backEnd, start, at: now - age, suspects, parts, quarantinedParts });
  }

  /** The crashes that current quarantines are based on, to send on a new connection. */
  allNews(): PoisonUpdate[] {
    const now = performance.now();
    return this.#requests.crashesOfQuarantined().map((crash) => newsOf(crash, now));
  }

  /** Claims a trial. The request is refused if the store does not answer or the trial has already been claimed. */
  async #claimTrial(keys: readonly string[]): Promise<PoisonDecision> {
    const refused: PoisonDecision = { type: 'quarantined', retryAfter: CLAIM_RETRY_DELAY };
    if (keys.some((key) => this.#claiming.has(key))) return refused;
    for (const key of keys) this.#claiming.add(key);
    const trialCounts = new Map(keys.map((one) => [one, this.#requests.trialsOf(one)]));
    const claim = await this.#records.claimTrial(trialCounts);
    for (const key of keys) this.#claiming.delete(key);
    if (claim.type === 'taken')
      for (const [key, count] of claim.trials) this.#requests.noteTrials(key, count);
    if (claim.type !== 'claimed') return refused;
    this.#beginTrial(keys, performance.now());
    return { type: 'trial' };
  }

  #beginTrial(keys: readonly string[], now: number): void {
    this.#counts.trials++;
    this.#log.info('quarantined content tried', { fingerprints: keys });
    for (const key of keys) {
      this.#requests.noteTrial(key, now);
      this.onNews({ type: 'trial', fingerprint: key });
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
    this.#addPast(crash);
    const quarantined = this.#requests.noteCrash(crash);
    this.#counts.quarantined += quarantined.length;
    for (const fingerprint of quarantined)
      this.#log.warn('content quarantined', { fingerprint, backEnd: crash.backEnd });
    const told = this.#requests.confirmParts(crash.quarantinedParts ?? []);
    this.#noteQuarantinedParts(told, true);
    this.#updateTimer ??= setTimeout(() => this.#updateParts(), SETTLE_TIME).unref();
    if (quarantined.length + told.length > 0) this.onQuarantined();
  }

  /**
   * Quarantines the prompt parts that explain the known crashes. Tells the other entries of new ones, as these may not have
   * seen the service work without the parts.
   */
  #updateParts(): void {
    clearTimeout(this.#updateTimer);
    this.#updateTimer = undefined;
    const now = performance.now();
    const quarantined = this.#requests.updateParts(now);
    if (this.#requests.hasUnsettled(now))
      this.#updateTimer = setTimeout(() => this.#updateParts(), SETTLE_TIME).unref();
    if (quarantined.length === 0) return;
    this.#noteQuarantinedParts(quarantined, false);
    for (const crash of this.#requests.crashesOfQuarantined())
      if (crash.quarantinedParts?.some((group) => quarantined.includes(group)))
        this.onNews(newsOf(crash, now));
    this.onQuarantined();
  }

  /** @param isTold - whether another entry has quarantined the groups */
  #noteQuarantinedParts(groups: readonly PartGroup[], isTold: boolean): void {
    if (groups.length === 0) return;
    this.#counts.quarantinedParts += groups.length;
    for (const group of groups) {
      const { parts } = this.#requests;
      const tenants = [...parts.tenantsOf(group)];
      const crashes = parts.crashCountOf(group);
      this.#log.warn('prompt parts quarantined', { parts: group, crashes, tenants, isTold });
    }
    this.#records.noteQuarantined();
  }

  /**
   * Adds requests that may have been in progress at a crash although their connections did not break there. Without
   * them, a content was not counted for a crash that it had caused; another crash at the same moment was then
   * classified as part of a wave, which ended the quarantine of the content.
   */
  #addPast({ backEnd, start, at }: BackEndCrash): void {
    const contents = this.#detector.removePast({ id: backEnd, start });
    if (contents.length > 0) this.#handleOwnCrash({ backEnd, start, at, ...suspectsOf(contents) });
  }

  /** Applies stored crashes and trials, which may precede the start of this process. */
  #restore({ crashes, trials }: QuarantineState): void {
    for (const crash of crashes) this.#applyCrash(crash);
    for (const [fingerprint, count] of trials) this.#requests.noteTrials(fingerprint, count);
  }

  #trialsOf(keys: readonly string[]): Map<string, number> {
    const trials = keys.map((one) => [one, this.#requests.trialsOf(one)] as const);
    return new Map(trials.filter(([, count]) => count > 0));
  }

  #noteServedAt(content: RequestContent, at: number): void {
    const trials = this.#trialsOf([...content.fingerprints, ...content.parts]);
    for (const key of [...content.fingerprints, ...content.parts]) this.#records.noteServed(key);
    const acquitted = this.#requests.noteRequestServed(content, at);
    for (const key of acquitted) this.onNews({ type: 'served', fingerprint: key });
    void this.#records.releaseTrials(trials, Number.POSITIVE_INFINITY);
    this.#noteAcquitted(acquitted);
  }

  /** A crash that an acquitted part does not explain any more may be explained by another one. */
  #noteAcquitted(keys: readonly string[]): void {
    this.#counts.acquitted += keys.length;
    this.#updateParts();
  }
}

function newsOf(
  { backEnd, start, at, suspects, parts = [], quarantinedParts = [] }: BackEndCrash,
  now: number,
): PoisonUpdate {
  const age = Math.round(now - at);
  return {
    type: 'crashed',
    backEnd,
    start,
    age,
    suspects: [...suspects],
    parts: [...parts],
    quarantinedParts: [...quarantinedParts],
  };
}
