/**
 * Tracks the rate limits that back ends name in their answers, per entry. A limit applies to one start of a back end. It is
 * lifted by an answer without a limit, if the request was sent after the limit was last named: answers can arrive out of
 * order. Times are in milliseconds of the monotonic clock.
 */
import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';
import type { Log } from '../observability/log.js';
import type { Metrics } from '../observability/metrics.js';
import type { RateLimitUpdate } from '../protocol/rate-limit-update.js';
import type { BackEndWarmUps } from './back-end-warm-ups.js';
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

/** Notified of changes that this entry learned from an answer. */
export interface LimitListener {
  onNamed(backEnd: BackEndIdentity, rate: number): void;
  onLifted(backEnd: BackEndIdentity): void;
  /** Called with news to send to all other entries. */
  onNews(news: RateLimitUpdate): void;
}

/**
 * Time during which an answer takes precedence over news from other entries, in milliseconds: news can arrive late, and a new
 * connection can repeat outdated news.
 */
const ANSWER_PRECEDENCE = 2_000;
/** Relative change from the last announced rate above which a new rate is announced to other entries. */
const ANNOUNCED_CHANGE = 0.1;

interface KnownLimit {
  start: BackEndIdentity['start'];
  /** Requests per second from all entries together. */
  rate: number;
  /** When the limit was last named. */
  namedAt: number;
  /** When an answer to this entry last named the limit; minus infinity if none has. */
  answeredAt: number;
  /** The rate that was last announced to other entries or received from them or the store. */
  announcedRate: number;
  /** When the limit ends after another entry reported it lifted; infinity without such news. */
  endsAt: number;
}

/** The current rate limit of each back end. */
export class BackEndLimits {
  readonly #limits = new Map<string, KnownLimit>();
  /** When an answer to this entry last lifted a limit, by back end. */
  readonly #liftedAt = new Map<string, number>();
  readonly #counts = { named: 0, lifted: 0, malformed: 0 };
  readonly #sends = { slot: 0, direct: 0 };
  readonly #log: Log;
  readonly #warmUps: Pick<BackEndWarmUps, 'rateOf'> | undefined;
  #listener: LimitListener | undefined;

