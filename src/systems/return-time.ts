/**
 * When a caller that was refused for want of a free back end is told to come back.
 *
 * The load that this answers: a peak, or the seconds after an outage, in which more is asked than back ends can run. A caller
 * comes back once; told to do so while that lasts, it is refused for good. How long it will last is not known, but the longer it
 * has lasted the longer it goes on: so callers are told to stay away for as long as it has lasted, within bounds. Times are in
 * milliseconds of the steady clock.
 */
import type { Random } from '../model/random.js';
import { LONGEST_RETURN } from './capacity-wait.js';

/** Callers are not told to come back sooner: about half of the time of a request, which frees half of the slots. Chosen. */
const SHORTEST_RETURN = 400;
/** Those that are refused in one moment come back over this share of the time more, by chance. */
const SPREAD = 1;
/** Without a refusal for this long the overload is over: about the time of a request. Chosen. */
const CALM_TIME = 1_000;

/** The overload of one service, as one entry sees it. */
export class ReturnTime {
  #since = Number.NEGATIVE_INFINITY;
  #refusedAt = Number.NEGATIVE_INFINITY;

  /** A request is refused at `now`; returns the time after which its caller is to come back. */
  refuse(now: number, random: Random): number {
    if (now - this.#refusedAt > CALM_TIME) this.#since = now;
    this.#refusedAt = now;
    const lasted = now - this.#since;
    const soon = Math.max(SHORTEST_RETURN, lasted) * (1 + SPREAD * random.fraction());
    return Math.min(LONGEST_RETURN, soon);
  }
}
