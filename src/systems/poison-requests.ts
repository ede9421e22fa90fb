/**
 * Requests under which back ends crash (queries of death), told apart from those that merely ran beside them.
 *
 * The load that this answers: one content makes every back end crash that runs it, and callers repeat it, each time under
 * another identity and at any entry. Sent on as if nothing had been, one content ended 23 and 26 of 16 engines within 20 s
 * (each back after 3 s), and up to eleven requests of other callers broke with each.
 *
 * All that was in progress at a back end as it crashed is suspect alike. A second crash that a content shares tells it from
 * the others, which have different companions then: it is in quarantine from there on, and after a while one request with it
 * is let through as a trial. A third crash leaves no doubt, and trials are few: then nothing with it is sent any more. A content
 * that is served is suspect no more.
 *
 * Several back ends that crash in one moment crash by something else: a machine, a zone or a release. That counts against no
 * content but one that ran at two of them, so that callers who are unlucky twice in such a wave are not shut out. One that was
 * in progress at three crashes is in quarantine all the same: its own may each have come beside another.
 *
 * Entries exchange crashes, trials and acquittals, and each decides by itself: the order in which news arrive changes nothing.
 * Pure; times are in milliseconds of the steady clock.
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
  /** What was in progress there. */
  suspects: readonly Fingerprint[];
}

/** What becomes of a request. */
export type PoisonDecision =
  | { type: 'allowed' }
  /** It is the one that tries whether back ends still crash under its content: it is sent once at the most. */
  | { type: 'trial' }
  /** It is not sent; callers may ask again after `retryAfter` milliseconds, when one like it may be tried here, if any may. */
  | { type: 'quarantined'; retryAfter: number };

/** Crashes that a content shares before it is in quarantine: of one crash, all companions are suspect alike. */
export const CRASHES_TO_QUARANTINE = 2;
/** Crashes that a content shares before it is in quarantine whatever crashed beside them. */
const CRASHES_IN_WAVES_TO_QUARANTINE = 3;
/** Crashes that count against a content from which on it is not tried any more. */
const CRASHES_WITHOUT_DOUBT = 3;
/** Trials of a content whose end shows nothing, as the caller left or an entry ended, before it is not tried any more. */
const MOST_TRIALS = 2;
/** Time from the latest crash to a trial, in milliseconds: a person who was unlucky twice is served while still waiting. */
const QUARANTINE_TIME = 10_000;
/** What callers are told where no trial is to come, in milliseconds: an operator may have mended the back ends then. */
const RETRY_WITHOUT_TRIAL = 600_000;
/**
 * Back ends that crash within this of one another crash by something else, in milliseconds. An entry learns of a crash from the
 * first connection that breaks and a refused one after it (measured 20 ms at the most); one request takes 150 ms and more
 * from a crash to the next.
 */
const WAVE = 60;
/** Entries tell of the same end of a back end within this of one another, in milliseconds: it takes longer to start again. */
const SAME_END = 2_000;
/** A trial is under way for this long at the most, in milliseconds: above the time to a first answer of a loaded engine. */
const TRIAL_TIME = 3_000;
/** The entries may try one after the other, in the order that each content gives them, with this between, in milliseconds. */
const TRIAL_STEP = 250;
/** Crashes that are remembered, whatever their age: a content that comes seldom ends one back end each time. */
const MOST_CRASHES = 500;
/** Suspects of one crash that are remembered, two for a request: back ends run fewer requests at the same time. */
export const MOST_SUSPECTS = 128;
const ALLOWED: PoisonDecision = { type: 'allowed' };

interface KnownCrash {
  backEnd: string;
  start: number | undefined;
  at: number;
  /** Others crashed in the same moment. */
  isPartOfWave: boolean;
  suspects: Set<Fingerprint>;
}

/** The trials of one content. */
interface Trials {
  count: number;
  /** Until when the latest one is under way, in milliseconds of the steady clock. */
  endsAt: number;
}

/** The contents that back ends crash under, as one entry knows them. */
export class PoisonRequests {
  readonly #placeOf: (fingerprint: Fingerprint) => number;
  readonly #crashes = new Map<string, KnownCrash>();
  readonly #crashesBySuspect = new Map<Fingerprint, Set<KnownCrash>>();
  readonly #trials = new Map<Fingerprint, Trials>();

  /** @param placeOf - this entry's place among those that may try a content, 0 for the first */
  constructor(placeOf: (fingerprint: Fingerprint) => number) {
    this.#placeOf = placeOf;
  }

  /** False while nothing is suspect: then every content is allowed. */
  get isWatching(): boolean {
    return this.#crashesBySuspect.size > 0;
  }