  /** @param warmUps - the cold back ends, which are limited without naming it; undefined for none */
  constructor(log: Log, metrics: Metrics, warmUps?: Pick<BackEndWarmUps, 'rateOf'>) {
    this.#log = log;
    this.#warmUps = warmUps;
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

  /**
   * Requests per second that a back end takes from all entries together: the lower one of the limit that it names and what it
   * bears while it is cold; undefined if there is neither.
   */
  rateOf(backEnd: BackEndIdentity, now = performance.now()): number | undefined {
    const named = this.namedRateOf(backEnd, now);
    const cold = this.coldRateOf(backEnd, now);
    return named === undefined || cold === undefined ? (named ?? cold) : Math.min(named, cold);
  }

  /** Requests per second that a back end bears while it is cold; undefined if it is warm. */
  coldRateOf(backEnd: BackEndIdentity, now = performance.now()): number | undefined {
    return this.#warmUps?.rateOf(backEnd, now);
  }

  /** The limit that a back end names, in requests per second; undefined if none is known. Removes a limit that has ended. */
  namedRateOf({ id, start }: BackEndIdentity, now = performance.now()): number | undefined {
    const known = this.#limits.get(id);
    if (known === undefined || !isSameStart(known.start, start)) return undefined;
    if (now < known.endsAt) return known.rate;
    this.#lift(id, known, now);
    return undefined;
  }

  /** Updates the limit of a back end from an answer. */
  noteAnswer({ backEnd, notice, sentAt, mayLift }: RateLimitObservation, now: number): void {
    if (this.#isFormerStart(backEnd)) return;
    if (notice.type === 'named') return this.#noteNamed(backEnd, notice.rate, now);
    if (notice.type === 'malformed') return this.#noteMalformed(backEnd, notice.text);
    const known = this.#limits.get(backEnd.id);
    if (known === undefined || !mayLift || sentAt <= known.namedAt) return;
    this.#lift(backEnd.id, known, now);
    this.#liftedAt.set(backEnd.id, now);
    this.#listener?.onLifted(backEnd);
    this.#listener?.onNews({ type: 'lifted', backEnd: backEnd.id, start: backEnd.start });
  }

  /** Counts a request sent to a back end with a known limit. */
  noteSent(backEnd: BackEndIdentity, hasSlot: boolean): void {
    if (this.rateOf(backEnd) !== undefined) this.#sends[hasSlot ? 'slot' : 'direct']++;
  }

  listen(listener: LimitListener): void {
    this.#listener = listener;
  }

  /**
   * Applies news from another entry. While a recent answer takes precedence, a named limit is ignored, and a lifted one is kept
   * until that time has passed.
   */
  takeNews(news: RateLimitUpdate, now: number): void {
    const backEnd = { id: news.backEnd, start: news.start };
    if (this.#isFormerStart(backEnd)) return;
    const known = this.#limits.get(backEnd.id);
    if (news.type === 'lifted') {
      if (known === undefined) return;
      known.endsAt = Math.max(now, known.answeredAt + ANSWER_PRECEDENCE);
      this.namedRateOf(backEnd, now);
      return;
    }
    const lastAnswerAt = Math.max(
      known?.answeredAt ?? Number.NEGATIVE_INFINITY,
      this.#liftedAt.get(backEnd.id) ?? Number.NEGATIVE_INFINITY,
    );
    if (now - lastAnswerAt >= ANSWER_PRECEDENCE) this.restore(backEnd, news.rate, now);
  }

  /** Sets a limit that was learned from another entry or from the store. */
  restore(backEnd: BackEndIdentity, rate: number, now: number): void {
    const answeredAt = this.#limits.get(backEnd.id)?.answeredAt ?? Number.NEGATIVE_INFINITY;
    const endsAt = Number.POSITIVE_INFINITY;
    this.#set(
      backEnd,
      { start: backEnd.start, rate, namedAt: now, answeredAt, announcedRate: rate, endsAt },
      now,
    );
  }

  /** All known limits that no other entry has reported lifted, to send on a new connection. */
  allNews(): RateLimitUpdate[] {
    const active = [...this.#limits].filter(([, { endsAt }]) => endsAt === Number.POSITIVE_INFINITY);
    return active.map(([backEnd, { start, rate }]) => ({ type: 'named', backEnd, start, rate }));
  }

  #noteNamed(backEnd: BackEndIdentity, rate: number, now: number): void {
    const isKnown = this.namedRateOf(backEnd, now) !== undefined;
    const announcedRate = isKnown ? this.#limits.get(backEnd.id)!.announcedRate : Number.NaN;
    const isAnnounced = Math.abs(rate - announcedRate) <= ANNOUNCED_CHANGE * announcedRate;
    const { start } = backEnd;
    const limit: KnownLimit = {
      start,
      rate,
      namedAt: now,
      answeredAt: now,
      announcedRate: isAnnounced ? announcedRate : rate,
      endsAt: Number.POSITIVE_INFINITY,
    };
    this.#set(backEnd, limit, now);
    if (!isKnown) this.#listener?.onNamed(backEnd, rate);
    if (!isAnnounced) this.#listener?.onNews({ type: 'named', backEnd: backEnd.id, start, rate });
  }

  #set(backEnd: BackEndIdentity, limit: KnownLimit, now: number): void {
    const previousRate = this.namedRateOf(backEnd, now);
    this.#limits.set(backEnd.id, limit);
    if (previousRate === limit.rate) return;
    this.#counts.named++;
    const isFromAnswer = limit.answeredAt === limit.namedAt;
    this.#log.info('rate limit named', { backEnd: backEnd.id, rate: limit.rate, previousRate, isFromAnswer });
  }

  #lift(id: string, { rate, namedAt }: KnownLimit, now: number): void {
    this.#limits.delete(id);
    this.#counts.lifted++;
    this.#log.info('rate limit lifted', { backEnd: id, rate, sinceNamedMs: Math.round(now - namedAt) });
  }

  /** Whether `start` is earlier than the known one: late answers and news from before a restart are ignored. */
  #isFormerStart({ id, start }: BackEndIdentity): boolean {
    const known = this.#limits.get(id)?.start;
    return known != null && start != null && start < known;
  }

  /** Counts and logs a malformed header; the known limit is kept. */
  #noteMalformed({ id }: BackEndIdentity, text: string): void {
    this.#counts.malformed++;
    this.#log.warn('rate limit malformed', { backEnd: id, text });
  }
}
