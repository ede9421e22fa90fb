/**
 * Permits to send requests to rate-limited back ends without a slot: to services without an agent, and to engines whose agent
 * does not answer. The permit schedule of each such back end is a row of the platform's store, which entries advance by
 * conditional writes, so that each permit is claimed only once even if entries cannot reach one another. No permits are
 * granted while the store is unavailable.
 *
 * The rows persist across restarts: an entry reads them at its start to learn the known limits.
 */
import { z } from 'zod';
import type { StoredRow, WatchedTables } from '../clients/watched-tables.js';
import type { StoreClock } from '../fleet/store-clock.js';
import { sleep } from '../fleet/table-follower.js';
import type { BackEndIdentity } from '../model/back-end-identity.js';
import { isSameStart } from '../model/back-end-identity.js';
import type { Random } from '../model/random.js';
import type { Startable } from '../model/startable.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { Metrics } from '../observability/metrics.js';
import { acquirePermit, newSchedule, type PermitSchedule } from '../systems/permit-schedule.js';
import type { BackEndLimits } from './back-end-limits.js';

const TABLE = 'rateLimits';
/** Separate from other data, because the write throughput of a partition is shared by all of its rows. */
const PARTITION = 'rateLimits';
/** Timeout of the write that claims a permit, in milliseconds; the request waits for it. */
const CLAIM_LIMIT = 300;
/** Timeout of other calls to the store, in milliseconds. */
const CALL_LIMIT = 1_000;
/** Minimum pause before a failed read is retried, in milliseconds; random jitter adds up to as much again. */
const RETRY_PAUSE = 250;
/** Maximum number of writes for one claim: a write conflicts if another entry has changed the row since it was read. */
const MAX_ATTEMPTS = 2;
/** Bounds of the rate at which all entries together try to claim permits of one back end, per second; twice its limit in between. */
const MIN_CLAIM_RATE = 20;
const MAX_CLAIM_RATE = 60;
/** Time after which a row without claims is deleted, in milliseconds: its back end no longer exists. */
const ROW_RETENTION = 600_000;
/** Maximum number of rows deleted in one transaction. */
const MAX_DELETED_ROWS = 100;
const MILLISECONDS = 1_000;

const storedSchedule = z.object({
  start: z.number().optional(),
  rate: z.number(),
  dueAt: z.number(),
  // Rows of earlier releases hold named limits only.
  isNamed: z.boolean().default(true),
});

export interface DirectPermitsOptions {
  tables: WatchedTables;
  clock: StoreClock;
  limits: BackEndLimits;
  /** Number of entries that send requests, including this one. */
  entryCount: () => number;
  random: Random;
  log: Log;
  metrics: Metrics;
}

/** The last known state of a back end's row. */
interface KnownRow {
  schedule: PermitSchedule | undefined;
  /** 0 if the row does not exist. */
  revision: number;
  /** Whether a write to the row is in progress. */
  isWriting: boolean;
  /** Earliest time of the next claim, in milliseconds of the monotonic clock. */
  nextClaimAt: number;
}

/** Claims permits for one entry. */
export class DirectPermits implements Startable {
  readonly #options: DirectPermitsOptions;
  readonly #rows = new Map<string, KnownRow>();
  readonly #counts = { granted: 0, denied: 0, failed: 0 };
  #stopped = new AbortController();

