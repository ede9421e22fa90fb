/**
 * Tracks the back-off times of back ends: one that refuses a request may state for how long it wants no further request from
 * this process. It then gets none, but for `MAX_SENDS` requests that no other back end can take. After the back-off it gets a
 * single request as a probe, and others once that is answered without another back-off: requests that were waiting would
 * overload it again if they were sent all at once.
 *
 * A back-off belongs to one start of a back end and outlasts the removal of its record. It applies to this process only, so
 * other processes are not told of it. Times are in milliseconds of the monotonic clock.
 */
import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';
import type { Log } from '../observability/log.js';
import type { Metrics } from '../observability/metrics.js';
import type { RetryAfterNotice } from './retry-after-notice.js';

/** Requests that may be sent to a back end during one back-off, as the users' rules allow. */
const MAX_SENDS = 2;
/** Back-offs that ended this long ago are discarded, in milliseconds. */
const RETENTION = 60_000;

/** The back-off of one start of a back end. */
interface Backoff {
  start: BackEndIdentity['start'];
  /** The latest end of all times for which it has asked. */
  endsAt: number;
  /** Number of requests sent to it since it first asked. */
  sends: number;
  /** The first request sent after the end, while it is unanswered. */
  probe: object | undefined;
}

/** The back-off times that back ends have requested from this process. */
export class BackEndBackoffs {
  /** By id; a back end that restarts has a separate back-off for each start. */
  readonly #backoffs = new Map<string, Backoff[]>();
  readonly #counts = { requested: 0, malformed: 0 };
  readonly #log: Log;
  #sendsDuringBackoff = 0;

  constructor(log: Log, metrics: Metrics) {
    this.#log = log;
    metrics.add([
      {
        name: 'back_end_backoffs',
        help: 'Answers since the start by which back ends asked for a back-off time, and those whose header held no time',
        label: 'kind',
        read: () => ({ ...this.#counts }),
      },
      {
        name: 'back_ends_backing_off',
        help: 'Back ends that have asked for a back-off time which has not ended',
        read: () => this.#activeCount(performance.now()),
      },
      {
        name: 'sends_during_backoff',
        help: 'Requests sent since the start to back ends during a back-off time that they had asked for',
        read: () => this.#sendsDuringBackoff,
      },
    ]);
  }

  /** Remaining back-off time of a back end, in milliseconds; 0 if none. */
  timeLeft(backEnd: BackEndIdentity, now: number): number {
    return Math.max(0, (this.#find(backEnd)?.endsAt ?? 0) - now);
  }

  /** Whether the request that was sent first after the back-off is unanswered. */
  isProbed(backEnd: BackEndIdentity): boolean {
    return this.#find(backEnd)?.probe !== undefined;
  }

  /**
   * Whether a request may be sent to a back end now.
   * @param isLastResort - whether no other back end can take the request
   */
  admits(backEnd: BackEndIdentity, now: number, isLastResort: boolean): boolean {
    const backoff = this.#find(backEnd);
    if (backoff === undefined) return true;
    if (now < backoff.endsAt) return isLastResort && backoff.sends < MAX_SENDS;
    return backoff.probe === undefined;
  }

  /** An attempt is sent to a back end. */
  noteSent(backEnd: BackEndIdentity, attempt: object, now: number): void {
    const backoff = this.#find(backEnd);
    if (backoff === undefined) return;
    if (now >= backoff.endsAt) {
      backoff.probe = attempt;
      return;
    }
    backoff.sends++;
    this.#sendsDuringBackoff++;
  }

  /**
   * A back end has answered a request that was sent at `sentAt`, with this `Retry-After` if the answer was a 503. The back-off
   * that ends last applies. One that has ended is over if the answer asks for no other.
   */
  noteAnswer(backEnd: BackEndIdentity, notice: RetryAfterNotice, sentAt: number, now: number): void {
    if (notice.type === 'malformed') this.#noteMalformed(backEnd, notice.text);
    if (notice.type === 'requested' && notice.milliseconds > 0)
      return this.#noteRequested(backEnd, notice.milliseconds, now);
    const backoff = this.#find(backEnd);
    if (backoff !== undefined && sentAt >= backoff.endsAt) this.#remove(backEnd.id, backoff);
  }

  /** An attempt has ended, answered or not. */
  noteEnded(backEnd: BackEndIdentity, attempt: object): void {
    const backoff = this.#find(backEnd);
    if (backoff?.probe === attempt) backoff.probe = undefined;
  }

  #noteMalformed({ id }: BackEndIdentity, text: string): void {
    this.#counts.malformed++;
    this.#log.warn('back-off time malformed', { backEnd: id, text });
  }

  #noteRequested(backEnd: BackEndIdentity, milliseconds: number, now: number): void {
    this.#counts.requested++;
    const endsAt = now + milliseconds;
    const known = this.#find(backEnd);
    if (known !== undefined && now < known.endsAt) {
      known.endsAt = Math.max(known.endsAt, endsAt);
      return;
    }
    const { id, start } = backEnd;
    this.#log.info('back end backs off', { backEnd: id, start, milliseconds });
    if (known !== undefined) this.#remove(id, known);
    this.#discardEnded(now);
    const others = this.#backoffs.get(id) ?? [];
    this.#backoffs.set(id, [...others, { start, endsAt, sends: 0, probe: undefined }]);
  }

  #remove(id: string, backoff: Backoff): void {
    const others = this.#backoffs.get(id)?.filter((one) => one !== backoff) ?? [];
    if (others.length > 0) this.#backoffs.set(id, others);
    else this.#backoffs.delete(id);
  }

  #find({ id, start }: BackEndIdentity): Backoff | undefined {
    return this.#backoffs.get(id)?.find((backoff) => isSameStart(backoff.start, start));
  }

  #discardEnded(now: number): void {
    for (const [id, backoffs] of this.#backoffs) {
      const kept = backoffs.filter(({ endsAt }) => now - endsAt < RETENTION);
      if (kept.length > 0) this.#backoffs.set(id, kept);
      else this.#backoffs.delete(id);
    }
  }

  #activeCount(now: number): number {
    return [...this.#backoffs.values()].flat().filter(({ endsAt }) => endsAt > now).length;
  }
}
