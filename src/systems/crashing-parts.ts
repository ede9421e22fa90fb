/**
 * Identifies prompt parts that crash back ends, whatever else the request contains.
 *
 * No two requests with such a part need be alike, and each runs beside sound requests that share their other parts with
 * it. At each crash, the parts of all requests in progress are suspect. A part that has been served since is no longer
 * suspect, so that popular parts are cleared within milliseconds, while a part that always crashes its back end is in
 * progress at every crash that it causes and is never served.
 *
 * A part is quarantined once it alone explains several crashes while the service works for requests without it. Once a part
 * explains even more crashes, it is quarantined in any case, together with the parts that all requests with it had there:
 * only requests with all parts of such a group are refused. Crashes that a group explains do not count against other
 * parts. Crashes at the same moment count once, as they have a common cause.
 *
 * Parts are shared by tenants. A group is refused only to the tenant whose requests were in progress at its crashes,
 * and to all tenants once there are several of these, so that no tenant can cause a part of another one to be refused
 * by naming it in requests that crash back ends for another reason.
 *
 * Pure; times are in milliseconds of the monotonic clock.
 */
import {
  type Candidate,
  countMoments,
  explanatoryPower,
  groupsOf,
  hasAll,
  includesAll,
  isSameUse,
  type PartGroup,
  type PartsCrash,
  type PartUse,
  type PromptPart,
  trialKeyOf,
} from './part-groups.js';
import type { TrialCounts } from './trial-counts.js';

/** Decision on a group of parts for one tenant. */
export type PartDecision =
  | { type: 'allowed' }
  | { type: 'trial' }
  /** `retryAfter` in milliseconds. */
  | { type: 'quarantined'; retryAfter: number };

/** Crashes for which a part is quarantined that alone explains them, if the service works without it. */
const CRASHES_TO_SUSPECT = 3;
/** Number of requests without the part that must be served since its first crash, to rule out an outage of the service. */
const SERVED_WITHOUT_PART = 5;
/** Crashes for which a part is quarantined in any case, with the parts that all of its requests had there. */
const CRASHES_TO_QUARANTINE = 4;
/**
 * Time after which all requests in progress at a crash are known, in milliseconds: other entries report theirs within 30 ms. Before, a
 * shared part may seem to explain a crash because the request with the deadly one is not known yet.
 */
export const SETTLE_TIME = 60;
/** Time from the latest crash to the first and to the second trial, in milliseconds. There are no more. */
const TRIAL_DELAYS = [3_000, 10_000];
/** Delay between the times at which consecutive entries in a part's order may make a trial, in milliseconds. */
const TRIAL_STEP = 250;
/** Retry delay if no trial will be made, in milliseconds: by then an operator may have fixed the back ends. */
const RETRY_WITHOUT_TRIAL = 600_000;
/** Maximum number of parts kept for one crash, counted for each request. */
export const MAX_PARTS = 256;
/** Maximum number of parts that are compared with one another. */
const MAX_CANDIDATES = 64;
/** Number of parts for which the time of their acquittal is kept. */
const MAX_ACQUITTED = 1_000;
const ALLOWED: PartDecision = { type: 'allowed' };

/** One entry's view of the prompt parts that crash back ends. */
export class CrashingParts {
  readonly #placeOf: (part: PromptPart) => number;
  readonly #trials: TrialCounts;
  readonly #crashesByPart = new Map<PromptPart, Set<PartsCrash>>();
  /** Parts that were in progress at enough crashes. */
  readonly #compared = new Set<PromptPart>();
  #groups: PartGroup[] = [];
  /** When parts that were suspect were last served, in order of time. */
  readonly #acquittedAt = new Map<PromptPart, number>();
  #served = 0;
  /** Time of the latest crash. */
  #latestAt = Number.NEGATIVE_INFINITY;
  /** Whether the crashes have changed since the last comparison. */
  #isChanged = false;
  /** Whether parts were left for which more served requests may decide. */
  #hasCandidates = false;

  /** @param placeOf - position of this entry in the order of the entries that may make a trial of a part, from 0 */
  constructor(placeOf: (part: PromptPart) => number, trials: TrialCounts) {
    this.#placeOf = placeOf;
    this.#trials = trials;
  }

  /** Number of requests served while any content was suspect. */
  get served(): number {
    return this.#served;
  }

  /** The quarantined groups. */
  get quarantined(): readonly PartGroup[] {
    return this.#groups;
  }

