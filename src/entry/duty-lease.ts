/** A duty held under a lease in the table service. Each write of the holder is conditional on the lease's row. */
import { randomUUID } from 'node:crypto';
import type { RowCondition, RowWrite, TableService, TransactionOutcome } from '../clients/table-service.js';
import type { Startable } from '../model/startable.js';
import type { Timeline } from '../observability/timeline.js';
import { decideLease, type LeaseObservation, type LeaseRow } from '../systems/lease.js';
import { type Configuration, TABLES } from './configuration.js';

/** Intervals between reviews by the holder, and by processes that may take over, in milliseconds. */
const HOLDER_INTERVAL = 250;
const OBSERVER_INTERVAL = 1_000;
const WRITE_TIMEOUT = 3_000;

export interface DutyLeaseComponents {
  configuration: Configuration;
  tables: TableService;
  timeline: Timeline;
  /** Identity of this process. */
  self: string;
  /** Whether this process may take over the lease from another. */
  mayTakeOver: () => boolean;
}

/** The lease of one duty. */
export class DutyLease implements Startable {
  /** Called about every `HOLDER_INTERVAL` milliseconds while this process believes that it holds the lease. */
  onHeld: () => Promise<void> = async () => {};
  readonly #duty: string;
  readonly #components: DutyLeaseComponents;
  readonly #stopping = new AbortController();
  #observation: LeaseObservation = { row: undefined, revision: 0, seenAt: performance.now() };
  #heldEpoch: number | undefined;
  #timer: NodeJS.Timeout | undefined;
  #reviewing = false;

  constructor(duty: string, components: DutyLeaseComponents) {
    this.#duty = duty;
    this.#components = components;
  }

  /** Whether this process believes that it holds the lease; only a successful conditional write proves it. */
  get held(): boolean {
    return this.#heldEpoch !== undefined;
  }

  async start(): Promise<void> {
    this.#components.configuration.listen((rows) => {
      if (rows.some((row) => row.table === TABLES.resources)) this.#wake();
    });
    this.#schedule();
  }

  async stop(): Promise<void> {
    clearTimeout(this.#timer);
    this.#stopping.abort();
  }

  /** Writes on condition that the lease's row still has the revision known here; returns whether it was committed. */
  async write(conditions: RowCondition[], writes: RowWrite[]): Promise<boolean> {
    const fence = { table: TABLES.leases, key: this.#duty, revision: this.#observation.revision };
    const outcome = await this.#transact([fence, ...conditions], writes);
    await this.#components.configuration.poll();
    return outcome?.type === 'committed';
  }

  async #review(): Promise<void> {
    this.#observe();
    const decision = decideLease(this.#observation, this.#components.self, performance.now());
    const isOwn = this.#observation.row?.holder === this.#components.self;
    if (decision.type === 'write' && (isOwn || this.#components.mayTakeOver()))
      await this.#renew(decision.row);
    if (this.held) await this.onHeld();
  }

  #observe(): void {
    const { configuration, self } = this.#components;
    const row = configuration.row(TABLES.leases, this.#duty);
    const revision = row?.revision ?? 0;
    if (revision !== this.#observation.revision) {
      this.#observation = { row: row?.value as LeaseRow | undefined, revision, seenAt: performance.now() };
    }
    const holder = this.#observation.row;
    this.#setHeld(holder?.holder === self ? holder.epoch : undefined);
  }

  async #renew(row: LeaseRow): Promise<void> {
    const { configuration } = this.#components;
    if (configuration.counters.reads === configuration.counters.failedReads) return;
    const condition = { table: TABLES.leases, key: this.#duty, revision: this.#observation.revision };
    const write = { table: TABLES.leases, key: this.#duty, value: row };
    const isRenewal = this.held;
    const outcome = await this.#transact([condition], [write]);
    // The row itself shows the outcome, also if the answer was lost. After a committed renewal, the next
    // scheduled read is early enough.
    if (outcome?.type === 'conflict' || (outcome !== undefined && !isRenewal)) await configuration.poll();
    this.#observe();
  }

  #setHeld(epoch: number | undefined): void {
    if (epoch === this.#heldEpoch) return;
    const { timeline } = this.#components;
    const duty = this.#duty;
    if (this.#heldEpoch !== undefined) timeline.record({ type: 'leaseLost', duty, epoch: this.#heldEpoch });
    if (epoch !== undefined) timeline.record({ type: 'leaseAcquired', duty, epoch });
    this.#heldEpoch = epoch;
  }

  async #transact(conditions: RowCondition[], writes: RowWrite[]): Promise<TransactionOutcome | undefined> {
    const signal = AbortSignal.timeout(WRITE_TIMEOUT);
    const transaction = { operationId: randomUUID(), conditions, writes };
    const outcome = await this.#components.tables.transact(transaction, signal);
    return outcome.ok ? outcome.value : undefined;
  }

  #schedule(): void {
    const wait = this.held ? HOLDER_INTERVAL : OBSERVER_INTERVAL;
    if (!this.#stopping.signal.aborted) this.#timer = setTimeout(() => this.#run(), wait);
  }

  /** Reviews at once, unless a review is in progress. */
  #wake(): void {
    if (!this.#reviewing) this.#run();
  }

  #run(): void {
    clearTimeout(this.#timer);
    this.#reviewing = true;
    void this.#review().finally(() => {
      this.#reviewing = false;
      this.#schedule();
    });
  }
}
