/**
 * Identifies requests that crash back ends ("queries of death") and distinguishes them from requests that merely ran at
 * the same time.
 *
 * Some request contents crash every back end that runs them, and callers retry them under a new identity and at any entry.
 * Without protection, one content caused 23 and 26 crashes in a fleet of 16 engines within 20 s (each engine was back after
 * 3 s), and each crash broke up to eleven requests of other callers.
 *
 * All requests in progress at a back end when it crashes are equally suspect. A second crash singles out the content that
 * both crashes share, as the other requests differ by then. That content is quarantined, and after some time one request
 * with it is let through as a trial. After a third crash, or after a small number of trials, it is never sent again. A
 * content that has been served is no longer suspect.
 *
 * If several back ends crash at the same moment (a wave), the cause is something else: a machine, a zone or a release. Such
 * crashes count only against contents that ran at two of these back ends, so that callers who are hit twice by waves are
 * not locked out. A content that was in progress at three crashes is quarantined nevertheless, as crashes that it caused
 * may have coincided with others.
 *
 * A content that always differs in parts that do no harm is identified by the prompt part that crashes back ends: see
 * `crashing-parts.ts`. A crash that a quarantined part explains counts against no content.
 *
 * Entries exchange crashes, trials and acquittals, and each decides by itself, independently of the order of messages.
 * Pure; times are in milliseconds of the monotonic clock.
 *
 * ```ts
 * const quarantined = poison.noteCrash({ backEnd: 'b1', start: 7, at: now, suspects: ['f1', 'f2'] });
 * const decision = poison.decide('f1', now);
 * ```
 */
import { isSameStart } from '../model/back-end-identity.js';
import { CrashingParts } from './crashing-parts.js';
import { type PartGroup, type PartUse, type PromptPart, trialKeyOf } from './part-groups.js';
import { TrialCounts } from './trial-counts.js';

/** Identifies the content of a request: see `forwarding/request-fingerprint.ts`. */
export type Fingerprint = string;

/** One crash of a back end. */
export interface BackEndCrash {
  /** The start of the back end that crashed. */
  backEnd: string;
  start?: number | undefined;
  at: number;
  /** Contents of the requests that were in progress there. */
  suspects: readonly Fingerprint[];
  /** Prompt parts of these requests, one entry for each. */
  parts?: readonly PartUse[] | undefined;
  /** Groups of these parts that the sender has quarantined. */
  quarantinedParts?: readonly PartGroup[] | undefined;
}

/** What a request has in common with others that may crash back ends. */
export interface RequestContent {
  /** Each of them identifies the whole content. */
  fingerprints: readonly Fingerprint[];
  /** Name of the tenant; empty for callers without one. */
  tenant: string;
  parts: readonly PromptPart[];
}

/** The decision on a request. */
export type PoisonDecision =
  | { type: 'allowed' }
  /** The request tests whether its content still crashes back ends. It is sent at most once. */
  | { type: 'trial' }
  /** The request is not sent. Callers may retry after `retryAfter` milliseconds, when a trial may be possible here. */
  | { type: 'quarantined'; retryAfter: number };

/** Shared crashes after which a content is quarantined. A single crash does not tell its suspects apart. */
export const CRASHES_TO_QUARANTINE = 2;
/** Shared crashes after which a content is quarantined even if all of them were part of waves. */
const CRASHES_IN_WAVES_TO_QUARANTINE = 3;
/** Crashes counted against a content after which no further trials are made. */
const CRASHES_TO_BLOCK = 3;
/** Maximum number of trials of a content; a trial may be inconclusive because its caller left or an entry stopped. */
const MAX_TRIALS = 2;
/** Time from the latest crash to a trial, in milliseconds: short enough that a user hit twice by chance is still waiting. */
const QUARANTINE_TIME = 10_000;
/** Retry delay if no trial will be made, in milliseconds: by then an operator may have fixed the back ends. */
const RETRY_WITHOUT_TRIAL = 600_000;
/**
 * Crashes of different back ends within this time form a wave, in milliseconds. An entry detects a crash by the first
 * broken connection followed by a refused one (within 20 ms); a single request takes at least 150 ms from one
 * crash to the next.
 */
