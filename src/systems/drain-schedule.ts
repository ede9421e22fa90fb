/**
 * Schedule of a graceful shutdown, from the order to stop until the process must have exited. Callers that still use the
 * address of the process are served if their requests have ended, one way or the other, before it exits. All others are refused
 * immediately, so that another process can take them. Times are in milliseconds of the monotonic clock.
 */

/** The process exits this long before it would be killed, to allow for late timers and for the exit itself. */
const KILL_MARGIN = 700;
/** Some callers keep using an address for up to this many times its lifetime. */
const ADDRESS_OVERUSE_FACTOR = 3;
/** After its lifetime, an address is considered unused once no request has arrived for this long. */
const QUIET_PERIOD = 800;
/** Expected duration of the last requests, which only decides for how long callers may keep an address. */
const LAST_REQUESTS_TIME = 3_100;
/** Upper bound of the address lifetime; a longer one would save few look-ups. */
const MAX_ADDRESS_LIFETIME = 2_000;
/** Each of the last steps takes at most this fraction of the time that is left. */
const LAST_STEPS = 3;
const SECOND = 1_000;

/** Parameters of a shutdown. */
export interface DrainLimits {
  /** Time from the order to stop until the process is killed. */
  graceTime: number;
  /** Time for which callers are told they may use an address. */
  addressLifetime: number;
}

/**
 * The address lifetime for a grace time, in whole seconds and at least one. It is short enough that the requests of the callers that
 * keep the address longest usually complete before the process exits.
 */
export function addressLifetimeFor(graceTime: number): number {
  const fitting = (graceTime - KILL_MARGIN - LAST_REQUESTS_TIME) / ADDRESS_OVERUSE_FACTOR;
  return Math.max(SECOND, Math.floor(Math.min(MAX_ADDRESS_LIFETIME, fitting) / SECOND) * SECOND);
}

/** The state of a shutdown. */
export class DrainSchedule {
  readonly #limits: DrainLimits;
  #orderedAt: number | undefined;
  #finishedAt: number | undefined;

  constructor(limits: DrainLimits) {
    this.#limits = limits;
  }

  /** Starts the shutdown at `now`; further calls have no effect. */
  begin(now: number): void {
    this.#orderedAt ??= now;
  }

  /** The process exits at `now`, possibly before it has to; requests that arrive from now on cannot complete. */
  finish(now: number): void {
    this.begin(now);
    this.#finishedAt ??= now;
  }

  /** True once the shutdown has started. */
  get isUnderWay(): boolean {
    return this.#orderedAt !== undefined;
  }

  /** Time from the order to stop to `now`; negative if `now` is before it, undefined if there was none. */
  elapsed(now: number): number | undefined {
    return this.#orderedAt === undefined ? undefined : now - this.#orderedAt;
  }

  /** When the process exits, whatever is in progress; infinite before the order to stop. */
  get endsAt(): number {
    if (this.#orderedAt === undefined) return Number.POSITIVE_INFINITY;
    const latest = this.#orderedAt + Math.max(0, this.#limits.graceTime - KILL_MARGIN);
    return Math.min(latest, this.#finishedAt ?? latest);
  }

  /**
   * Time that one of the last steps before the exit may take: `limit`, or a part of what is left until the process is killed, so that
   * it exits by itself even if it could not begin in time.
   */
  lastStepTime(limit: number, now: number): number {
    if (this.#orderedAt === undefined) return limit;
    const left = this.#orderedAt + this.#limits.graceTime - now;
    return Math.max(0, Math.min(limit, left / LAST_STEPS));
  }

  /**
   * Whether a request may be taken that must have its final answer by `deadline`. How long its answer takes does not matter: while
   * processes stop, answers of the same kind may take many times as long as before.
   */
  canComplete(deadline: number): boolean {
    return deadline <= this.endsAt;
  }

  /**
   * Whether connections are accepted: callers may still use the address, or have sent requests recently.
   * @param quietFor - time since the latest request
   */
  acceptsConnections(now: number, quietFor: number): boolean {
    const elapsed = this.elapsed(now);
    if (elapsed === undefined) return true;
    const { addressLifetime } = this.#limits;
    if (now >= this.endsAt || elapsed >= ADDRESS_OVERUSE_FACTOR * addressLifetime) return false;
    return elapsed < addressLifetime || quietFor <= QUIET_PERIOD;
  }
}
