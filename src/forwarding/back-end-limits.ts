/**
 * Tracks the rate limits that back ends name in their answers, per entry. A limit applies to one start of a back end. It is
 * lifted by an answer without a limit, if the request was sent after the limit was last named: answers can arrive out of
 * order. Times are in milliseconds of the steady clock.
 */
import { type BackEndIdentity, isSameStart } from '../fleet/back-end-identity.js';
import type { Log } from '../observability/log.js';
import type { Metrics } from '../observability/metrics.js';
import type { RateLimitNotice } from './rate-limit-notice.js';

/** Rate limit information from one answer. */
export interface RateLimitObservation {
  backEnd: BackEndIdentity;
  notice: RateLimitNotice;
  /** When the request was sent. */
  sentAt: number;
  /** False for refusals and server errors: these do not lift a limit if they lack the header. */
  mayLift: boolean;
}

interface KnownLimit {
  start: BackEndIdentity['start'];
  /** Requests a second from all entries together. */
  rate: number;
  /** When the limit was last named. */
  namedAt: number;
}

/** The current rate limit of each back end. */
export class BackEndLimits {
  readonly #limits = new Map<string, KnownLimit>();
  readonly #counts = { named: 0, lifted: 0, malformed: 0 };
  readonly #sends = { slot: 0, direct: 0 };
  readonly #log: Log;

  constructor(log: Log, metrics: Metrics) {
    this.#log = log;
    metrics.add([
      {
        name: 'back_end_rate_limit',
        help: 'Requests a second that a back end takes from all entries together, while it limits them',
        label: 'back_end',
        read: () => Object.fromEntries([...this.#limits].map(([id, { rate }]) => [id, rate])),
      },
      {
        name: 'back_end_rate_limit_changes',
        help: 'Rate limits named and lifted since the start, and headers that held no rate',
        label: 'kind',
        read: () => ({ ...this.#counts }),
      },
      {
        name: 'sends_to_limited_back_ends',
        help: 'Requests sent since the start to back ends with a rate limit, with a slot of an agent or directly',
        label: 'way',
        read: () => ({ ...this.#sends }),
      },
    ]);
  }

  /** Requests a second that a back end takes from all entries together; undefined if no limit is known. */
  rateOf({ id, start }: BackEndIdentity): number | undefined {
    const known = this.#limits.get(id);
    return known !== undefined && isSameStart(known.start, start) ? known.rate : undefined;
  }

  /** Updates the limit of a back end from an answer. */
  noteAnswer({ backEnd, notice, sentAt, mayLift }: RateLimitObservation, now: number): void {
    if (notice.type === 'named') return this.#name(backEnd, notice.rate, now);
    if (notice.type === 'malformed') return this.#noteMalformed(backEnd, notice.text);
    const known = this.#limits.get(backEnd.id);
    if (known === undefined || !mayLift || !isSameStart(known.start, backEnd.start)) return;
    if (sentAt > known.namedAt) this.#lift(backEnd.id, known);
  }

  /** Counts a request sent to a back end with a known limit. */
  noteSent(backEnd: BackEndIdentity, hasSlot: boolean): void {
    if (this.rateOf(backEnd) !== undefined) this.#sends[hasSlot ? 'slot' : 'direct']++;
  }

  #name(backEnd: BackEndIdentity, rate: number, now: number): void {
    const previousRate = this.rateOf(backEnd);
    this.#limits.set(backEnd.id, { start: backEnd.start, rate, namedAt: now });
    if (previousRate === rate) return;
    this.#counts.named++;
    this.#log.info('rate limit named', { backEnd: backEnd.id, rate, previousRate });
  }

  #lift(id: string, { rate, namedAt }: KnownLimit): void {
    this.#limits.delete(id);
    this.#counts.lifted++;
    const sinceNamedMs = Math.round(performance.now() - namedAt);
    this.#log.info('rate limit lifted', { backEnd: id, rate, sinceNamedMs });
  }

  /** Counts and logs a malformed header; the known limit is kept. */
  #noteMalformed({ id }: BackEndIdentity, text: string): void {
    this.#counts.malformed++;
    this.#log.warn('rate limit malformed', { backEnd: id, text });
  }
}
