/** Contract tests that every store client must pass. */
import { beforeEach, describe, expect, it } from 'vitest';
import type { MemoryStore } from '../../emulator/store/memory-store.js';
import type { ListedObjectStore } from '../../src/clients/object-store.js';
import type { WatchedTables } from '../../src/clients/watched-tables.js';

/** A client under test and the in-memory store behind it. */
export interface StoreUnderTest {
  tables: WatchedTables;
  objects: ListedObjectStore;
  behind: MemoryStore;
}

const forever = () => new AbortController().signal;
const row = (key: string, text: string) => ({
  table: 'things',
  partition: '',
  key,
  value: Buffer.from(text),
});

/** More rows and names than a store sends in two answers. */
const MANY_ROWS = 1_200;
const MANY_OBJECTS = 2_100;

/** Writes rows of a table, and knows them as of each revision. */
class WrittenRows {
  readonly #behind: MemoryStore;
  readonly #changes: Array<{ revision: number; key: string; text: string | undefined }> = [];

  constructor(behind: MemoryStore, keys: readonly string[]) {
    this.#behind = behind;
    for (const key of keys) this.write(key, 'first');
  }

  write(key: string, text: string | undefined): void {
    this.#changes.push({ revision: this.#behind.write('things', key, text), key, text });
  }

  /** Keys and texts as of `latest`, by key. */
  asOf(latest: number): Array<[key: string, text: string]> {
    const rows = new Map<string, string>();
    for (const { revision, key, text } of this.#changes) {
      if (revision > latest) continue;
      if (text === undefined) rows.delete(key);
      else rows.set(key, text);
    }
    return [...rows].sort();
  }
}

