/** Compares prompt parts by the crashes at which requests with them were in progress. Pure; times are in milliseconds. */

/** Identifies a prompt part of a service: see `forwarding/prompt-parts.ts`. */
export type PromptPart = string;

/** Prompt parts of a request that was in progress at a crash. */
export interface PartUse {
  /** Name of the tenant; empty for callers without one. */
  tenant: string;
  parts: PromptPart[];
}

/** A crash at which parts were in progress. */
export interface PartsCrash {
  at: number;
  /** The requests, up to `MAX_PARTS` parts in all. */
  readonly uses: PartUse[];
  /** The parts of these requests, except those that have been served since. */
  readonly parts: Set<PromptPart>;
  /** Value of the counter of served requests when the crash became known here. */
  servedBefore: number;
}

/** Parts of which a request must have all to be refused. The first one is the most specific, and stands for the group. */
export type PartGroup = readonly PromptPart[];

/** A part with the crashes that no quarantined group explains. */
export interface Candidate {
  part: PromptPart;
  crashes: ReadonlySet<PartsCrash>;
  moments: number;
}

/** Crashes within this time of one another count once, in milliseconds. */
const SAME_MOMENT = 30;

/** Key under which the trials of a group are counted. */
export function trialKeyOf(group: PartGroup): string {
  return group[0];
}

/** Highest for a part that explains many crashes by few requests: shared parts are in most of the requests in progress. */
export function explanatoryPower({ part, crashes }: Candidate): number {
  const uses = [...crashes].flatMap((crash) => crash.uses.filter(({ parts }) => parts.includes(part)));
  return crashes.size ** 2 / uses.length;
}

/**
 * The groups that explain the same crashes: the parts that are in the fewest requests, each with the parts that all
 * requests with it have.
 */
export function groupsOf(candidates: readonly Candidate[], crashes: ReadonlySet<PartsCrash>): PartGroup[] {
  const uses = [...crashes].flatMap((crash) => crash.uses);
  const present = candidates.filter((one) => includesAll(one.crashes, crashes)).map(({ part }) => part);
  const isInAllWith = (other: PromptPart, part: PromptPart) =>
    uses.every(({ parts }) => !parts.includes(part) || parts.includes(other));
  const isSpecific = (part: PromptPart) =>
    present.every((other) => !isInAllWith(part, other) || isInAllWith(other, part));
  const groups = candidates
    .filter((one) => one.crashes.size === crashes.size && present.includes(one.part) && isSpecific(one.part))
    .map(({ part }) => part)
    .map((part) => [part, ...present.filter((other) => other !== part && isInAllWith(other, part))]);
  // Parts that are always in the same requests have the same group.
  return groups.filter(([part], index) => groups.findIndex((group) => group.includes(part)) === index);
}

/** Whether a request has all parts of a group. */
export function hasAll({ parts }: PartUse, group: PartGroup): boolean {
  return group.every((part) => parts.includes(part));
}

/** Whether two requests cannot be told apart by their tenants and parts. */
export function isSameUse(one: PartUse, other: PartUse): boolean {
  if (one.tenant !== other.tenant || one.parts.length !== other.parts.length) return false;
  return one.parts.every((part, index) => part === other.parts[index]);
}

/** Whether `all` includes each crash of `some`. */
export function includesAll(all: ReadonlySet<PartsCrash>, some: ReadonlySet<PartsCrash>): boolean {
  if (all.size < some.size) return false;
  for (const crash of some) if (!all.has(crash)) return false;
  return true;
}

/** Number of crashes, of which those within `SAME_MOMENT` of the first of them count once. */
export function countMoments(crashes: ReadonlySet<PartsCrash>): number {
  let moments = 0;
  let momentAt = Number.NEGATIVE_INFINITY;
  for (const at of [...crashes].map((crash) => crash.at).sort((one, other) => one - other)) {
    if (at - momentAt < SAME_MOMENT) continue;
    momentAt = at;
    moments++;
  }
  return moments;
}
