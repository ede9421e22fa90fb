/**
 * Identifies prompt parts that crash back ends, whatever else the request contains.
 *
 * No two requests with such a part need be alike, and each runs beside sound requests that share their other parts with
 * it. At each crash, the parts of all requests in progress are suspect. A part that has been served since is no longer
 * suspect, so that popular parts are cleared within milliseconds, while a part that always crashes its back end is in
 * progress at every crash that it causes and is never served.
 *
 * A part is quarantined once it alone explains several crashes while the service works for requests without it, or once it
 * explains even more crashes. Crashes that a quarantined part explains do not count against other parts. Crashes at the same
 * moment count once, as they have a common cause.
 *
 * Parts are shared by tenants. A part is refused only to the tenant whose requests were in progress at its crashes,
 * and to all tenants once there are several of these, so that no tenant can cause a part of another one to be refused
 * by naming it in requests that crash back ends for another reason.
 *
 * Pure; times are in milliseconds of the monotonic clock.
 */
import type { TrialCounts } from './trial-counts.js';

/** Identifies a prompt part of a service: see `forwarding/prompt-parts.ts`. */
export type PromptPart = string;

/** Prompt parts of the requests of one tenant that were in progress at a crash. */
export interface PartUse {
  /** Name of the tenant; empty for callers without one. */
  tenant: string;
  parts: PromptPart[];
}

/** A crash at which parts were in progress. */
export interface PartsCrash {
  at: number;
  /** Tenants whose requests contained each part. Parts that have been served since are removed. */
  readonly parts: Map<PromptPart, Set<string>>;
  /** Value of the counter of served requests when the crash became known here. */
  servedBefore: number;
}

/** Decision on a part for one tenant. */
export type PartDecision =
  | { type: 'allowed' }
  | { type: 'trial' }
  /** `retryAfter` in milliseconds. */
  | { type: 'quarantined'; retryAfter: number };

/** Crashes that quarantine a part which alone explains them, if the service works without it. */
const CRASHES_TO_SUSPECT = 3;
/** Number of requests without the part that must be served since its first crash, to rule out an outage of the service. */
const SERVED_WITHOUT_PART = 5;
/** Crashes that quarantine a part in any case, even if other parts were in progress at all of them too. */
const CRASHES_TO_QUARANTINE = 5;
/** Crashes within this time of one another count once, in milliseconds. */
const SAME_MOMENT = 60;
/** Time from the latest crash to the first and to the second trial, in milliseconds. There are no more. */
const TRIAL_DELAYS = [3_000, 10_000];
/** Delay between the times at which consecutive entries in a part's order may make a trial, in milliseconds. */
const TRIAL_STEP = 250;
/** Retry delay if no trial will be made, in milliseconds: by then an operator may have fixed the back ends. */
const RETRY_WITHOUT_TRIAL = 600_000;
/** Maximum number of parts kept for one crash, counted for each tenant. */
export const MAX_PARTS = 256;
/** Maximum number of parts that are compared with one another. */
const MAX_CANDIDATES = 64;
/** Number of parts for which the time of their acquittal is kept. */
const MAX_ACQUITTED = 1_000;
const ALLOWED: PartDecision = { type: 'allowed' };

/** A part with the crashes that no quarantined part explains. */
interface Candidate {
  part: PromptPart;
  crashes: ReadonlySet<PartsCrash>;
  moments: number;
}

/** One entry's view of the prompt parts that crash back ends. */
export class CrashingParts {
  readonly #placeOf: (part: PromptPart) => number;
  readonly #trials: TrialCounts;
  readonly #crashesByPart = new Map<PromptPart, Set<PartsCrash>>();
  /** Parts that were in progress at enough crashes, or that another entry has quarantined. */
  readonly #compared = new Set<PromptPart>();
  readonly #quarantined = new Set<PromptPart>();
  /** Number of quarantined parts that were in progress at each crash; only crashes with any. */
  readonly #explanations = new Map<PartsCrash, number>();
  /** Suspect parts that another entry has quarantined: it has seen the service work without them. */
  readonly #confirmed = new Set<PromptPart>();
  /** When parts that were suspect were last served, in order of time. */
  readonly #acquittedAt = new Map<PromptPart, number>();
  #served = 0;
  /** Whether crashes or parts have changed since the last comparison. */
  #isChanged = false;
  /** Whether parts were left that more served requests may convict. */
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