/** Defines the tests; `create` returns a new store and its client. */
export function storeContract(name: string, create: () => Promise<StoreUnderTest>): void {
  describe(`${name} fulfils the contract of a store`, () => {
    let store: StoreUnderTest;
    beforeEach(async () => {
      store = await create();
    });

    it('commits all writes of a transaction whose conditions hold, and reads them', async () => {
      const { tables } = store;
      const outcome = await tables.transact([], [row('a', 'one'), row('b', 'two')], forever());
      expect(outcome).toMatchObject({ ok: true, value: { type: 'committed' } });
      const read = await tables.read('things', '', forever());
      expect(read.ok && read.value.rows.map(({ key, value }) => [key, value?.toString()])).toEqual([
        ['a', 'one'],
        ['b', 'two'],
      ]);
    });

    it('commits nothing if a condition fails, and returns the current rows', async () => {
      const { tables } = store;
      await tables.transact([], [row('a', 'one')], forever());
      const absent = { table: 'things', partition: '', key: 'a', revision: 0 };
      const outcome = await tables.transact([absent], [row('a', 'two')], forever());
      expect(outcome).toMatchObject({ ok: true, value: { type: 'conflict', rows: [{ key: 'a' }] } });
      const read = await tables.read('things', '', forever());
      expect(read.ok && read.value.rows[0].value?.toString()).toBe('one');
    });

    it('lists the changes after a revision, including deletions', async () => {
      const { tables, behind } = store;
      const first = behind.write('things', 'a', 'one');
      behind.write('things', 'a', undefined);
      const changes = await tables.changes({ table: 'things', after: first, wait: 0 }, forever());
      expect(changes).toMatchObject({ ok: true, value: { rows: [{ key: 'a', value: undefined }] } });
    });

    it('waits for a change', async () => {
      const { tables, behind } = store;
      const waiting = tables.changes({ table: 'things', after: behind.revision, wait: 20_000 }, forever());
      setTimeout(() => behind.write('things', 'late', 'here'), 30);
      expect(await waiting).toMatchObject({ ok: true, value: { rows: [{ key: 'late' }] } });
    });

    // Guards against keeping a row for good that goes while the pages of its table are read.
    it('reads a table of many rows as of one moment, while rows come, change and go', async () => {
      const { tables, behind } = store;
      const keys = Array.from({ length: MANY_ROWS }, (_, index) => `row-${String(index).padStart(4, '0')}`);
      const history = new WrittenRows(behind, keys);
      let reads = 0;
      const read = behind.read.bind(behind);
      behind.read = async (...call) => {
        const answer = await read(...call);
        const place = reads++;
        history.write(keys[place], undefined);
        history.write(keys[MANY_ROWS - 1 - place], undefined);
        history.write(keys[10 + place], 'changed');
        history.write(`${keys[20]}-${place}`, 'new');
        behind.write('other things', `${place}`, 'of another table');
        return answer;
      };
      const snapshot = await tables.read('things', '', forever());
      if (!snapshot.ok) throw new Error(snapshot.error.type);
      const { rows, revision } = snapshot.value;
      const byKey = rows.map(({ key, value }) => [key, String(value)]).sort();
      expect(byKey).toEqual(history.asOf(revision));
      expect(rows.every((one) => one.table === 'things' && one.revision <= revision)).toBe(true);
    });

    it.each([
      ['its history is forgotten', (behind: MemoryStore) => behind.forgetHistory()],
      ['the store comes back from a copy', (behind: MemoryStore) => behind.restore(behind.copy())],
    ])('reads a table of many rows as of one moment or not at all if %s meanwhile', async (_name, fail) => {
      const { tables, behind } = store;
      const keys = Array.from({ length: MANY_ROWS }, (_, index) => `row-${String(index).padStart(4, '0')}`);
      const history = new WrittenRows(behind, keys);
      let reads = 0;
      const read = behind.read.bind(behind);
      behind.read = async (...call) => {
        const answer = await read(...call);
        if (reads++ > 0) return answer;
        history.write(keys[0], undefined);
        fail(behind);
        return answer;
      };
      const first = await tables.read('things', '', forever());
      if (first.ok) expect(first.value.rows).toHaveLength(MANY_ROWS);
      else expect(first.error.type).toBe('unavailable');
      const second = await tables.read('things', '', forever());
      expect(second.ok && second.value.rows).toHaveLength(MANY_ROWS - 1);
    });

    it('reads a table of many rows that does not change while others do', async () => {
      const { tables, behind } = store;
      const keys = Array.from({ length: MANY_ROWS }, (_, index) => `row-${index}`);
      new WrittenRows(behind, keys);
      const read = behind.read.bind(behind);
      behind.read = async (...call) => {
        const answer = await read(...call);
        behind.write('other things', 'a', 'changed');
        return answer;
      };
      const snapshot = await tables.read('things', '', forever());
      expect(snapshot.ok && snapshot.value.rows).toHaveLength(MANY_ROWS);
    });

    it('leaves the rows of other partitions out of a table that is read in parts', async () => {
      const { tables, behind } = store;
      new WrittenRows(
        behind,
        Array.from({ length: MANY_ROWS }, (_, index) => `row-${index}`),
      );
      let reads = 0;
      const read = behind.read.bind(behind);
      behind.read = async (...call) => {
        const answer = await read(...call);
        const elsewhere = { ...row(`elsewhere-${reads++}`, 'x'), partition: 'other' };
        await behind.transact([], [elsewhere], forever());
        return answer;
      };
      const snapshot = await tables.read('things', '', forever());
      expect(snapshot.ok && snapshot.value.rows.length).toBe(MANY_ROWS);
    });

    it('reports forgotten history', async () => {
      const { tables, behind } = store;
      behind.write('things', 'a', 'one');
      behind.forgetHistory();
      const changes = await tables.changes({ table: 'things', after: 0, wait: 0 }, forever());
      expect(changes).toMatchObject({ ok: false, error: { type: 'historyForgotten' } });
    });

    it('reports a store that is down as unavailable', async () => {
      store.behind.faults.down = true;
      const read = await store.tables.read('things', '', forever());
      expect(read).toMatchObject({ ok: false, error: { type: 'unavailable' } });
    });

    it('ends a call to an unresponsive store when its signal aborts', async () => {
      store.behind.faults.silent = true;
      const read = await store.tables.read('things', '', AbortSignal.timeout(40));
      expect(read.ok).toBe(false);
    });

    it('reports the outcome of a write as unknown if its answer was lost', async () => {
      store.behind.faults.losesAnswers = true;
      const outcome = await store.tables.transact([], [row('a', 'one')], forever());
      expect(outcome).toMatchObject({ ok: false, error: { type: 'outcomeUnknown' } });
    });

    it('lists all of many objects', async () => {
      const { objects } = store;
      const names = Array.from(
        { length: MANY_OBJECTS },
        (_, index) => `part.${String(index).padStart(5, '0')}`,
      );
      for (const name of names) await store.behind.put(name, Buffer.from('x'), forever());
      expect(await objects.list('part.', forever())).toMatchObject({ ok: true, value: names });
    });

    it('stores and lists objects, and reports missing ones', async () => {
      const { objects } = store;
      await objects.put('weights.m.1.0', Buffer.from('bytes'), forever());
      expect(await objects.get('weights.m.1.0', forever())).toMatchObject({ ok: true });
      expect(await objects.list('weights.m.', forever())).toMatchObject({
        ok: true,
        value: ['weights.m.1.0'],
      });
      expect(await objects.get('nothing', forever())).toMatchObject({
        ok: false,
        error: { type: 'notFound' },
      });
    });
  });
}
