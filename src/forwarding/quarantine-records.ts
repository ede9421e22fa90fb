/**
 * Persists the information on contents that crash back ends in the platform's store, because all entries may stop at
 * once. Each entry has one row for the crashes that it has detected. Each trial of any entry has a row of its own.
 *
 * A trial is claimed before its request is sent. Its row is created on the condition that it does not exist, so that
 * entries that cannot reach one another or have restarted do not each run the same trial. While the store is
 * unavailable there are no trials.
 *
 * Rows are read at the start and whenever the store was restored from an older copy. Otherwise entries inform one
 * another directly.
 */
import { z } from 'zod';
import type { PlatformError } from '../clients/errors.js';
import type { StoreRevision } from '../clients/store-revision.js';
import type {
  StoredRow,
  StoredRowCondition,
  StoreOutcome,
  WatchedTables,
} from '../clients/watched-tables.js';
import type { StoreClock } from '../fleet/store-clock.js';
import { sleep } from '../fleet/table-follower.js';
import type { Random } from '../model/random.js';
import type { Result } from '../model/result.js';
import type { Startable } from '../model/startable.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { PartUse, PromptPart } from '../systems/part-groups.js';
import { type BackEndCrash, type Fingerprint, keyOf } from '../systems/poison-requests.js';

const TABLE = 'quarantine';
/** Separate from other data, because the write throughput of a partition is shared by all of its rows. */
const PARTITION = 'quarantine';
const CRASHES_PREFIX = 'crashes/';
const TRIAL_PREFIX = 'trial/';
/** Timeout of a call to the store, in milliseconds. */
const CALL_LIMIT = 1_000;
/** Timeout of the claim of a trial, in milliseconds: its caller waits. */
const CLAIM_LIMIT = 300;
/**
 * Delay before a write, in milliseconds. The suspects of one crash become known within a few milliseconds and are
 * mostly written together. The delay is short because unwritten information is lost if all entries stop.
 */
const BATCH_DELAY = 5;
/** Minimum pause before a failed call is retried, in milliseconds; random jitter adds up to as much again. */
const RETRY_PAUSE = 250;
/** Minimum time between two writes, in milliseconds: changes in between are written together. */
const WRITE_INTERVAL = 20;
/** Maximum size of this entry's row, in bytes: an entry reads the rows of all entries at its start. */
const MAX_ROW_BYTES = 8_000;

const storedCrashes = z.array(
  z.object({
    backEnd: z.string(),
    start: z.number().optional(),
    /** In milliseconds of the store's clock. */
    at: z.number(),
    suspects: z.array(z.string()),
    parts: z.array(z.object({ tenant: z.string(), parts: z.array(z.string()) })).optional(),
    quarantinedParts: z.array(z.array(z.string())).optional(),
  }),
);

/** The stored crashes and trials, with times converted to this process's monotonic clock. */
export interface QuarantineState {
  crashes: BackEndCrash[];
  /** Number of trials run with each content. */
  trials: Map<Fingerprint, number>;
}

/** Result of claiming a trial. */
export type TrialClaim =
  | { type: 'claimed' }
  /** The trial has already been claimed; `trials` is the number of trials run with each content. */
  | { type: 'taken'; trials: Map<Fingerprint, number> }
  /** The store did not answer. */
  | { type: 'unknown' };

export interface QuarantineRecordsOptions {
  tables: WatchedTables;
  /** Name of this entry's machine: the next process there continues its row. */
  name: string;
  clock: StoreClock;
  random: Random;
  log: Log;
}

/** The stored crashes and trials, as read and written by one entry. */
export class QuarantineRecords implements Startable {
  readonly #options: QuarantineRecordsOptions;
  /** Crashes detected by this entry or an earlier process on its machine, in the order in which they were noted. */
  readonly #ownCrashes = new Map<string, BackEndCrash>();
  #revision = 0;
  /** The revisions of the rows of trials that this entry has claimed, by row key. */
  readonly #claimedTrials = new Map<string, StoreRevision>();
  #isRead = false;
  #isWritten = true;
  #isSynchronizing = false;
  #writtenAt = Number.NEGATIVE_INFINITY;
  #stopped = new AbortController();
  /** Called with the stored state after each read. */
  onRead: (state: QuarantineState) => void = () => {};
  /** The crash with only its quarantined contents and parts, which are dropped last; undefined if there are none. */
  quarantinedOf: (crash: BackEndCrash) => BackEndCrash | undefined = () => undefined;

