/**
 * What this entry knows of contents that crash back ends, kept in the platform's store, as all entries may end at once: the
 * crashes that it saw, in one row of its own, and the trials of all entries, one row each.
 *
 * A trial is claimed before its request goes out: its row is created on the condition that it is not there, so that entries that
 * do not hear one another, or have forgotten, do not each make it. Without the store there is no trial.
 *
 * Rows are read at the start and whenever the store has come back from an older copy; in between entries tell one another.
 */
import { z } from 'zod';
import type { StoredRow, WatchedTables } from '../clients/watched-tables.js';
import type { StoreClock } from '../fleet/store-clock.js';
import { sleep } from '../fleet/table-follower.js';
import type { Random } from '../model/random.js';
import type { Startable } from '../model/startable.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import { type BackEndCrash, type Fingerprint, keyOf } from '../systems/poison-requests.js';

const TABLE = 'quarantine';
/** Of its own: what a partition takes in a second is shared by all that is written there. */
const PARTITION = 'quarantine';
const CRASHES_PREFIX = 'crashes/';
const TRIAL_PREFIX = 'trial/';
/** Time for one call, in milliseconds. */
const CALL_LIMIT = 1_000;
/** Time for the claim of a trial, in milliseconds: its caller waits. */
const CLAIM_LIMIT = 300;
/** Suspects of one crash become known within some milliseconds and are mostly written together: what is not written dies with all entries. */
const GATHER_TIME = 5;
/** Time after a failed call, in milliseconds times 1 to 2. */
const RETRY_PAUSE = 250;
/** Time between two writes, in milliseconds: what becomes known meanwhile is written together. */
const WRITE_INTERVAL = 20;
/** Bytes of this entry's row: an entry that starts reads the rows of all. */
const MOST_BYTES = 8_000;

const storedCrashes = z.array(
  z.object({
    backEnd: z.string(),
    start: z.number().optional(),
    /** Milliseconds of the store's clock. */
    at: z.number(),
    suspects: z.array(z.string()),
  }),
);

/** What the store keeps, in this process's time. */
export interface QuarantineState {
  crashes: BackEndCrash[];
  /** Trials made with each content. */
  trials: Map<Fingerprint, number>;
}

/** What became of the claim of a trial. */
export type TrialClaim =
  | { type: 'claimed' }
  /** Others have made it; these are the trials made with each content. */
  | { type: 'taken'; trials: Map<Fingerprint, number> }
  /** The store does not answer. */
  | { type: 'unknown' };

/** What the records work with. */
export interface QuarantineRecordsOptions {
  tables: WatchedTables;
  /** Names this entry's machine: the next process there goes on with its row. */
  name: string;
  clock: StoreClock;
  random: Random;
  log: Log;
}

/** The records of one entry. */
export class QuarantineRecords implements Startable {
  readonly #options: QuarantineRecordsOptions;
  /** The crashes that this entry, or a former process at its place, saw: the earliest first. */
  readonly #own = new Map<string, BackEndCrash>();
  #revision = 0;
  #isRead = false;
  #isWritten = true;
  #isWorking = false;
  #writtenAt = Number.NEGATIVE_INFINITY;
  #stopped = new AbortController();
  /** Takes what the store keeps. */
  onRead: (state: QuarantineState) => void = () => {};
  /** Whether a quarantine rests on a crash with this content: such crashes are dropped last. */
  isQuarantined: (fingerprint: Fingerprint) => boolean = () => false;

  constructor(options: QuarantineRecordsOptions) {
    this.#options = options;
  }

  /** Does not wait for the store: an entry serves while that is away. */
  async start(): Promise<void> {
    this.#stopped = new AbortController();
    void this.#work();
  }

  async stop(): Promise<void> {
    this.#stopped.abort();
  }

  /** Takes a crash that this entry saw, or more suspects of one. */
  noteCrash(crash: BackEndCrash): void {
    const known = this.#own.get(keyOf(crash));
    const suspects = [...new Set([...(known?.suspects ?? []), ...crash.suspects])];
    this.#own.set(keyOf(crash), { ...crash, at: known?.at ?? crash.at, suspects });
    this.#change();
  }

  /** A request with this content was served: it is suspect no more. */
  noteServed(fingerprint: Fingerprint): void {
    for (const [key, crash] of this.#own) {
      if (!crash.suspects.includes(fingerprint)) continue;
      const suspects = crash.suspects.filter((one) => one !== fingerprint);
      if (suspects.length > 0) this.#own.set(key, { ...crash, suspects });
      else this.#own.delete(key);
      this.#change();
    }
  }

