/**
 * Two readers of a store follow any sequence of back ends that join, drain and end, of reads, and of restores of the store from
 * an older copy. Neither reader loses what it learnt after the copy was made, and both agree with the store once every running
 * back end has written its record twice.
 */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { MemoryStore, type StoreCopy } from '../../emulator/store/memory-store.js';
import { eraOf } from '../../src/clients/store-revision.js';
import { BackEndList } from '../../src/fleet/back-end-list.js';
import type { BackEndRecord } from '../../src/protocol/back-end-list-state.js';
import { textRecordDecoder } from './text-records.js';

const IDS = ['one', 'two', 'three'];
const TABLE = 'backEnds';

type Step =
  | { type: 'join' | 'drain' | 'end' | 'beat'; id: string }
  | { type: 'read'; reader: number }
  | { type: 'copy' }
  | { type: 'comeBack' };

const id = fc.constantFrom(...IDS);
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constantFrom('join', 'drain', 'end', 'beat' as const), id }) as fc.Arbitrary<Step>,
  fc.record({ type: fc.constant('read' as const), reader: fc.constantFrom(0, 1) }),
  fc.record({ type: fc.constant('copy' as const) }),
  fc.record({ type: fc.constant('comeBack' as const) }),
);

/** A running back end. */
interface RunningBackEnd {
  start: number;
  isLeaving: boolean;
}

/** A store, its back ends and two readers. */
class Simulation {
  readonly store = new MemoryStore();
  readonly readers = [new Reader(this.store), new Reader(this.store)];
  readonly running = new Map<string, RunningBackEnd>();
  #latestCopy: StoreCopy = this.store.copy();
  #starts = 0;

  applyStep(step: Step): Promise<void> | void {
    switch (step.type) {
      case 'join':
        if (!this.running.has(step.id))
          this.running.set(step.id, { start: ++this.#starts, isLeaving: false });
        return this.write(step.id);
      case 'drain':
        if (this.running.has(step.id)) this.running.get(step.id)!.isLeaving = true;
        return this.write(step.id);
      case 'end':
        if (!this.running.delete(step.id)) return;
        this.store.write(TABLE, step.id, undefined);
        return;
      case 'beat':
        return this.write(step.id);
      case 'read':
        return this.readers[step.reader].read();
      case 'copy':
        this.#latestCopy = this.store.copy();
        return;
      case 'comeBack':
        return this.store.restore(this.#latestCopy);
    }
  }

  write(id: string): void {
    const backEnd = this.running.get(id);
    if (backEnd === undefined) return;
    this.store.write(TABLE, id, `${backEnd.isLeaving ? 'leaving' : 'ready'} ${backEnd.start}`);
  }

  /**
   * Running back ends write their records again and the records of ended ones expire. A back end that was recorded as removed
   * and appears in the first list of a new era is accepted at its next heartbeat.
   */
  async writeAndReadTwice(): Promise<void> {
    for (let heartbeat = 0; heartbeat < 2; heartbeat++) {
      for (const id of IDS) this.write(id);
      for (const id of IDS) if (!this.running.has(id)) this.store.write(TABLE, id, undefined);
      for (const reader of this.readers) await reader.read();
    }
  }
}

/** The list that one reader keeps, and the drains and ends that it must not lose. */
class Reader {
  readonly list = new BackEndList();
  readonly #store: MemoryStore;
  readonly #drained = new Map<string, Set<number>>();
  readonly #ended = new Set<string>();

  constructor(store: MemoryStore) {
    this.#store = store;
  }

  async read(): Promise<void> {
    const signal = AbortSignal.timeout(60_000);
    const { revision } = this.list;
    const changes = await this.#store.changes({ table: TABLE, after: revision, wait: 0 }, signal);
    if (changes.ok && eraOf(revision) === this.#store.era) this.#applyChanges(changes.value);
    else await this.#readWhole(signal);
    this.#check();
  }

  async #readWhole(signal: AbortSignal): Promise<void> {
    const read = await this.#store.read(TABLE, '', signal);
    if (!read.ok) throw new Error(read.error.type);
    const { revision, rows } = read.value;
    this.list.replace({ revision, records: rows.map((row) => recordOf(row)) });
  }

  #applyChanges({
    rows,
    revision,
  }: Extract<Awaited<ReturnType<MemoryStore['changes']>>, { ok: true }>['value']): void {
    this.#recordEnds(rows.filter(({ value }) => value === undefined).map(({ key }) => key));
    const changes = rows.map((row) =>
      row.value === undefined
        ? ({ type: 'gone', id: row.key, revision: row.revision } as const)
        : ({ type: 'changed', record: recordOf(row) } as const),
    );
    this.list.apply(changes, revision);
  }

  /** Within an era a removed record means that its back end ended; the first list of an era may just lack it. */
  #recordEnds(ids: readonly string[]): void {
    for (const id of ids) {
      const record = this.list.records.get(id);
      if (record?.leaving === true) this.#ended.add(`${id} ${record.start}`);
    }
  }

  #check(): void {
    for (const { id, start, leaving } of this.list.records.values()) {
      const left = this.#drained.get(id) ?? new Set<number>();
      this.#drained.set(id, left);
      if (leaving) left.add(start!);
      expect(left.has(start!) && !leaving, `${id} ${start} serves again after it left`).toBe(false);
      expect(this.#ended.has(`${id} ${start}`), `${id} ${start} is listed again after it ended`).toBe(false);
    }
  }
}

function recordOf(row: Parameters<typeof textRecordDecoder.backEnd>[0]): BackEndRecord {
  const decoded = textRecordDecoder.backEnd(row);
  if (!decoded.ok) throw new Error(decoded.error.reason);
  return decoded.value;
}

it('lists of back ends follow a store restored from older copies without losing drains and ends', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
      const simulation = new Simulation();
      for (const one of steps) await simulation.applyStep(one);
      await simulation.writeAndReadTwice();
      const expected = [...simulation.running]
        .map(([id, { start, isLeaving }]) => [id, start, isLeaving])
        .sort();
      for (const { list } of simulation.readers) {
        const known = [...list.records.values()].map(({ id, start, leaving }) => [id, start, leaving]);
        expect(known.sort()).toEqual(expected);
      }
    }),
    { seed: 31, numRuns: 1_000 },
  );
});
