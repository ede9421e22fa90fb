/**
 * A stand-in for a platform's store, in memory: tables whose changes can be waited for, and objects. It fails as such a
 * store does: away, silent, slow, refusing, losing answers of writes that it made, forgetting its history, coming back from an
 * older copy of itself.
 */
import type { PlatformError } from '../../src/clients/errors.js';
import type { ListedObjectStore } from '../../src/clients/object-store.js';
import { type StoreRevision, storeRevision, versionOf } from '../../src/clients/store-revision.js';
import type {
  ChangesError,
  RowsSnapshot,
  StoredRow,
  StoredRowCondition,
  StoredRowWrite,
  StoreOutcome,
  WatchedTables,
} from '../../src/clients/watched-tables.js';
import { failure, type Result, success } from '../../src/model/result.js';

/** What is wrong with the store. */
export interface StoreFaults {
  /** Calls are refused at once. */
  down: boolean;
  /** Calls get no answer until they are given up. */
  silent: boolean;
  /** Writes are made and not answered. */
  losesAnswers: boolean;
}

/** The store as it was at a moment. */
export interface StoreCopy {
  rows: StoredRow[];
  objects: Array<[key: string, data: Buffer]>;
  version: number;
}

const SERVICE = 'store';

/** The store. */
export class MemoryStore implements WatchedTables, ListedObjectStore {
  readonly faults: StoreFaults = { down: false, silent: false, losesAnswers: false };
  /** Calls that came, by their name. */
  readonly calls: Record<string, number> = {};
  readonly #rows = new Map<string, StoredRow>();
  readonly #objects = new Map<string, Buffer>();
  #history: StoredRow[] = [];
  #era = 0;
  #version = 0;
  #oldest = 0;
  #waiting: Array<() => void> = [];

  get revision(): StoreRevision {
    return storeRevision(this.#era, this.#version)!;
  }

  /** Times that it has come back from an older copy. */
  get era(): number {
    return this.#era;
  }

  copy(): StoreCopy {
    return { rows: [...this.#rows.values()], objects: [...this.#objects], version: this.#version };
  }

  /** Comes back from a copy: what was written since is gone, and its versions are given out again. */
  restore({ rows, objects, version }: StoreCopy): void {
    this.#era++;
    this.#version = version;
    this.#rows.clear();
    this.#objects.clear();
    for (const row of rows) {
      const revision = storeRevision(this.#era, versionOf(row.revision))!;
      this.#rows.set(nameOf(row), { ...row, revision });
    }
    for (const [key, data] of objects) this.#objects.set(key, data);
    this.forgetHistory();
    for (const wake of this.#waiting.splice(0)) wake();
  }

  /** Writes one row at once, whatever is wrong with the store: as the operator and back ends do. */
  write(table: string, key: string, value: string | Buffer | undefined): number {
    this.#commit([
      { table, partition: '', key, value: value === undefined ? undefined : Buffer.from(value) },
    ]);
    return this.revision;
  }

  /** Writes rows of one table in one change, as {@link write} does: readers that wait are told once. */
  writeAll(table: string, rows: ReadonlyArray<[key: string, value: string | Buffer | undefined]>): void {
    this.#commit(
      rows.map(([key, value]) => {
        return { table, partition: '', key, value: value === undefined ? undefined : Buffer.from(value) };
      }),
    );
  }

  /** Forgets which rows changed when. */
  forgetHistory(): void {
    this.#history = [];
    this.#oldest = this.revision;
  }

  async read(
    table: string,
    partition: string,
    signal: AbortSignal,
  ): Promise<Result<RowsSnapshot, PlatformError>> {
    const fault = await this.#enter('read', signal);
    if (fault !== undefined) return failure(fault);
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === table && row.partition === partition)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return success({ rows, revision: this.revision, storeTime: performance.now() });
  }

  async changes(
    { table, after, wait }: { table: string; after: number; wait: number },
    signal: AbortSignal,
  ): Promise<Result<RowsSnapshot, ChangesError>> {
    const fault = await this.#enter('changes', signal);
    if (fault !== undefined) return failure(fault);
    if (this.#newRows(table, after).length === 0) await this.#change(wait, signal);
    if (after < this.#oldest || after > this.revision) return failure({ type: 'historyForgotten' });
    if (this.faults.down) return failure(this.#unavailable());
    return success({
      rows: this.#newRows(table, after),
      revision: this.revision,
      storeTime: performance.now(),
    });
  }

  async transact(
    conditions: StoredRowCondition[],
    writes: StoredRowWrite[],
    signal: AbortSignal,
  ): Promise<Result<StoreOutcome, PlatformError>> {
    const fault = await this.#enter('transact', signal);
    if (fault !== undefined) return failure(fault);
    const named = conditions.map((condition) => ({ condition, row: this.#rows.get(nameOf(condition)) }));
    if (named.some(({ condition, row }) => (row?.revision ?? 0) !== condition.revision)) {
      return success({ type: 'conflict', rows: named.flatMap(({ row }) => row ?? []) });
    }
    this.#commit(writes);
    if (this.faults.losesAnswers)
      return failure({ type: 'outcomeUnknown', service: SERVICE, reason: 'the answer was lost' });
    return success({ type: 'committed', revision: this.revision });
  }

  async get(key: string, signal: AbortSignal): Promise<Result<Buffer, PlatformError>> {
    const fault = await this.#enter('get', signal);
    if (fault !== undefined) return failure(fault);
    const found = this.#objects.get(key);
    return found === undefined ? failure({ type: 'notFound', service: SERVICE }) : success(found);
  }

  async put(key: string, data: Uint8Array, signal: AbortSignal): Promise<Result<void, PlatformError>> {
    const fault = await this.#enter('put', signal);
    if (fault !== undefined) return failure(fault);
    this.#objects.set(key, Buffer.from(data));
    return success(undefined);
  }

  async list(prefix: string, signal: AbortSignal): Promise<Result<string[], PlatformError>> {
    const fault = await this.#enter('list', signal);
    if (fault !== undefined) return failure(fault);
    return success([...this.#objects.keys()].filter((key) => key.startsWith(prefix)).sort());
  }

  #commit(writes: readonly StoredRowWrite[]): void {
    this.#version++;
    for (const write of writes) {
      const row: StoredRow = { ...write, revision: this.revision };
      if (write.value === undefined) this.#rows.delete(nameOf(write));
      else this.#rows.set(nameOf(write), row);
      this.#history.push(row);
    }
    for (const wake of this.#waiting.splice(0)) wake();
  }

  #newRows(table: string, after: number): StoredRow[] {
    return this.#history.filter((row) => row.table === table && row.revision > after);
  }

  async #enter(call: string, signal: AbortSignal): Promise<PlatformError | undefined> {
    this.calls[call] = (this.calls[call] ?? 0) + 1;
    if (this.faults.down) return this.#unavailable();
    if (!this.faults.silent) return undefined;
    await new Promise<void>((resolve) => {
      if (signal.aborted) return resolve();
      signal.addEventListener('abort', () => resolve(), { once: true });
    });
    return { type: 'unavailable', service: SERVICE, retryAfter: 0, reason: 'no answer' };
  }

  #unavailable(): PlatformError {
    return { type: 'unavailable', service: SERVICE, retryAfter: 0, reason: 'down' };
  }

  #change(wait: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, wait);
      const wake = () => {
        clearTimeout(timer);
        resolve();
      };
      this.#waiting.push(wake);
      signal.addEventListener('abort', wake, { once: true });
    });
  }
}

function nameOf({ table, partition, key }: { table: string; partition: string; key: string }): string {
  return JSON.stringify([table, partition, key]);
}
