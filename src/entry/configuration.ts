/**
 * The configuration in force at an entry: the rows of the platform's tables, taken in by revision. Only rows of a higher
 * revision than the known one count, so a late or lagging answer changes nothing back and revives nothing.
 */

import type { Row, TableService } from '../clients/table-service.js';
import type { Random } from '../model/random.js';
import type { Startable } from '../model/startable.js';
import type { Timeline } from '../observability/timeline.js';
import type { ModelDeployment, Resource, Service, Tenant } from '../resources/schemas.js';
import type { Placement } from '../systems/placement.js';

/** Shortest time between two readings and the random part of it, in milliseconds. */
const POLL_MIN = 300;
const POLL_SPREAD = 200;
const READ_TIMEOUT = 3_000;
/** Time without news after which an entry reads the store although another one does it for the zone. */
const QUIET_LIMIT = 4_000;

/** Deletions of resources that are remembered. */
const DELETIONS_KEPT = 1_000;

/** Names of the tables. */
export const TABLES = {
  resources: 'resources',
  placements: 'placements',
  leases: 'leases',
  owners: 'owners',
  operations: 'operations',
} as const;

/** What the configuration works with. */
export interface ConfigurationComponents {
  tables: TableService;
  random: Random;
  timeline: Timeline;
}

/** Figures of the reading, for metrics. */
export interface ConfigurationCounters {
  reads: number;
  failedReads: number;
}

/** The configuration as this entry knows it. */
export class Configuration implements Startable {
  readonly counters: ConfigurationCounters = { reads: 0, failedReads: 0 };
  /** Called with the rows that a reading of the store brought, and the revision before it. */
  onRead: (base: number, revision: number, rows: Row[]) => void = () => {};
  /** Whether this entry reads the store for its zone; the others are told, and read only when nothing comes. */
  isReader: () => boolean = () => true;
  readonly #components: ConfigurationComponents;
  /** Rows by table and key. */
  readonly #tables = new Map<string, Map<string, Row>>();
  readonly #listeners = new Set<(rows: Row[]) => void>();
  readonly #stopping = new AbortController();
  /** The latest deletions of resources, for watches that were away; all of them from this revision on. */
  readonly #deleted: Row[] = [];
  #deletionsKnownFrom = 0;
  #revision = 0;
  #timer: NodeJS.Timeout | undefined;
  #heardAt = 0;
  #reading: Promise<boolean> | undefined;
  #following: Promise<boolean> | undefined;

  constructor(components: ConfigurationComponents) {
    this.#components = components;
  }

  /** The revision up to which this entry knows all rows. */
  get revision(): number {
    return this.#revision;
  }

  async start(): Promise<void> {
    await this.poll();
    this.#schedule();
  }