  constructor(options: QuarantineRecordsOptions) {
    this.#options = options;
  }

  /** Reads and writes in the background, because an entry must start even if the store is unavailable. */
  async start(): Promise<void> {
    this.#stopped = new AbortController();
    void this.#synchronize();
  }

  async stop(): Promise<void> {
    this.#stopped.abort();
  }

  /** Adds a crash that this entry detected, or further suspects of a known one. */
  noteCrash(crash: BackEndCrash): void {
    const known = this.#ownCrashes.get(keyOf(crash));
    const suspects = [...new Set([...(known?.suspects ?? []), ...crash.suspects])];
    const parts = [...(known?.parts ?? []), ...(crash.parts ?? [])];
    this.#ownCrashes.set(keyOf(crash), { ...crash, at: known?.at ?? crash.at, suspects, parts });
    this.#markChanged();
  }

  /** A content or prompt part was quarantined, which is written with the crashes. */
  noteQuarantined(): void {
    if (this.#ownCrashes.size > 0) this.#markChanged();
  }

  /** A request with this content or prompt part was served: it is no longer suspected. */
  noteServed(served: Fingerprint | PromptPart): void {
    for (const [key, crash] of this.#ownCrashes) {
      const { suspects, parts = [] } = crash;
      if (!suspects.includes(served) && !parts.some((use) => use.parts.includes(served))) continue;
      const left = { suspects: suspects.filter((one) => one !== served), parts: withoutPart(parts, served) };
      if (left.suspects.length > 0 || left.parts.length > 0) this.#ownCrashes.set(key, { ...crash, ...left });
      else this.#ownCrashes.delete(key);
      this.#markChanged();
    }
  }

  /** The store was restored from an older copy, which may lack recent writes. */
  noteOlderCopy(): void {
    this.#isRead = false;
    if (this.#ownCrashes.size > 0) this.#isWritten = false;
    void this.#synchronize();
  }

  /**
   * Claims the next trial of a content, for all of its fingerprints in one transaction.
   * @param trialCounts - known number of trials with each fingerprint
   */
  async claimTrial(trialCounts: ReadonlyMap<Fingerprint, number>): Promise<TrialClaim> {
    const rows = [...trialCounts].map(([fingerprint, count]) => ({
      ...rowOfTrial(fingerprint, count + 1),
      count,
      fingerprint,
    }));
    const conditions = rows.map((row) => ({ ...row, revision: 0 }));
    const value = Buffer.from(JSON.stringify(this.#options.name));
    const signal = withLimit(this.#stopped.signal, CLAIM_LIMIT);
    const outcome = await this.#options.tables.transact(
      conditions.map(({ table, partition, key, revision }) => ({ table, partition, key, revision })),
      rows.map(({ table, partition, key }) => ({ table, partition, key, value })),
      signal,
    );
    if (!outcome.ok) {
      this.#options.log.warn('trial not claimed', { ...outcome.error });
      return { type: 'unknown' };
    }
    if (outcome.value.type === 'committed') {
      for (const { key } of rows) this.#claimedTrials.set(key, outcome.value.revision);
      return { type: 'claimed' };
    }
    const taken = new Set(
      outcome.value.rows.filter(({ value }) => value !== undefined).map(({ key }) => key),
    );
    const trials = rows
      .filter(({ key }) => taken.has(key))
      .map(({ fingerprint, count }) => [fingerprint, count + 1] as const);
    return { type: 'taken', trials: new Map(trials) };
  }

  /**
   * Deletes the rows of trials that showed the content to be harmless or never reached a back end.
   * @param trialCounts - known number of trials with each fingerprint
   * @param maxReleased - maximum number of trials to delete per fingerprint, the latest first
   */
  async releaseTrials(trialCounts: ReadonlyMap<Fingerprint, number>, maxReleased: number): Promise<void> {
    const rows = [...trialCounts].flatMap(([fingerprint, count]) =>
      Array.from({ length: Math.min(count, maxReleased) }, (_, index) =>
        rowOfTrial(fingerprint, count - index),
      ),
    );
    if (rows.length === 0) return;
    const signal = withLimit(this.#stopped.signal, CALL_LIMIT);
    const known = new Map(rows.map(({ key }) => [key, this.#claimedTrials.get(key) ?? 0]));
    for (const { key } of rows) this.#claimedTrials.delete(key);
    let outcome = await this.#deleteTrials(
      rows.map((row) => ({ ...row, revision: known.get(row.key)! })),
      signal,
    );
    if (outcome.ok && outcome.value.type === 'conflict') {
      // It tells the revisions of rows that other entries have claimed. An own row that has changed is of a later trial.
      const isReleased = ({ key, revision }: StoredRow) => [0, revision].includes(known.get(key)!);
      const released = outcome.value.rows.filter(isReleased);
      if (released.length > 0) outcome = await this.#deleteTrials(released, signal);
    }
    // Remaining rows only reduce the number of later trials; they never permit an additional request.
    if (!outcome.ok) this.#options.log.warn('trial rows not deleted', { ...outcome.error });
  }

  /**
   * Deletes rows on the condition that they still have their revisions: a call that the store executes late must not delete the row of
   * a trial claimed since.
   */
  #deleteTrials(
    rows: readonly StoredRowCondition[],
    signal: AbortSignal,
  ): Promise<Result<StoreOutcome, PlatformError>> {
    const named = rows.map(({ table, partition, key, revision }) => ({ table, partition, key, revision }));
    return this.#options.tables.transact(
      named,
      named.map(({ table, partition, key }) => ({ table, partition, key, value: undefined })),
      signal,
    );
  }

  #markChanged(): void {
    this.#isWritten = false;
    void this.#synchronize();
  }

  async #synchronize(): Promise<void> {
    if (this.#isSynchronizing) return;
    this.#isSynchronizing = true;
    const { signal } = this.#stopped;
    while (!signal.aborted && !(this.#isRead && this.#isWritten)) {
      const isDone = this.#isRead ? await this.#write(signal) : await this.#read(signal);
      if (!isDone) await sleep(RETRY_PAUSE * (1 + this.#options.random.fraction()), signal);
    }
    this.#isSynchronizing = false;
  }

  async #read(signal: AbortSignal): Promise<boolean> {
    const { tables, clock, log } = this.#options;
    const requestedAt = performance.now();
    const read = await tables.read(TABLE, PARTITION, withLimit(signal, CALL_LIMIT));
    if (!read.ok) return false;
    clock.addSample(read.value.storeTime, performance.now(), requestedAt);
    const { rows } = read.value;
    const crashes = rows.flatMap((row) => this.#crashesIn(row));
    this.#revision = rows.find(({ key }) => key === this.#ownKey)?.revision ?? 0;
    this.#isRead = true;
    const trials = trialsIn(rows);
    if (crashes.length > 0) log.info('quarantine read', { crashes: crashes.length, trials: trials.size });
    this.onRead({ crashes, trials });
    return true;
  }

  /**
   * Reads the crashes of a row. Those of this entry's own row, written by an earlier process, are added to the known
   * ones.
   */
  #crashesIn({ key, value }: StoredRow): BackEndCrash[] {
    if (!key.startsWith(CRASHES_PREFIX) || value === undefined) return [];
    const stored = parse(value);
    if (stored === undefined) {
      this.#options.log.warn('crash row malformed, ignored', { key });
      return [];
    }
    const crashes = stored.map((crash) => ({ ...crash, at: this.#options.clock.localTimeAt(crash.at) }));
    if (key === this.#ownKey)
      for (const crash of crashes)
        if (!this.#ownCrashes.has(keyOf(crash))) this.#ownCrashes.set(keyOf(crash), crash);
    return crashes;
  }

  /**
   * Writes this entry's row on the condition that it still has its last known revision: an earlier write that the
   * store executes late must not overwrite a later one.
   */
  async #write(signal: AbortSignal): Promise<boolean> {
    await sleep(Math.max(BATCH_DELAY, this.#writtenAt + WRITE_INTERVAL - performance.now()), signal);
    this.#writtenAt = performance.now();
    const row = { table: TABLE, partition: PARTITION, key: this.#ownKey };
    this.#isWritten = true;
    const outcome = await this.#options.tables.transact(
      [{ ...row, revision: this.#revision }],
      [{ ...row, value: this.#document() }],
      withLimit(signal, CALL_LIMIT),
    );
    if (outcome.ok && outcome.value.type === 'committed') {
      this.#revision = outcome.value.revision;
      return true;
    }
    this.#isWritten = false;
    this.#isRead = false;
    return false;
  }

  #document(): Buffer {
    for (;;) {
      const document = Buffer.from(
        JSON.stringify([...this.#ownCrashes.values()].map((crash) => this.#toStored(crash))),
      );
      if (document.byteLength <= MAX_ROW_BYTES) return document;
      this.#dropOneCrash();
    }
  }

  /** Drops the earliest crash that led to no quarantine; if all did, what is not quarantined, and then the earliest crash. */
  #dropOneCrash(): void {
    const all = [...this.#ownCrashes];
    const notNeeded = all.find(([, crash]) => this.quarantinedOf(crash) === undefined);
    if (notNeeded !== undefined) return void this.#ownCrashes.delete(notNeeded[0]);
    for (const [key, crash] of all) {
      const reduced = this.quarantinedOf(crash)!;
      if (sizeOf(reduced) < sizeOf(crash)) return void this.#ownCrashes.set(key, reduced);
    }
    this.#ownCrashes.delete(all[0][0]);
  }

  #toStored(crash: BackEndCrash): z.input<typeof storedCrashes>[number] {
    const { backEnd, start, at, suspects, parts = [] } = crash;
    return {
      backEnd,
      start,
      at: Math.round(this.#options.clock.storeTimeAt(at)),
      suspects: [...suspects],
      parts: [...parts],
      quarantinedParts: (this.quarantinedOf(crash)?.quarantinedParts ?? []).map((group) => [...group]),
    };
  }

  get #ownKey(): string {
    return `${CRASHES_PREFIX}${this.#options.name}`;
  }
}

function rowOfTrial(fingerprint: Fingerprint, number: number) {
  return { table: TABLE, partition: PARTITION, key: `${TRIAL_PREFIX}${fingerprint}/${number}` };
}

function withoutPart(uses: readonly PartUse[], part: PromptPart): PartUse[] {
  return uses
    .map((use) => ({ tenant: use.tenant, parts: use.parts.filter((one) => one !== part) }))
    .filter(({ parts }) => parts.length > 0);
}

/** Number of contents and parts of a crash. */
function sizeOf({ suspects, parts = [] }: BackEndCrash): number {
  return parts.reduce((sum, use) => sum + use.parts.length, suspects.length);
}

/** The highest trial number of each content and prompt part. */
function trialsIn(rows: readonly StoredRow[]): Map<Fingerprint, number> {
  const trials = new Map<Fingerprint, number>();
  for (const { key } of rows) {
    if (!key.startsWith(TRIAL_PREFIX)) continue;
    const separator = key.lastIndexOf('/');
    const tried = key.slice(TRIAL_PREFIX.length, separator);
    const number = Number(key.slice(separator + 1));
    if (number > (trials.get(tried) ?? 0)) trials.set(tried, number);
  }
  return trials;
}

/** Returns undefined if the value is malformed. */
function parse(value: Buffer): z.output<typeof storedCrashes> | undefined {
  try {
    return storedCrashes.safeParse(JSON.parse(value.toString())).data;
  } catch {
    return undefined;
  }
}
