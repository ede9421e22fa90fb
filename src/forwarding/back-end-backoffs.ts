/**
 * Tracks the back-off times of back ends: one that refuses a request may state for how long it wants no further request from
 * this process. Times are in milliseconds of the monotonic clock.
 */
import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';
import type { Log } from '../observability/log.js';
import type { Metrics } from '../observability/metrics.js';
import type { RetryAfterNotice } from './retry-after-notice.js';

/** Back-offs that ended this long ago are discarded, in milliseconds. */
const RETENTION = 60_000;

/** The back-off of one start of a back end. */
interface Backoff {
  start: BackEndIdentity['start'];
  endsAt: number;
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

  /** A request is sent to a back end. */
  noteSent(backEnd: BackEndIdentity, now: number): void {
    if (this.timeLeft(backEnd, now) > 0) this.#sendsDuringBackoff++;
  }

  /** A back end has refused a request with this header; of several back-off times the one that ends last applies. */
  noteRefusal(backEnd: BackEndIdentity, notice: RetryAfterNotice, now: number): void {
    const { id, start } = backEnd;
    if (notice.type === 'absent') return;
    if (notice.type === 'malformed') {
      this.#counts.malformed++;
      this.#log.warn('back-off time malformed', { backEnd: id, text: notice.text });
      return;
    }
    this.#counts.requested++;
    const isNew = this.timeLeft(backEnd, now) === 0;
    this.#extend(backEnd, now + notice.milliseconds, now);
    if (isNew)
      this.#log.info('back end backs off', { backEnd: id, start, milliseconds: notice.milliseconds });
  }

  #extend(backEnd: BackEndIdentity, endsAt: number, now: number): void {
    const known = this.#find(backEnd);
    if (known !== undefined) {
      known.endsAt = Math.max(known.endsAt, endsAt);
      return;
    }
    this.#discardEnded(now);
    const ofId = this.#backoffs.get(backEnd.id) ?? [];
    this.#backoffs.set(backEnd.id, [...ofId, { start: backEnd.start, endsAt }]);
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
