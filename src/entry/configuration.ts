/**
 * The entry's replica of the platform's tables, advanced by revision. Only rows with a revision above the known one are
 * applied, so a late answer or a lagging replica of the store can neither revert a change nor restore a deleted row.
 */

import type { Row, TableService } from '../clients/table-service.js';
import type { Random } from '../model/random.js';
import type { Startable } from '../model/startable.js';
import type { Timeline } from '../observability/timeline.js';
import type { ModelDeployment, Resource, Service, Tenant } from '../resources/schemas.js';
import type { Placement } from '../systems/placement.js';

/** Minimum interval between two reads of the table service and the random jitter added to it, in milliseconds. */
const POLL_MIN = 300;
const POLL_SPREAD = 200;
const READ_TIMEOUT = 3_000;
/** Time without an update, in milliseconds, after which an entry reads the store itself although another entry reads it for the zone. */
const UPDATE_TIMEOUT = 4_000;

/** Number of resource deletions kept for watches that reconnect. */
const DELETIONS_KEPT = 1_000;

/** Names of the tables. */
export const TABLES = {
  resources: 'resources',
  placements: 'placements',
  leases: 'leases',
  owners: 'owners',
  operations: 'operations',
} as const;

export interface ConfigurationComponents {
  tables: TableService;
  random: Random;
  timeline: Timeline;
}

/** Counts of reads of the table service, for metrics. */
export interface ConfigurationCounters {
  reads: number;
  failedReads: number;
}

/** Replica of the platform's tables at this entry. */
export class Configuration implements Startable {
  readonly counters: ConfigurationCounters = { reads: 0, failedReads: 0 };
  /** Called after a read of the store that returned a new revision, with the previous revision, the new one and the changed rows. */
  onRead: (base: number, revision: number, rows: Row[]) => void = () => {};
  /** Whether this entry reads the store for its zone. The others receive its updates, and read only when none arrive. */
  isReader: () => boolean = () => true;
  readonly #components: ConfigurationComponents;
  /** Rows by table, then by key. */
  readonly #tables = new Map<string, Map<string, Row>>();
  readonly #listeners = new Set<(rows: Row[]) => void>();
  readonly #stopping = new AbortController();
  /** The latest deletions of resources, for watches that reconnect; complete after revision `#deletionsKnownFrom`. */
  readonly #deleted: Row[] = [];
  #deletionsKnownFrom = 0;
  #revision = 0;
  #timer: NodeJS.Timeout | undefined;
  #updatedAt = 0;
  #reading: Promise<boolean> | undefined;
  #nextRead: Promise<boolean> | undefined;

  constructor(components: ConfigurationComponents) {
    this.#components = components;
  }

  /** The revision up to which all changes have been applied; 0 before the first read. */
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

  /** Calls `listener` with the changed rows after each update. Returns a function that removes the listener. */
  listen(listener: (rows: Row[]) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Reads the changes since the known revision; returns whether the store answered. The read always starts after this
   * call: if one is in progress, another follows it, shared by all callers that wait.
   */
  poll(): Promise<boolean> {
    if (this.#nextRead !== undefined) return this.#nextRead;
    if (this.#reading === undefined) {
      this.#reading = this.#read().finally(() => {
        this.#reading = undefined;
      });
      return this.#reading;
    }
    this.#nextRead = this.#reading.then(() => {
      this.#nextRead = undefined;
      return this.poll();
    });
    return this.#nextRead;
  }

  /** Reads the store at once if another process has reported a revision that is not known here. */
  pollIfBehind(revision: number): void {
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
    this.applyChanges(base, rows, revision);
    if (revision > base) this.onRead(base, revision, rows);
    return true;
  }

  /** The row with this key, or undefined if there is none. */
  row(table: string, key: string): Row | undefined {
    return this.#tables.get(table)?.get(key);
  }

  /** All rows that are not deleted. */
  allRows(): Row[] {
    return [...this.#tables.values()].flatMap((rows) => [...rows.values()]);
  }

  /** All rows of a table that are not deleted. */
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
   * Applies the rows changed after revision `base`, read from the store or received from another entry. With base 0,
   * `rows` is a full snapshot. Rows whose revision is already known are skipped: they are applied, or deleted since.
   */
  applyChanges(base: number, rows: readonly Row[], revision: number): void {
    this.#updatedAt = performance.now();
    const known = this.#revision;
    if (revision <= known) return;
    const changed = rows.filter((row) => row.revision > known);
    const removed = base === 0 && known > 0 ? this.#missingFrom(rows, revision) : [];
    const fresh = [...changed, ...removed];
    for (const row of fresh) this.#applyRow(row);
    if (known === 0) this.#deletionsKnownFrom = revision;
    this.#revision = revision;
    if (fresh.length === 0) return;
    const declared = fresh.some((row) => row.table !== TABLES.leases);
    if (declared) this.#components.timeline.record({ type: 'configurationApplied', revision });
    for (const listener of this.#listeners) listener(fresh);
  }

  /** Resources deleted after revision `since`, or undefined if this entry does not have all of those deletions. */
  deletedSince(since: number): Row[] | undefined {
    if (this.#revision === 0 || since < this.#deletionsKnownFrom) return undefined;
    return this.#deleted.filter((row) => row.revision > since);
  }

  /** Returns deletions for the rows that are known here but missing from a full snapshot. */
  #missingFrom(whole: readonly Row[], revision: number): Row[] {
    const held = new Set(whole.map(({ table, key }) => `${table}/${key}`));
    const missing = this.allRows().filter(({ table, key }) => !held.has(`${table}/${key}`));
    return missing.map(({ table, key }) => ({ table, key, value: null, revision }));
  }

  #applyRow(row: Row): void {
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
    const isQuiet = performance.now() - this.#updatedAt > UPDATE_TIMEOUT;
    if (this.isReader() || isQuiet) await this.poll();
  }

  #reschedule(): void {
    if (!this.#stopping.signal.aborted) this.#schedule();
  }
}