  /** The quarantined groups that a request with these parts has all parts of. */
  groupsIn(parts: readonly PromptPart[]): PartGroup[] {
    if (this.#groups.length === 0) return [];
    const present = new Set(parts);
    return this.#groups.filter((group) => group.every((part) => present.has(part)));
  }

  isSuspect(part: PromptPart): boolean {
    return this.#crashesByPart.has(part);
  }

  get hasSuspects(): boolean {
    return this.#crashesByPart.size > 0;
  }

  /** Whether a request with all parts of a quarantined group was in progress at the crash. */
  explains({ uses }: Pick<PartsCrash, 'uses'>): boolean {
    return this.#groups.some((group) => uses.some((use) => hasAll(use, group)));
  }

  /** Adds requests that were in progress at a crash, up to `MAX_PARTS` parts. */
  noteCrash(crash: PartsCrash, uses: readonly PartUse[]): void {
    let size = crash.uses.reduce((sum, { parts }) => sum + parts.length, 0);
    for (const use of uses) {
      if (crash.uses.some((known) => isSameUse(known, use))) continue;
      size += use.parts.length;
      if (size > MAX_PARTS) return;
      crash.uses.push(use);
      for (const part of use.parts) this.#add(crash, part);
    }
  }

  /** Another entry has quarantined the group. Parts that are not suspect here have been served since. */
  confirm(group: PartGroup): PartGroup | undefined {
    if (!this.isSuspect(trialKeyOf(group))) return undefined;
    return this.#quarantine(group.filter((part) => this.isSuspect(part)));
  }

  /** A request with these parts was served at `servedAt`; returns those that were suspect. */
  noteServed(parts: readonly PromptPart[], servedAt: number): PromptPart[] {
    this.#served++;
    return parts.filter((part) => this.acquit(part, servedAt));
  }

  /** The part was served at `servedAt`, here or at another entry; returns whether it was suspect of an earlier crash. */
  acquit(part: PromptPart, servedAt: number): boolean {
    const cleared = [...this.#crashesOf(part)].filter(({ at }) => at <= servedAt);
    if (cleared.length === 0) return false;
    this.#acquittedAt.delete(part);
    this.#acquittedAt.set(part, servedAt);
    if (this.#acquittedAt.size > MAX_ACQUITTED)
      this.#acquittedAt.delete(this.#acquittedAt.keys().next().value!);
    for (const crash of cleared) this.#remove(crash, part);
    return true;
  }

  /** Discards a crash. */
  forget(crash: PartsCrash): void {
    for (const part of [...crash.parts]) this.#remove(crash, part);
  }

  /** Quarantines the groups that explain crashes older than `SETTLE_TIME`; returns those that are new. */
  update(now: number): PartGroup[] {
    const settledAt = now - SETTLE_TIME;
    const added: PartGroup[] = this.#isChanged ? this.#narrowed(settledAt) : [];
    while (this.#isChanged || this.#hasCandidates) {
      const next = this.#findConvincing(settledAt)
        .map((group) => this.#quarantine(group))
        .filter((group) => group !== undefined);
      if (next.length === 0) break;
      added.push(...next);
    }
    return added;
  }

  /** Whether a crash is too recent for `update` to consider it at `now`. */
  hasUnsettled(now: number): boolean {
    return this.#latestAt > now - SETTLE_TIME;
  }

  /** Decides on a request of `tenant` with all parts of a quarantined group. */
  decide(group: PartGroup, tenant: string, now: number): PartDecision {
    const involved = this.tenantsOf(group);
    const isShared = involved.size > 1;
    if (!isShared && !involved.has(tenant)) return ALLOWED;
    const key = trialKeyOf(group);
    const trials = this.#trials.countOf(key);
    if (trials >= TRIAL_DELAYS.length) return { type: 'quarantined', retryAfter: RETRY_WITHOUT_TRIAL };
    // The last trial is left to a tenant whose requests were not in progress at the crashes.
    if (isShared && trials > 0 && involved.has(tenant))
      return { type: 'quarantined', retryAfter: TRIAL_DELAYS[trials] };
    const latest = Math.max(...this.#commonCrashesOf(group).map(({ at }) => at));
    const delay = TRIAL_DELAYS[trials] + TRIAL_STEP * this.#placeOf(key);
    const retryAt = Math.max(latest + delay, this.#trials.endOf(key));
    return now < retryAt ? { type: 'quarantined', retryAfter: retryAt - now } : { type: 'trial' };
  }

  /**
   * Tenants whose requests with all parts of the group may have caused its crashes. Where requests of several tenants were in
   * progress at a crash, one that caused other crashes by itself may have caused this one too.
   */
  tenantsOf(group: PartGroup): Set<string> {
    const byCrash = this.#commonCrashesOf(group).map(
      ({ uses }) => new Set(uses.filter((use) => hasAll(use, group)).map(({ tenant }) => tenant)),
    );
    const alone = byCrash.filter(({ size }) => size === 1);
    return new Set((alone.length > 0 ? alone : byCrash).flatMap((tenants) => [...tenants]));
  }

  /** Number of crashes at which all parts of the group were in progress. */
  crashCountOf(group: PartGroup): number {
    return this.#commonCrashesOf(group).length;
  }

  #add(crash: PartsCrash, part: PromptPart): void {
    if (crash.at <= (this.#acquittedAt.get(part) ?? Number.NEGATIVE_INFINITY)) return;
    this.#latestAt = Math.max(this.#latestAt, crash.at);
    crash.parts.add(part);
    const crashes = this.#crashesByPart.get(part) ?? new Set();
    this.#crashesByPart.set(part, crashes.add(crash));
    if (crashes.size >= CRASHES_TO_SUSPECT) this.#compared.add(part);
    this.#isChanged = true;
  }

  /** Adds a group, unless it is empty or another one already refuses its requests; returns it if it was added. */
  #quarantine(group: PartGroup): PartGroup | undefined {
    if (group.length === 0 || this.groupsIn(group).length > 0) return undefined;
    // Groups with more parts refuse only requests that this one refuses too.
    this.#groups = this.#groups.filter((other) => !group.every((part) => other.includes(part)));
    this.#groups.push(group);
    return group;
  }

  #remove(crash: PartsCrash, part: PromptPart): void {
    crash.parts.delete(part);
    const crashes = this.#crashesByPart.get(part);
    crashes?.delete(crash);
    this.#isChanged = true;
    if (crashes?.size !== 0) return;
    this.#crashesByPart.delete(part);
    this.#compared.delete(part);
    for (const group of this.#groups)
      if (group.includes(part))
        this.#replace(group, group[0] === part ? [] : group.filter((one) => one !== part));
    this.#trials.forget(part);
  }

  /** Replaces a group by some of its parts, or removes it. */
  #replace(group: PartGroup, left: PartGroup): void {
    this.#groups = this.#groups.filter((other) => other !== group);
    if (left.length > 0) this.#quarantine(left);
  }

  /**
   * Back ends crash on although no request in progress has all parts of a group: leaves of it the part that is in the fewest
   * of these requests, since sound requests share the others.
   */
  #narrowed(settledAt: number): PartGroup[] {
    const narrowed: PartGroup[] = [];
    for (const group of this.#groups) {
      const unexplained = this.#commonCrashesOf(group).filter(
        (crash) => crash.at <= settledAt && !this.explains(crash),
      );
      if (unexplained.length === 0) continue;
      const uses = unexplained.flatMap((crash) => crash.uses);
      const countOf = (part: PromptPart) => uses.filter(({ parts }) => parts.includes(part)).length;
      const [rarest] = [...group].sort((one, other) => countOf(one) - countOf(other));
      const left = [rarest];
      this.#replace(group, left);
      narrowed.push(left);
    }
    return narrowed;
  }

  #crashesOf(part: PromptPart): ReadonlySet<PartsCrash> {
    return this.#crashesByPart.get(part) ?? new Set();
  }

  #commonCrashesOf([first, ...others]: PartGroup): PartsCrash[] {
    return [...this.#crashesOf(first)].filter(({ parts }) => others.every((part) => parts.has(part)));
  }

  /** The next groups to quarantine. */
  #findConvincing(settledAt: number): PartGroup[] {
    const candidates = this.#candidates(settledAt);
    this.#isChanged = this.#latestAt > settledAt;
    this.#hasCandidates = candidates.length > 0;
    // A part that was in progress at the same crashes as another one, or at more, explains those of the other one too.
    const isAlone = (one: Candidate) =>
      candidates.every((other) => other === one || !includesAll(other.crashes, one.crashes));
    const alone = candidates.find((one) => isAlone(one) && this.#isServedWithout(one.crashes));
    if (alone !== undefined) return [[alone.part]];
    const certain = candidates.filter(({ moments }) => moments >= CRASHES_TO_QUARANTINE);
    const [best] = certain.sort((one, other) => explanatoryPower(other) - explanatoryPower(one));
    return best === undefined ? [] : groupsOf(certain, best.crashes);
  }

  /** Parts that may have caused crashes which no quarantined group explains, those with the most crashes first. */
  #candidates(settledAt: number): Candidate[] {
    const candidates: Candidate[] = [];
    for (const part of this.#compared) {
      const crashes = new Set(
        [...this.#crashesOf(part)].filter((crash) => crash.at <= settledAt && !this.explains(crash)),
      );
      const moments = countMoments(crashes);
      if (moments >= CRASHES_TO_SUSPECT) candidates.push({ part, crashes, moments });
    }
    return candidates.sort((one, other) => other.moments - one.moments).slice(0, MAX_CANDIDATES);
  }

  /** Whether the service has worked for requests without a part that was in progress at these crashes, and not served since. */
  #isServedWithout(crashes: ReadonlySet<PartsCrash>): boolean {
    const servedBefore = Math.min(...[...crashes].map((crash) => crash.servedBefore));
    return this.#served - servedBefore >= SERVED_WITHOUT_PART;
  }
}