  async stop(): Promise<void> {
    clearTimeout(this.#timer);
    this.#stopping.abort();
  }

  /** Calls `listener` with the rows of each change. Returns the end of it. */
  listen(listener: (rows: Row[]) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Reads what has changed since the known revision; returns whether the store answered. The reading begins after
   * the call: during another one, one more follows.
   */
  poll(): Promise<boolean> {
    if (this.#following !== undefined) return this.#following;
    if (this.#reading === undefined) {
      this.#reading = this.#read().finally(() => {
        this.#reading = undefined;
      });
      return this.#reading;
    }
    this.#following = this.#reading.then(() => {
      this.#following = undefined;
      return this.poll();
    });
    return this.#following;
  }

  /** Another process knows this revision: it is read at once if it is news here. */
  hint(revision: number): void {
    if (revision > this.#revision) void this.poll();
  }

  async #read(): Promise<boolean> {
    this.counters.reads++;
    const read = await this.#components.tables.changes(this.#revision, AbortSignal.timeout(READ_TIMEOUT));
    if (!read.ok) {
      this.counters.failedReads++;
      return false;
    }
    const base = this.#revision;
    const { rows, revision } = read.value;
    this.take(base, rows, revision);
    if (revision > base) this.onRead(base, revision, rows);
    return true;
  }

  /** The row, or undefined where there is none. */
  row(table: string, key: string): Row | undefined {
    return this.#tables.get(table)?.get(key);
  }

  /** All rows that are not deleted. */
  allRows(): Row[] {
    return [...this.#tables.values()].flatMap((rows) => [...rows.values()]);
  }

  /** The rows of a table. */
  rows(table: string): Row[] {
    return [...(this.#tables.get(table)?.values() ?? [])];
  }

  deployments(): Array<{ value: ModelDeployment; revision: number }> {
    return this.#resources<ModelDeployment>('ModelDeployment');
  }

  services(): Array<{ value: Service; revision: number }> {
    return this.#resources<Service>('Service');
  }

  tenant(name: string): Tenant | undefined {
    return this.row(TABLES.resources, `Tenant/${name}`)?.value as Tenant | undefined;
  }

  placement(deployment: string): { value: Placement; revision: number } | undefined {
    const row = this.row(TABLES.placements, deployment);
    return row === undefined ? undefined : { value: row.value as Placement, revision: row.revision };
  }

  #resources<T extends Resource>(kind: T['kind']): Array<{ value: T; revision: number }> {
    return this.rows(TABLES.resources)
      .filter((row) => (row.value as Resource).kind === kind)
      .map((row) => ({ value: row.value as T, revision: row.revision }));
  }

  /**
   * Takes rows in that changed after revision `base`, from the store or from another entry; with base 0 all rows there
   * are. Rows of a revision that is known already are not news, or were deleted since.
   */
  take(base: number, rows: readonly Row[], revision: number): void {
    this.#heardAt = performance.now();
    const known = this.#revision;
    if (revision <= known) return;
    const changed = rows.filter((row) => row.revision > known);
    const removed = base === 0 && known > 0 ? this.#missingFrom(rows, revision) : [];
    const fresh = [...changed, ...removed];
    for (const row of fresh) this.#put(row);
    if (known === 0) this.#deletionsKnownFrom = revision;
    this.#revision = revision;
    if (fresh.length === 0) return;
    const declared = fresh.some((row) => row.table !== TABLES.leases);
    if (declared) this.#components.timeline.record({ type: 'configurationApplied', revision });
    for (const listener of this.#listeners) listener(fresh);
  }

  /** Resources deleted after revision `since`, or undefined where this entry does not know all of them. */
  deletedSince(since: number): Row[] | undefined {
    if (this.#revision === 0 || since < this.#deletionsKnownFrom) return undefined;
    return this.#deleted.filter((row) => row.revision > since);
  }

  /** As deletions, the rows known here that the whole configuration does not hold. */
  #missingFrom(whole: readonly Row[], revision: number): Row[] {
    const held = new Set(whole.map(({ table, key }) => `${table}/${key}`));
    const missing = this.allRows().filter(({ table, key }) => !held.has(`${table}/${key}`));
    return missing.map(({ table, key }) => ({ table, key, value: null, revision }));
  }

  #put(row: Row): void {
    if (row.value !== null) return void this.#tableOf(row).set(row.key, row);
    this.#tables.get(row.table)?.delete(row.key);
    if (row.table !== TABLES.resources) return;
    this.#deleted.push(row);
    if (this.#deleted.length <= DELETIONS_KEPT) return;
    this.#deletionsKnownFrom = this.#deleted.shift()!.revision;
  }

  #tableOf({ table }: Row): Map<string, Row> {
    const rows = this.#tables.get(table) ?? new Map<string, Row>();
    this.#tables.set(table, rows);
    return rows;
  }

  #schedule(): void {
    const wait = POLL_MIN + this.#components.random.fraction() * POLL_SPREAD;
    this.#timer = setTimeout(() => void this.#readIfDue().finally(() => this.#reschedule()), wait);
  }

  async #readIfDue(): Promise<void> {
    const isQuiet = performance.now() - this.#heardAt > QUIET_LIMIT;
    if (this.isReader() || isQuiet) await this.poll();
  }

  #reschedule(): void {
    if (!this.#stopping.signal.aborted) this.#schedule();
  }
}