  /** The store has come back from an older copy: rows written lately may be gone. */
  noteOlderCopy(): void {
    this.#isRead = false;
    if (this.#own.size > 0) this.#isWritten = false;
    void this.#work();
  }

  /**
   * Claims the next trial of a content, for all of its fingerprints together.
   * @param made - the trials that are known of each fingerprint
   */
  async claimTrial(made: ReadonlyMap<Fingerprint, number>): Promise<TrialClaim> {
    const rows = [...made].map(([fingerprint, count]) => ({
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
    if (outcome.value.type === 'committed') return { type: 'claimed' };
    const taken = new Set(
      outcome.value.rows.filter(({ value }) => value !== undefined).map(({ key }) => key),
    );
    const trials = rows
      .filter(({ key }) => taken.has(key))
      .map(({ fingerprint, count }) => [fingerprint, count + 1] as const);
    return { type: 'taken', trials: new Map(trials) };
  }

  /** Gives trials back, as they showed that the content is harmless, or never reached a back end. */
  async releaseTrials(made: ReadonlyMap<Fingerprint, number>, released: number): Promise<void> {
    const rows = [...made].flatMap(([fingerprint, count]) =>
      Array.from({ length: Math.min(count, released) }, (_, index) => rowOfTrial(fingerprint, count - index)),
    );
    if (rows.length === 0) return;
    const signal = withLimit(this.#stopped.signal, CALL_LIMIT);
    const outcome = await this.#options.tables.transact(
      [],
      rows.map((row) => ({ ...row, value: undefined })),
      signal,
    );
    // A trial too few is made later; nothing is sent that may not be.
    if (!outcome.ok) this.#options.log.warn('trial not given back', { ...outcome.error });
  }

  #change(): void {
    this.#isWritten = false;
    void this.#work();
  }

  async #work(): Promise<void> {
    if (this.#isWorking) return;
    this.#isWorking = true;
    const { signal } = this.#stopped;
    while (!signal.aborted && !(this.#isRead && this.#isWritten)) {
      const isDone = this.#isRead ? await this.#write(signal) : await this.#read(signal);
      if (!isDone) await sleep(RETRY_PAUSE * (1 + this.#options.random.fraction()), signal);
    }
    this.#isWorking = false;
  }

  async #read(signal: AbortSignal): Promise<boolean> {
    const { tables, clock, log } = this.#options;
    const askedAt = performance.now();
    const read = await tables.read(TABLE, PARTITION, withLimit(signal, CALL_LIMIT));
    if (!read.ok) return false;
    clock.addSample(read.value.storeTime, performance.now(), askedAt);
    const { rows } = read.value;
    const crashes = rows.flatMap((row) => this.#crashesIn(row));
    this.#revision = rows.find(({ key }) => key === this.#ownKey)?.revision ?? 0;
    this.#isRead = true;
    const trials = trialsIn(rows);
    if (crashes.length > 0) log.info('quarantine read', { crashes: crashes.length, trials: trials.size });
    this.onRead({ crashes, trials });
    return true;
  }

  /** A row of a former process here is gone on with. */
  #crashesIn({ key, value }: StoredRow): BackEndCrash[] {
    if (!key.startsWith(CRASHES_PREFIX) || value === undefined) return [];
    const stored = parse(value);
    if (stored === undefined) {
      this.#options.log.warn('crashes left out', { key });
      return [];
    }
    const crashes = stored.map((crash) => ({ ...crash, at: this.#options.clock.localTimeAt(crash.at) }));
    if (key === this.#ownKey)
      for (const crash of crashes) if (!this.#own.has(keyOf(crash))) this.#own.set(keyOf(crash), crash);
    return crashes;
  }

  /** On the condition that the row is as it was read or written last: a late copy of an earlier write must not undo a later one. */
  async #write(signal: AbortSignal): Promise<boolean> {
    await sleep(Math.max(GATHER_TIME, this.#writtenAt + WRITE_INTERVAL - performance.now()), signal);
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
        JSON.stringify([...this.#own.values()].map((crash) => this.#toStored(crash))),
      );
      if (document.byteLength <= MOST_BYTES) return document;
      this.#dropOne();
    }
  }

  #dropOne(): void {
    const isNeeded = ({ suspects }: BackEndCrash) => suspects.some((one) => this.isQuarantined(one));
    const all = [...this.#own];
    const [key] = all.find(([, crash]) => !isNeeded(crash)) ?? all[0];
    this.#own.delete(key);
  }

  #toStored({ at, ...crash }: BackEndCrash): z.input<typeof storedCrashes>[number] {
    return { ...crash, suspects: [...crash.suspects], at: Math.round(this.#options.clock.storeTimeAt(at)) };
  }

  get #ownKey(): string {
    return `${CRASHES_PREFIX}${this.#options.name}`;
  }
}

function rowOfTrial(fingerprint: Fingerprint, number: number) {
  return { table: TABLE, partition: PARTITION, key: `${TRIAL_PREFIX}${fingerprint}/${number}` };
}

/** The highest number of a trial of each content. */
function trialsIn(rows: readonly StoredRow[]): Map<Fingerprint, number> {
  const trials = new Map<Fingerprint, number>();
  for (const { key } of rows) {
    if (!key.startsWith(TRIAL_PREFIX)) continue;
    const [fingerprint, number] = key.slice(TRIAL_PREFIX.length).split('/');
    if (Number(number) > (trials.get(fingerprint) ?? 0)) trials.set(fingerprint, Number(number));
  }
  return trials;
}

/** Undefined where the row is none of these. */
function parse(value: Buffer): z.output<typeof storedCrashes> | undefined {
  try {
    return storedCrashes.safeParse(JSON.parse(value.toString())).data;
  } catch {
    return undefined;
  }
}
