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
 * Entries exchange crashes, trials and acquittals, and each decides by itself, independently of the order of messages.
 * Pure; times are in milliseconds of the monotonic clock.
 *
 * ```ts
 * const quarantined = poison.noteCrash({ backEnd: 'b1', start: 7, at: now, suspects: ['f1', 'f2'] });
 * const decision = poison.decide('f1', now);
 * ```
 */
import { isSameStart } from '../model/back-end-identity.js';

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
/** Maximum duration of a trial, in milliseconds: above the time to the first response of an engine under load. */
const TRIAL_TIME = 3_000;
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
}

/** The trials of one content. */
interface Trials {
  count: number;
  /** When the latest trial ends at the latest, in milliseconds of the monotonic clock. */
  endsAt: number;
}

/** One entry's view of the contents that crash back ends. */
export class PoisonRequests {
  readonly #placeOf: (fingerprint: Fingerprint) => number;
  readonly #crashes = new Map<string, KnownCrash>();
  readonly #crashesBySuspect = new Map<Fingerprint, Set<KnownCrash>>();
  readonly #trials = new Map<Fingerprint, Trials>();

  /** @param placeOf - position of this entry in the order of the entries that may make a trial of a content, from 0 */
  constructor(placeOf: (fingerprint: Fingerprint) => number) {
    this.#placeOf = placeOf;
  }

  /** False if no content is suspect; every content is allowed then. */
  get isWatching(): boolean {
    return this.#crashesBySuspect.size > 0;
  }

  /** The quarantined contents. */
  quarantined(): Fingerprint[] {
    return [...this.#crashesBySuspect.keys()].filter((fingerprint) => this.isQuarantined(fingerprint));
  }

  /** Whether a content is quarantined; this includes contents for which a trial is due. */
  isQuarantined(fingerprint: Fingerprint): boolean {
    return (
      this.#crashesAgainst(fingerprint).length >= CRASHES_TO_QUARANTINE ||
      this.#crashesOf(fingerprint).length >= CRASHES_IN_WAVES_TO_QUARANTINE
    );
  }

  /** Records a crash, or further suspects of a known one; returns the contents that are quarantined as a result. */
  noteCrash(crash: BackEndCrash): Fingerprint[] {
    const known = this.#findCrash(crash) ?? this.#addCrash(crash);
    const suspects = crash.suspects.slice(0, MAX_SUSPECTS - known.suspects.size);
    const added = suspects.filter((fingerprint) => !known.suspects.has(fingerprint));
    const wereQuarantined = added.filter((fingerprint) => this.isQuarantined(fingerprint));
    for (const fingerprint of added) this.#addSuspect(fingerprint, known);
    return added.filter((one) => this.isQuarantined(one) && !wereQuarantined.includes(one));
  }

  /** Decides on a request with this content. */
  decide(fingerprint: Fingerprint, now: number): PoisonDecision {
    if (!this.#crashesBySuspect.has(fingerprint) || !this.isQuarantined(fingerprint)) return ALLOWED;
    const trials = this.#trials.get(fingerprint);
    const isBlocked = this.#crashesAgainst(fingerprint).length >= CRASHES_TO_BLOCK;
    if (isBlocked || this.trialsOf(fingerprint) >= MAX_TRIALS)
      return { type: 'quarantined', retryAfter: RETRY_WITHOUT_TRIAL };
    const retryAt = Math.max(this.#quarantineEnd(fingerprint), trials?.endsAt ?? now);
    return now < retryAt ? { type: 'quarantined', retryAfter: retryAt - now } : { type: 'trial' };
  }

  /** Records the start of a trial, here or at another entry. No other trial is made while it runs. */
  noteTrial(fingerprint: Fingerprint, now: number): void {
    const count = this.trialsOf(fingerprint) + 1;
    if (this.#crashesBySuspect.has(fingerprint))
      this.#trials.set(fingerprint, { count, endsAt: now + TRIAL_TIME });
  }

  /** Withdraws a trial whose request did not reach a back end. */
  withdrawTrial(fingerprint: Fingerprint): void {
    const count = this.trialsOf(fingerprint) - 1;
    if (count >= 0) this.#trials.set(fingerprint, { count, endsAt: Number.NEGATIVE_INFINITY });
  }

  /** Raises the number of trials of a content to the number reported by the store or another entry. */
  noteTrials(fingerprint: Fingerprint, count: number): void {
    if (count > this.trialsOf(fingerprint))
      this.#trials.set(fingerprint, { count, endsAt: Number.NEGATIVE_INFINITY });
  }

  /** Number of trials made with a content. */
  trialsOf(fingerprint: Fingerprint): number {
    return this.#trials.get(fingerprint)?.count ?? 0;
  }

  /** Records that a request with this content was served; returns whether the content was suspect. */
  noteServed(fingerprint: Fingerprint): boolean {
    const crashes = this.#crashesBySuspect.get(fingerprint);
    for (const crash of crashes ?? []) this.#removeSuspect(fingerprint, crash);
    return crashes !== undefined;
  }

  /** All crashes with at least one suspect. */
  crashes(): BackEndCrash[] {
    const known = [...this.#crashes.values()].filter(({ suspects }) => suspects.size > 0);
    return known.map((crash) => ({ ...crash, suspects: [...crash.suspects] }));
  }

  /** The crashes that led to quarantines, with only the quarantined suspects: what other entries need to refuse them. */
  crashesOfQuarantined(): BackEndCrash[] {
    const blamed = new Set(this.quarantined());
    return this.crashes()
      .map((crash) => ({ ...crash, suspects: crash.suspects.filter((one) => blamed.has(one)) }))
      .filter(({ suspects }) => suspects.length > 0);
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
    const crash = { backEnd, start, at, isPartOfWave: sameMoment.length > 0, suspects: new Set<string>() };
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
    this.#trials.delete(fingerprint);
  }

  /** When a trial of a quarantined content may be made here. */
  #quarantineEnd(fingerprint: Fingerprint): number {
    const latest = Math.max(...this.#crashesOf(fingerprint).map(({ at }) => at));
    return latest + QUARANTINE_TIME + TRIAL_STEP * this.#placeOf(fingerprint);
  }

  #crashesOf(fingerprint: Fingerprint): KnownCrash[] {
    return [...(this.#crashesBySuspect.get(fingerprint) ?? [])];
  }

  /** The crashes that count against a content; crashes of a wave count only if the content shares several of them. */
  #crashesAgainst(fingerprint: Fingerprint): KnownCrash[] {
    const all = this.#crashesOf(fingerprint);
    const isShared = (crash: KnownCrash) =>
      all.some((other) => other !== crash && Math.abs(other.at - crash.at) < WAVE_WINDOW);
    return all.filter((crash) => !crash.isPartOfWave || isShared(crash));
  }

  /** Removes the earliest crash that no quarantine depends on, so that many suspects cannot end a quarantine. */
  #evictOne(): void {
    const all = [...this.#crashes.values()];
    const isNeeded = ({ suspects }: KnownCrash) => [...suspects].some((one) => this.isQuarantined(one));
    this.#evict(all.find((crash) => !isNeeded(crash)) ?? all[0]);
  }

  #evict(crash: KnownCrash): void {
    for (const fingerprint of [...crash.suspects]) this.#removeSuspect(fingerprint, crash);
    this.#crashes.delete(keyOf(crash));
  }
}

/** Key of a crash. A back end crashes at most once for each start. */
export function keyOf({ backEnd, start }: Pick<BackEndCrash, 'backEnd' | 'start'>): string {
  return `${backEnd} ${start ?? ''}`;
}