const WAVE_WINDOW = 60;
/** Reports within this time refer to the same crash of a back end, in milliseconds: a restart takes longer. */
const SAME_CRASH_WINDOW = 2_000;
/** Delay between the times at which consecutive entries in a content's order may make a trial, in milliseconds. */
const TRIAL_STEP = 250;
/** Number of crashes kept, whatever their age: a content that is sent rarely crashes one back end each time. */
const MAX_CRASHES = 500;
/** Suspects kept for each crash, two for each request; back ends run fewer concurrent requests than that allows. */
export const MAX_SUSPECTS = 128;
const ALLOWED: PoisonDecision = { type: 'allowed' };

interface KnownCrash {
  backEnd: string;
  start: number | undefined;
  at: number;
  /** True if other back ends crashed at the same moment. */
  isPartOfWave: boolean;
  suspects: Set<Fingerprint>;
  uses: PartUse[];
  parts: Set<PromptPart>;
  servedBefore: number;
}

/** One entry's view of the contents that crash back ends. */
export class PoisonRequests {
  readonly #placeOf: (fingerprint: Fingerprint) => number;
  readonly #crashes = new Map<string, KnownCrash>();
  readonly #crashesBySuspect = new Map<Fingerprint, Set<KnownCrash>>();
  readonly #trials = new TrialCounts();
  readonly #parts: CrashingParts;

  /** @param placeOf - position of this entry in the order of the entries that may make a trial of a content, from 0 */
  constructor(placeOf: (fingerprint: Fingerprint) => number) {
    this.#placeOf = placeOf;
    this.#parts = new CrashingParts(placeOf, this.#trials);
  }

  /** False if no content and no prompt part is suspect; every request is allowed then. */
  get isWatching(): boolean {
    return this.#crashesBySuspect.size > 0 || this.#parts.hasSuspects;
  }

  get parts(): Pick<CrashingParts, 'quarantined' | 'tenantsOf' | 'crashCountOf'> {
    return this.#parts;
  }

