/**
 * The time of a planned stop: from the order to stop until the process must have ended by itself. Callers that hold the
 * address of a process that leaves are served as long as what they ask for can end; whatever cannot is refused at once, so
 * that another process can take it. Times are in milliseconds of the steady clock.
 */

/** Before the process would be killed it ends by itself: timers that fire late, and the end of the process itself. */
const KILL_MARGIN = 700;
/** Some callers keep an address this many times as long as they were told. */
const KEPT_LONGER = 3;
/** After its lifetime an address is taken for given up by all once no request has come for this. */
const QUIET = 800;
/** The longest streams measured beside a full load took this long: the last ones taken are to have as much time. */
const CLOSING_TIME = 3_100;
/** Callers look entries up anew after at most this: a longer life spares few look-ups. */
const LONGEST_ADDRESS_LIFETIME = 2_000;
const SECOND = 1_000;

/** What a stop depends on. */
export interface DrainLimits {
  /** Time from the order to stop until the process is killed. */
  graceTime: number;
  /** Time for which callers are told to keep an address. */
  addressLifetime: number;
}

/**
 * How long callers may keep an address, in whole seconds, one at least: the last of them have let go early enough for what
 * they sent to end within the time of a stop.
 */
export function addressLifetimeFor(graceTime: number): number {
  const fitting = (graceTime - KILL_MARGIN - CLOSING_TIME) / KEPT_LONGER;
  return Math.max(SECOND, Math.floor(Math.min(LONGEST_ADDRESS_LIFETIME, fitting) / SECOND) * SECOND);
}

/** When a process that is told to stop does what. */
export class DrainSchedule {
  readonly #limits: DrainLimits;
  #orderedAt: number | undefined;
  #finishedAt: number | undefined;

  constructor(limits: DrainLimits) {
    this.#limits = limits;
  }

  /** The order to stop came at `now`; a second one changes nothing. */
  begin(now: number): void {
    this.#orderedAt ??= now;
  }

  /** The process ends at `now`, maybe before it must: what comes from now on cannot end any more. */
  finish(now: number): void {
    this.begin(now);
    this.#finishedAt ??= now;
  }

  /** True from the order to stop on. */
  get isUnderWay(): boolean {
    return this.#orderedAt !== undefined;
  }

  /** Time since the order to stop; negative for what was before it, undefined without one. */
  elapsed(now: number): number | undefined {
    return this.#orderedAt === undefined ? undefined : now - this.#orderedAt;
  }

  /** When the process ends by itself, whatever is in progress; infinite before the order. */
  get endsAt(): number {
    if (this.#orderedAt === undefined) return Number.POSITIVE_INFINITY;
    const latest = this.#orderedAt + Math.max(0, this.#limits.graceTime - KILL_MARGIN);
    return Math.min(latest, this.#finishedAt ?? latest);
  }

  /** Whether what begins at `now` and takes `duration` ends before the process does. */
  canEnd(now: number, duration: number): boolean {
    return now + duration <= this.endsAt;
  }

  /**
   * Whether connections are taken: callers may hold the address, or have come lately.
   * @param quietFor - time since the latest request
   */
  takesConnections(now: number, quietFor: number): boolean {
    const elapsed = this.elapsed(now);
    if (elapsed === undefined) return true;
    const { addressLifetime } = this.#limits;
    if (now >= this.endsAt || elapsed >= KEPT_LONGER * addressLifetime) return false;
    return elapsed < addressLifetime || quietFor <= QUIET;
  }
}