  /** The contents that are in quarantine. */
  quarantined(): Fingerprint[] {
    return [...this.#crashesBySuspect.keys()].filter((fingerprint) => this.isQuarantined(fingerprint));
  }

  /** Whether a content is in quarantine, or waits for a trial. */
  isQuarantined(fingerprint: Fingerprint): boolean {
    return (
      this.#crashesAgainst(fingerprint).length >= CRASHES_TO_QUARANTINE ||
      this.#crashesOf(fingerprint).length >= CRASHES_IN_WAVES_TO_QUARANTINE
    );
  }

  /** Takes a crash, or more suspects of a known one; returns the contents that are in quarantine by it and were not before. */
  noteCrash(crash: BackEndCrash): Fingerprint[] {
    const known = this.#find(crash) ?? this.#begin(crash);
    const suspects = crash.suspects.slice(0, MOST_SUSPECTS - known.suspects.size);
    const added = suspects.filter((fingerprint) => !known.suspects.has(fingerprint));
    const wereBlamed = added.filter((fingerprint) => this.isQuarantined(fingerprint));
    for (const fingerprint of added) this.#addSuspect(fingerprint, known);
    return added.filter((one) => this.isQuarantined(one) && !wereBlamed.includes(one));
  }

  /** Decides on a request with this content. */
  decide(fingerprint: Fingerprint, now: number): PoisonDecision {
    if (!this.#crashesBySuspect.has(fingerprint) || !this.isQuarantined(fingerprint)) return ALLOWED;
    const trials = this.#trials.get(fingerprint);
    const isBeyondDoubt = this.#crashesAgainst(fingerprint).length >= CRASHES_WITHOUT_DOUBT;
    if (isBeyondDoubt || this.trialsOf(fingerprint) >= MOST_TRIALS)
      return { type: 'quarantined', retryAfter: RETRY_WITHOUT_TRIAL };
    const retryAt = Math.max(this.#quarantineEnd(fingerprint), trials?.endsAt ?? now);
    return now < retryAt ? { type: 'quarantined', retryAfter: retryAt - now } : { type: 'trial' };
  }

  /** A trial has begun, here or at another entry: there is no other meanwhile, and few in all. */
  noteTrial(fingerprint: Fingerprint, now: number): void {
    const count = this.trialsOf(fingerprint) + 1;
    if (this.#crashesBySuspect.has(fingerprint))
      this.#trials.set(fingerprint, { count, endsAt: now + TRIAL_TIME });
  }

  /** A trial came to nothing: its request reached no back end. */
  withdrawTrial(fingerprint: Fingerprint): void {
    const count = this.trialsOf(fingerprint) - 1;
    if (count >= 0) this.#trials.set(fingerprint, { count, endsAt: Number.NEGATIVE_INFINITY });
  }

  /** So many trials were made with this content, as the store or another entry tells. */
  noteTrials(fingerprint: Fingerprint, count: number): void {
    if (count > this.trialsOf(fingerprint))
      this.#trials.set(fingerprint, { count, endsAt: Number.NEGATIVE_INFINITY });
  }

  /** Trials made with this content. */
  trialsOf(fingerprint: Fingerprint): number {
    return this.#trials.get(fingerprint)?.count ?? 0;
  }

  /** A request with this content was served; returns whether it was suspect. */
  noteServed(fingerprint: Fingerprint): boolean {
    const crashes = this.#crashesBySuspect.get(fingerprint);
    for (const crash of crashes ?? []) this.#removeSuspect(fingerprint, crash);
    return crashes !== undefined;
  }

  /** All crashes that are remembered. */
  crashes(): BackEndCrash[] {
    const known = [...this.#crashes.values()].filter(({ suspects }) => suspects.size > 0);
    return known.map((crash) => ({ ...crash, suspects: [...crash.suspects] }));
  }

  /** The crashes that quarantines rest on, with the contents in quarantine alone: what another entry needs to refuse them. */
  blamedCrashes(): BackEndCrash[] {
    const blamed = new Set(this.quarantined());
    return this.crashes()
      .map((crash) => ({ ...crash, suspects: crash.suspects.filter((one) => blamed.has(one)) }))
      .filter(({ suspects }) => suspects.length > 0);
  }

  /** Who does not know the start of a back end tells of its crash under another name. */
  #find(crash: BackEndCrash): KnownCrash | undefined {
    const exact = this.#crashes.get(keyOf(crash));
    if (exact !== undefined) return exact;
    const isSame = ({ backEnd, start, at }: KnownCrash) =>
      backEnd === crash.backEnd && isSameStart(start, crash.start) && Math.abs(at - crash.at) < SAME_END;
    return [...this.#crashes.values()].find(isSame);
  }

  #begin({ backEnd, start, at }: BackEndCrash): KnownCrash {
    if (this.#crashes.size >= MOST_CRASHES) this.#forgetOne();
    const sameMoment = [...this.#crashes.values()].filter((other) => Math.abs(other.at - at) < WAVE);
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

  /** When a content that is in quarantine may be tried here. */
  #quarantineEnd(fingerprint: Fingerprint): number {
    const latest = Math.max(...this.#crashesOf(fingerprint).map(({ at }) => at));
    return latest + QUARANTINE_TIME + TRIAL_STEP * this.#placeOf(fingerprint);
  }

  #crashesOf(fingerprint: Fingerprint): KnownCrash[] {
    return [...(this.#crashesBySuspect.get(fingerprint) ?? [])];
  }

  /** The crashes that count against a content: of a wave those alone that it shares. */
  #crashesAgainst(fingerprint: Fingerprint): KnownCrash[] {
    const all = this.#crashesOf(fingerprint);
    const isShared = (crash: KnownCrash) =>
      all.some((other) => other !== crash && Math.abs(other.at - crash.at) < WAVE);
    return all.filter((crash) => !crash.isPartOfWave || isShared(crash));
  }

  /** Makes room: the earliest crash that no quarantine rests on goes first, so that many suspects cannot end a quarantine. */
  #forgetOne(): void {
    const all = [...this.#crashes.values()];
    const isNeeded = ({ suspects }: KnownCrash) => [...suspects].some((one) => this.isQuarantined(one));
    this.#forget(all.find((crash) => !isNeeded(crash)) ?? all[0]);
  }

  #forget(crash: KnownCrash): void {
    for (const fingerprint of [...crash.suspects]) this.#removeSuspect(fingerprint, crash);
    this.#crashes.delete(keyOf(crash));
  }
}

/** Names a crash: a start of a back end ends once. */
export function keyOf({ backEnd, start }: Pick<BackEndCrash, 'backEnd' | 'start'>): string {
  return `${backEnd} ${start ?? ''}`;
}