  constructor(options: DirectPermitsOptions) {
    this.#options = options;
    options.metrics.add([
      {
        name: 'direct_permits',
        help: 'Calls to the store since the start for permits to send to back ends with a rate limit, by what came of them',
        label: 'outcome',
        read: () => ({ ...this.#counts }),
      },
    ]);
  }

  /** Reads the rows in the background, because an entry must start even if the store is unavailable. */
  async start(): Promise<void> {
    this.#stopped = new AbortController();
    void this.#readAll(this.#stopped.signal);
  }

  async stop(): Promise<void> {
    this.#stopped.abort();
  }

  /** Whether a claim may succeed now; always true for a back end without a limit, and false while the store's time is unknown. */
  mayClaim(backEnd: BackEndIdentity, now: number): boolean {
    if (this.#options.limits.rateOf(backEnd) === undefined) return true;
    if (!this.#options.clock.isKnown) return false;
    const { schedule, isWriting, nextClaimAt } = this.#rowOf(backEnd.id);
    if (isWriting || now < nextClaimAt) return false;
    const dueAt = isScheduleOf(schedule, backEnd) ? schedule.dueAt : Number.NEGATIVE_INFINITY;
    return this.#options.clock.storeTimeAt(now) >= dueAt;
  }

  /** Claims a permit for one request; false if none is due or the store does not answer in time. */
  async claim(backEnd: BackEndIdentity, hasAgent: boolean): Promise<boolean> {
    const { limits, clock } = this.#options;
    const rate = limits.rateOf(backEnd);
    if (rate === undefined) return true;
    if (!this.mayClaim(backEnd, performance.now())) return false;
    const isNamed = limits.namedRateOf(backEnd) !== undefined;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const storeTime = clock.storeTimeAt(performance.now());
      const { schedule } = this.#rowOf(backEnd.id);
      if (!isScheduleOf(schedule, backEnd)) {
        await this.#write(backEnd.id, newSchedule(backEnd.start, rate, isNamed, storeTime), rate);
        return false;
      }
      const next = acquirePermit(schedule, rate, hasAgent, storeTime);
      if (next === undefined) return false;
      const outcome = await this.#write(backEnd.id, { ...next, isNamed }, rate);
      if (outcome === 'conflict') continue;
      if (outcome === 'written') this.#counts.granted++;
      return outcome === 'written';
    }
    return false;
  }

  /** Stores a newly named limit, so that entries that start later learn it. */
  async noteNamed(backEnd: BackEndIdentity, rate: number): Promise<void> {
    const now = performance.now();
    const { clock } = this.#options;
    const row = this.#rowOf(backEnd.id);
    if (!clock.isKnown || row.isWriting) return;
    const known = isScheduleOf(row.schedule, backEnd) ? row.schedule : undefined;
    if (known?.isNamed === true) return;
    const schedule =
      known === undefined
        ? newSchedule(backEnd.start, rate, true, clock.storeTimeAt(now))
        : { ...known, rate, isNamed: true };
    await this.#write(backEnd.id, schedule, rate);
  }

  /** Deletes the row of a lifted limit. If the limit is named again, its new schedule starts without a permit. */
  async noteLifted({ id }: BackEndIdentity): Promise<void> {
    this.#rows.delete(id);
    await this.#delete([id]);
  }

  /** The store was restored from an older copy, which may lack recent writes. */
  noteOlderCopy(): void {
    this.#rows.clear();
    void this.#readAll(this.#stopped.signal);
  }

  #rowOf(id: string): KnownRow {
    const known = this.#rows.get(id);
    if (known !== undefined) return known;
    const row: KnownRow = { schedule: undefined, revision: 0, isWriting: false, nextClaimAt: 0 };
    this.#rows.set(id, row);
    return row;
  }

  /** Writes a schedule if the row still has its last known revision. */
  async #write(
    id: string,
    schedule: PermitSchedule,
    rate: number,
  ): Promise<'written' | 'conflict' | 'failed'> {
    const row = this.#rowOf(id);
    row.isWriting = true;
    row.nextClaimAt = performance.now() + this.#claimInterval(rate);
    const name = { table: TABLE, partition: PARTITION, key: id };
    const outcome = await this.#options.tables.transact(
      [{ ...name, revision: row.revision }],
      [{ ...name, value: Buffer.from(JSON.stringify(schedule)) }],
      withLimit(this.#stopped.signal, CLAIM_LIMIT),
    );
    row.isWriting = false;
    if (!outcome.ok) {
      this.#counts.failed++;
      return 'failed';
    }
    if (outcome.value.type === 'conflict') {
      this.#counts.denied++;
      this.#noteRow(id, outcome.value.rows[0]);
      return 'conflict';
    }
    row.revision = outcome.value.revision;
    row.schedule = schedule;
    return 'written';
  }

  /** This entry's time until its next claim, with jitter; limits the load of all entries on the store. */
  #claimInterval(rate: number): number {
    const { entryCount, random } = this.#options;
    const claimRate = Math.min(MAX_CLAIM_RATE, Math.max(MIN_CLAIM_RATE, 2 * rate));
    return (entryCount() / claimRate) * MILLISECONDS * (0.5 + random.fraction());
  }

  async #readAll(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !(await this.#read(signal)))
      await sleep(RETRY_PAUSE * (1 + this.#options.random.fraction()), signal);
  }

  async #read(signal: AbortSignal): Promise<boolean> {
    const { tables, clock, limits, log } = this.#options;
    const requestedAt = performance.now();
    const read = await tables.read(TABLE, PARTITION, withLimit(signal, CALL_LIMIT));
    if (!read.ok) return false;
    clock.addSample(read.value.storeTime, performance.now(), requestedAt);
    const expired: string[] = [];
    for (const stored of read.value.rows) {
      const schedule = this.#noteRow(stored.key, stored);
      if (schedule === undefined) continue;
      if (schedule.dueAt < read.value.storeTime - ROW_RETENTION) expired.push(stored.key);
      else if (schedule.isNamed)
        limits.restore({ id: stored.key, start: schedule.start }, schedule.rate, performance.now());
    }
    if (read.value.rows.length > 0) log.info('rate limits read', { rows: read.value.rows.length });
    if (expired.length > 0) await this.#delete(expired.slice(0, MAX_DELETED_ROWS));
    return true;
  }

  /** Updates the known state of a row; returns undefined if the row does not exist or is malformed. */
  #noteRow(id: string, stored: StoredRow | undefined): PermitSchedule | undefined {
    const row = this.#rowOf(id);
    row.revision = stored?.value === undefined ? 0 : stored.revision;
    row.schedule = stored?.value === undefined ? undefined : parseSchedule(stored.value);
    if (stored?.value !== undefined && row.schedule === undefined)
      this.#options.log.warn('rate limit row malformed', { backEnd: id });
    return row.schedule;
  }

  async #delete(ids: readonly string[]): Promise<void> {
    const rows = ids.map((key) => ({ table: TABLE, partition: PARTITION, key, value: undefined }));
    const outcome = await this.#options.tables.transact(
      [],
      rows,
      withLimit(this.#stopped.signal, CALL_LIMIT),
    );
    // A row that remains only limits the back end until its next answer without a limit.
    if (!outcome.ok) this.#options.log.warn('rate limit rows not deleted', { ...outcome.error });
  }
}

/** Whether a schedule exists and belongs to this start of the back end. */
function isScheduleOf(
  schedule: PermitSchedule | undefined,
  { start }: BackEndIdentity,
): schedule is PermitSchedule {
  return schedule !== undefined && isSameStart(schedule.start, start);
}

function parseSchedule(value: Buffer): PermitSchedule | undefined {
  try {
    const { data } = storedSchedule.safeParse(JSON.parse(value.toString()));
    return data === undefined ? undefined : { start: undefined, ...data };
  } catch {
    return undefined;
  }
}
