/**
 * The configuration in force at an entry: the rows of the platform's tables, taken in by revision. A row is
 * replaced only by one of a higher revision, so a late or lagging answer changes nothing back.
 */
import type { Random } from '../model/random.js';
import type { Startable } from '../model/startable.js';
import type { Timeline } from '../observability/timeline.js';
import type { Row, TableService } from '../platform/table-service.js';
import type { ModelDeployment, Resource, Service, Tenant } from '../resources/schemas.js';
import type { Placement } from '../systems/placement.js';

/** Shortest time between two readings and the random part of it, in milliseconds. */
const POLL_MIN = 300;
const POLL_SPREAD = 200;
const READ_TIMEOUT = 3_000;
/** Time without news after which an entry reads the store although another one does it for the zone. */
const QUIET_LIMIT = 4_000;

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
    this.take(rows, revision);
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

  /** Takes rows in that changed since the known revision, from the store or from another entry. */
  take(rows: readonly Row[], revision: number): void {
    this.#heardAt = performance.now();
    const fresh = rows.filter((row) => row.revision > (this.row(row.table, row.key)?.revision ?? 0));
    for (const row of fresh) {
      if (row.value === null) this.#tables.get(row.table)?.delete(row.key);
      else this.#tableOf(row).set(row.key, row);
    }
    if (revision <= this.#revision) return;
    this.#revision = revision;
    if (fresh.length === 0) return;
    const declared = fresh.some((row) => row.table !== TABLES.leases);
    if (declared) this.#components.timeline.record({ type: 'configurationApplied', revision });
    for (const listener of this.#listeners) listener(fresh);
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