  /** The quarantined contents. */
  quarantined(): Fingerprint[] {
    return [...this.#crashesBySuspect.keys()].filter((fingerprint) => this.isQuarantined(fingerprint));
  }

  /** Whether a content is quarantined; this includes contents for which a trial is due. */
  isQuarantined(fingerprint: Fingerprint): boolean {
    return (
      this.#crashesAgainst(fingerprint).length >= CRASHES_TO_QUARANTINE ||
      this.#unexplainedCrashesOf(fingerprint).length >= CRASHES_IN_WAVES_TO_QUARANTINE
    );
  }

  /** Records a crash, or further suspects of a known one; returns the contents that are quarantined as a result. */
  noteCrash(crash: BackEndCrash): Fingerprint[] {
    const known = this.#findCrash(crash) ?? this.#addCrash(crash);
    const suspects = crash.suspects.slice(0, MAX_SUSPECTS - known.suspects.size);
    const added = suspects.filter((fingerprint) => !known.suspects.has(fingerprint));
    const wereQuarantined = added.filter((fingerprint) => this.isQuarantined(fingerprint));
    for (const fingerprint of added) this.#addSuspect(fingerprint, known);
    this.#parts.noteCrash(known, crash.parts ?? []);
    return added.filter((one) => this.isQuarantined(one) && !wereQuarantined.includes(one));
  }

  /** Adopts groups that another entry has quarantined; returns those that are new here. */
  confirmParts(groups: readonly PartGroup[]): PartGroup[] {
    return groups.map((group) => this.#parts.confirm(group)).filter((group) => group !== undefined);
  }

  /** Quarantines the groups of prompt parts that explain crashes; returns those that are newly quarantined. */
  updateParts(now: number): PartGroup[] {
    return this.#parts.update(now);
  }

  /** Whether a crash is too recent for `updateParts` to consider it at `now`. */
  hasUnsettled(now: number): boolean {
    return this.#parts.hasUnsettled(now);
  }

  /** Decides on a request: the strictest of the decisions on its fingerprints and parts. */
  decideOn({ fingerprints, tenant, parts }: RequestContent, now: number): PoisonDecision {
    const decisions = [
      ...fingerprints.map((fingerprint) => this.decide(fingerprint, now)),
      ...this.#parts.groupsIn(parts).map((group) => this.#parts.decide(group, tenant, now)),
    ];
    const quarantined = decisions.filter((decision) => decision.type === 'quarantined');
    if (quarantined.length > 0)
      return quarantined.reduce((one, other) => (other.retryAfter > one.retryAfter ? other : one));
    return decisions.find(({ type }) => type === 'trial') ?? ALLOWED;
  }

  /** The fingerprints of a request and the keys of the quarantined groups that it has all parts of: what a trial of it tests. */
  trialKeysOf({ fingerprints, parts }: RequestContent): string[] {
    return [...fingerprints, ...this.#parts.groupsIn(parts).map(trialKeyOf)];
  }

  /** Decides on a request with this content. */
  decide(fingerprint: Fingerprint, now: number): PoisonDecision {
    if (!this.#crashesBySuspect.has(fingerprint) || !this.isQuarantined(fingerprint)) return ALLOWED;
    const isBlocked = this.#crashesAgainst(fingerprint).length >= CRASHES_TO_BLOCK;
    if (isBlocked || this.trialsOf(fingerprint) >= MAX_TRIALS)
      return { type: 'quarantined', retryAfter: RETRY_WITHOUT_TRIAL };
    const retryAt = Math.max(this.#quarantineEnd(fingerprint), this.#trials.endOf(fingerprint));
    return now < retryAt ? { type: 'quarantined', retryAfter: retryAt - now } : { type: 'trial' };
  }

  /** Records the start of a trial of a content or part, here or at another entry. No other trial is made while it runs. */
  noteTrial(key: string, now: number): void {
    if (this.#crashesBySuspect.has(key) || this.#parts.isSuspect(key)) this.#trials.begin(key, now);
  }

  /** Withdraws a trial whose request did not reach a back end. */
  withdrawTrial(key: string): void {
    this.#trials.withdraw(key);
  }

  /** Raises the number of trials of a content or part to the number reported by the store or another entry. */
  noteTrials(key: string, count: number): void {
    this.#trials.raise(key, count);
  }

  /** Number of trials made with a content or part. */
  trialsOf(key: string): number {
    return this.#trials.countOf(key);
  }

  /** Records that a request was served at `servedAt`; returns those of its fingerprints and parts that were suspect. */
  noteRequestServed({ fingerprints, parts }: RequestContent, servedAt: number): string[] {
    const acquitted = fingerprints.filter((fingerprint) => this.noteServed(fingerprint));
    return [...acquitted, ...this.#parts.noteServed(parts, servedAt)];
  }

  /** Records that another entry has served a request with this content or part; returns whether it was suspect. */
  acquit(key: string, now: number): boolean {
    return this.noteServed(key) || this.#parts.acquit(key, now);
  }

  /** Records that a request with this content was served; returns whether the content was suspect. */
  noteServed(fingerprint: Fingerprint): boolean {
    const crashes = this.#crashesBySuspect.get(fingerprint);
    for (const crash of crashes ?? []) this.#removeSuspect(fingerprint, crash);
    return crashes !== undefined;
  }

  /** All crashes with at least one suspect. */
  crashes(): BackEndCrash[] {
    const known = [...this.#crashes.values()].filter(
      ({ suspects, parts }) => suspects.size > 0 || parts.size > 0,
    );
    return known.map(({ backEnd, start, at, suspects, uses }) => {
      return { backEnd, start, at, suspects: [...suspects], parts: [...uses] };
    });
  }

  /** The crashes that led to quarantines, with only what is quarantined: what other entries need to refuse it. */
  crashesOfQuarantined(): BackEndCrash[] {
    return this.crashes()
      .map((crash) => this.quarantinedOf(crash))
      .filter((crash) => crash !== undefined);
  }

  /** The crash with only those of its contents and parts that are quarantined; undefined if there are none. */
  quarantinedOf(crash: BackEndCrash): BackEndCrash | undefined {
    const suspects = crash.suspects.filter((fingerprint) => this.isQuarantined(fingerprint));
    const groups = (crash.parts ?? []).flatMap((use) => this.#parts.groupsIn(use.parts));
    const quarantinedParts = [...new Set(groups)];
    const needed = new Set(quarantinedParts.flat());
    const parts = (crash.parts ?? [])
      .map((use) => ({ tenant: use.tenant, parts: use.parts.filter((part) => needed.has(part)) }))
      .filter((use) => this.#parts.groupsIn(use.parts).length > 0);
    if (suspects.length === 0 && parts.length === 0) return undefined;
    return { ...crash, suspects, parts, quarantinedParts };
  }

  /** Finds a known crash. Reports without the start of the back end have another key, so nearby crashes are compared too. */
  #findCrash(crash: BackEndCrash): KnownCrash | undefined {
    const exact = this.#crashes.get(keyOf(crash));
    if (exact !== undefined) return exact;
    const isSame = ({ backEnd, start, at }: KnownCrash) =>
      backEnd === crash.backEnd &&
      isSameStart(start, crash.start) &&
      Math.abs(at - crash.at) < SAME_CRASH_WINDOW;
    return [...this.#crashes.values()].find(isSame);
  }

  #addCrash({ backEnd, start, at }: BackEndCrash): KnownCrash {
    if (this.#crashes.size >= MAX_CRASHES) this.#evictOne();
    const sameMoment = [...this.#crashes.values()].filter((other) => Math.abs(other.at - at) < WAVE_WINDOW);
    for (const other of sameMoment) other.isPartOfWave = true;
    const crash: KnownCrash = {
      backEnd,
      start,
      at,
      isPartOfWave: sameMoment.length > 0,
      suspects: new Set(),
      uses: [],
      parts: new Set(),
      servedBefore: this.#parts.served,
    };
    this.#crashes.set(keyOf(crash), crash);
    return crash;
  }

  #addSuspect(fingerprint: Fingerprint, crash: KnownCrash): void {
    crash.suspects.add(fingerprint);
    const crashes = this.#crashesBySuspect.get(fingerprint) ?? new Set();
    this.#crashesBySuspect.set(fingerprint, crashes.add(crash));
  }

  #removeSuspect(fingerprint: Fingerprint, crash: KnownCrash): void {
    crash.suspects.delete(fingerprint);
    const crashes = this.#crashesBySuspect.get(fingerprint);
    crashes?.delete(crash);
    if (crashes?.size !== 0) return;
    this.#crashesBySuspect.delete(fingerprint);
    this.#trials.forget(fingerprint);
  }

  /** When a trial of a quarantined content may be made here. */
  #quarantineEnd(fingerprint: Fingerprint): number {
    const latest = Math.max(...this.#crashesOf(fingerprint).map(({ at }) => at));
    return latest + QUARANTINE_TIME + TRIAL_STEP * this.#placeOf(fingerprint);
  }

  #crashesOf(fingerprint: Fingerprint): KnownCrash[] {
    return [...(this.#crashesBySuspect.get(fingerprint) ?? [])];
  }

  #unexplainedCrashesOf(fingerprint: Fingerprint): KnownCrash[] {
    return this.#crashesOf(fingerprint).filter((crash) => !this.#parts.explains(crash));
  }

  /** The crashes that count against a content; crashes of a wave count only if the content shares several of them. */
  #crashesAgainst(fingerprint: Fingerprint): KnownCrash[] {
    const all = this.#unexplainedCrashesOf(fingerprint);
    const isShared = (crash: KnownCrash) =>
      all.some((other) => other !== crash && Math.abs(other.at - crash.at) < WAVE_WINDOW);
    return all.filter((crash) => !crash.isPartOfWave || isShared(crash));
  }

  /** Removes the earliest crash that no quarantine depends on, so that many suspects cannot end a quarantine. */
  #evictOne(): void {
    const all = [...this.#crashes.values()];
    const isNeeded = (crash: KnownCrash) =>
      this.#parts.explains(crash) || [...crash.suspects].some((one) => this.isQuarantined(one));
    this.#evict(all.find((crash) => !isNeeded(crash)) ?? all[0]);
  }

  #evict(crash: KnownCrash): void {
    for (const fingerprint of [...crash.suspects]) this.#removeSuspect(fingerprint, crash);
    this.#parts.forget(crash);
    this.#crashes.delete(keyOf(crash));
  }
}

/** Key of a crash. A back end crashes at most once for each start. */
export function keyOf({ backEnd, start }: Pick<BackEndCrash, 'backEnd' | 'start'>): string {
  return `${backEnd} ${start ?? ''}`;
}
