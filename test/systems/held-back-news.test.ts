import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { Row } from '../../src/clients/table-service.js';
import { type ConfigurationNews, HeldBackNews } from '../../src/systems/held-back-news.js';

function news(base: number, revision: number, table: string, key = 'k'): ConfigurationNews {
  return { base, revision, rows: [{ table, key, value: revision, revision }] };
}

describe('held-back configuration changes', () => {
  it('are sent together with the next urgent change', () => {
    const held = new HeldBackNews(2_000);
    expect(held.add(news(1, 2, 'leases'), 0)).toBeUndefined();
    expect(held.add(news(2, 3, 'leases'), 100)).toBeUndefined();
    const sent = held.add(news(3, 4, 'resources'), 200);
    expect(sent).toMatchObject({ base: 1, revision: 4 });
    expect(sent?.rows.map(({ table, revision }) => [table, revision])).toEqual([
      ['leases', 3],
      ['resources', 4],
    ]);
  });

  it('are sent after the maximum delay', () => {
    const held = new HeldBackNews(2_000);
    expect(held.add(news(1, 2, 'leases'), 0)).toBeUndefined();
    expect(held.add(news(2, 3, 'leases'), 2_000)).toMatchObject({ base: 1, revision: 3 });
  });

  it('never cover revisions that were received by another way', () => {
    const held = new HeldBackNews(Number.POSITIVE_INFINITY);
    held.add(news(1, 2, 'leases'), 0);
    expect(held.add(news(5, 6, 'resources'), 100)).toMatchObject({ base: 5, revision: 6 });
  });

  it('bring every row to a receiver that has the base revision, whatever is held back', () => {
    const step = fc.record({
      table: fc.constantFrom('leases', 'resources'),
      key: fc.constantFrom('a', 'b'),
      elsewhere: fc.boolean(),
      wait: fc.nat(1_500),
    });
    const property = fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      const held = new HeldBackNews(2_000);
      const store = new Map<string, Row>();
      const known = new Map<string, Row>();
      let knownRevision = 0;
      let revision = 0;
      let now = 0;
      for (const { table, key, elsewhere, wait } of steps) {
        now += wait;
        const row = { table, key, value: revision + 1, revision: revision + 1 };
        store.set(`${table}/${key}`, row);
        const sent = elsewhere
          ? undefined
          : held.add({ base: revision, revision: revision + 1, rows: [row] }, now);
        revision++;
        if (sent === undefined || sent.base > knownRevision) continue;
        for (const sentRow of sent.rows) known.set(`${sentRow.table}/${sentRow.key}`, sentRow);
        knownRevision = sent.revision;
        for (const [id, stored] of store) {
          if (stored.revision <= knownRevision) expect(known.get(id)).toEqual(stored);
        }
      }
    });
    fc.assert(property, { seed: 3, numRuns: 500 });
  });
});