  /** The quarantined parts. */
  get quarantined(): ReadonlySet<PromptPart> {
    return this.#quarantined;
  }

  isSuspect(part: PromptPart): boolean {
    return this.#crashesByPart.has(part);
  }

  get hasSuspects(): boolean {
    return this.#crashesByPart.size > 0;
  }

  /** Whether a quarantined part was in progress at the crash. */
  explains(crash: PartsCrash): boolean {
    return this.#explanations.has(crash);
  }

  /** Adds parts that were in progress at a crash, up to `MAX_PARTS`. */
  noteCrash(crash: PartsCrash, uses: readonly PartUse[]): void {
    let size = [...crash.parts.values()].reduce((sum, tenants) => sum + tenants.size, 0);
    for (const { tenant, parts } of uses)
      for (const part of parts) if (size < MAX_PARTS && this.#add(crash, part, tenant)) size++;
  }

  /** Another entry has quarantined the part. */
  confirm(part: PromptPart): void {
    if (!this.#crashesByPart.has(part)) return;
    this.#confirmed.add(part);
    this.#compared.add(part);
    this.#isChanged = true;
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
    for (const part of [...crash.parts.keys()]) this.#remove(crash, part);
  }

  /** Quarantines the parts that explain crashes; returns those that are newly quarantined. */
  update(): PromptPart[] {
    const added: PromptPart[] = [];
    while (this.#isChanged || this.#hasCandidates) {
      const next = this.#findConvincing();
      if (next.length === 0) break;
      for (const part of next) this.#quarantine(part);
      added.push(...next);
    }
    return added;
  }

  /** Decides on a request of `tenant` with this part. */
  decide(part: PromptPart, tenant: string, now: number): PartDecision {
    if (!this.#quarantined.has(part)) return ALLOWED;
    const involved = this.tenantsOf(part);
    const isShared = involved.size > 1;
    if (!isShared && !involved.has(tenant)) return ALLOWED;
    const trials = this.#trials.countOf(part);
    if (trials >= TRIAL_DELAYS.length) return { type: 'quarantined', retryAfter: RETRY_WITHOUT_TRIAL };
    // The last trial is left to a tenant whose requests were not in progress at the crashes.
    if (isShared && trials > 0 && involved.has(tenant))
      return { type: 'quarantined', retryAfter: TRIAL_DELAYS[trials] };
    const latest = Math.max(...[...this.#crashesOf(part)].map(({ at }) => at));
    const delay = TRIAL_DELAYS[trials] + TRIAL_STEP * this.#placeOf(part);
    const retryAt = Math.max(latest + delay, this.#trials.endOf(part));
    return now < retryAt ? { type: 'quarantined', retryAfter: retryAt - now } : { type: 'trial' };
  }

  /** Tenants whose requests with the part were in progress at its crashes. */
  tenantsOf(part: PromptPart): Set<string> {
    const crashes = [...this.#crashesOf(part)];
    return new Set(crashes.flatMap(({ parts }) => [...(parts.get(part) ?? [])]));
  }

  /** Number of crashes at which the part was in progress. */
  crashCountOf(part: PromptPart): number {
    return this.#crashesOf(part).size;
  }

  /** The parts in progress at a crash, by tenant. */
  usesAt({ parts }: Pick<PartsCrash, 'parts'>): PartUse[] {
    const byTenant = new Map<string, PromptPart[]>();
    for (const [part, tenants] of parts)
      for (const tenant of tenants) byTenant.set(tenant, [...(byTenant.get(tenant) ?? []), part]);
    return [...byTenant].map(([tenant, ofTenant]) => ({ tenant, parts: ofTenant }));
  }

  #add(crash: PartsCrash, part: PromptPart, tenant: string): boolean {
    if (crash.at <= (this.#acquittedAt.get(part) ?? Number.NEGATIVE_INFINITY)) return false;
    const tenants = crash.parts.get(part) ?? new Set();
    if (tenants.has(tenant)) return false;
    crash.parts.set(part, tenants.add(tenant));
    const crashes = this.#crashesByPart.get(part) ?? new Set();
    this.#crashesByPart.set(part, crashes.add(crash));
    if (crashes.size >= CRASHES_TO_SUSPECT) this.#compared.add(part);
    if (this.#quarantined.has(part)) this.#explain(crash, 1);
    this.#isChanged = true;
    return true;
  }

  #quarantine(part: PromptPart): void {
    this.#quarantined.add(part);
    for (const crash of this.#crashesOf(part)) this.#explain(crash, 1);
  }

  /** @param change - 1 if one more quarantined part was in progress at the crash, -1 for one less */
  #explain(crash: PartsCrash, change: 1 | -1): void {
    const count = (this.#explanations.get(crash) ?? 0) + change;
    if (count > 0) this.#explanations.set(crash, count);
    else this.#explanations.delete(crash);
  }

  #remove(crash: PartsCrash, part: PromptPart): void {
    crash.parts.delete(part);
    const crashes = this.#crashesByPart.get(part);
    if (crashes?.delete(crash) && this.#quarantined.has(part)) this.#explain(crash, -1);
    this.#isChanged = true;
    if (crashes?.size !== 0) return;
    this.#crashesByPart.delete(part);
    this.#compared.delete(part);
    this.#quarantined.delete(part);
    this.#confirmed.delete(part);
    this.#trials.forget(part);
  }

  #crashesOf(part: PromptPart): ReadonlySet<PartsCrash> {
    return this.#crashesByPart.get(part) ?? new Set();
  }

  /** The next part to quarantine, with those that were in progress at exactly the same crashes; empty if there is none. */
  #findConvincing(): PromptPart[] {
    const candidates = this.#candidates();
    this.#isChanged = false;
    this.#hasCandidates = candidates.length > 0;
    for (const one of candidates) {
      const others = candidates.filter((other) => other !== one && includesAll(other.crashes, one.crashes));
      const same = others.filter(({ crashes }) => crashes.size === one.crashes.size);
      // A part that was in progress at more crashes explains those of this one too.
      if (others.length > same.length && !this.#confirmed.has(one.part)) continue;
      if (this.#isConvincing(one, same.length > 0)) return [one, ...same].map(({ part }) => part);
    }
    return [];
  }

  /** Parts that may have caused crashes which no quarantined part explains, those with the most crashes first. */
  #candidates(): Candidate[] {
    const candidates: Candidate[] = [];
    for (const part of this.#compared) {
      if (this.#quarantined.has(part)) continue;
      const isConfirmed = this.#confirmed.has(part);
      const crashes = new Set(
        [...this.#crashesOf(part)].filter((crash) => isConfirmed || !this.explains(crash)),
      );
      const moments = countMoments(crashes);
      if (moments >= CRASHES_TO_SUSPECT || isConfirmed) candidates.push({ part, crashes, moments });
    }
    return candidates.sort((one, other) => other.moments - one.moments).slice(0, MAX_CANDIDATES);
  }

  #isConvincing({ part, crashes, moments }: Candidate, hasCompanions: boolean): boolean {
    if (this.#confirmed.has(part) || moments >= CRASHES_TO_QUARANTINE) return true;
    if (hasCompanions) return false;
    const servedBefore = Math.min(...[...crashes].map((crash) => crash.servedBefore));
    return this.#served - servedBefore >= SERVED_WITHOUT_PART;
  }
}

function includesAll(all: ReadonlySet<PartsCrash>, some: ReadonlySet<PartsCrash>): boolean {
  if (all.size < some.size) return false;
  for (const crash of some) if (!all.has(crash)) return false;
  return true;
}

/** Number of crashes, of which those within `SAME_MOMENT` of the first of them count once. */
function countMoments(crashes: ReadonlySet<PartsCrash>): number {
  let moments = 0;
  let momentAt = Number.NEGATIVE_INFINITY;
  for (const at of [...crashes].map((crash) => crash.at).sort((one, other) => one - other)) {
    if (at - momentAt < SAME_MOMENT) continue;
    momentAt = at;
    moments++;
  }
  return moments;
}
