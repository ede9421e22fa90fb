import { describe, expect, it } from 'vitest';
import type { Changes, Row, TableService } from '../../src/clients/table-service.js';
import { Configuration } from '../../src/entry/configuration.js';
import { HybridClock } from '../../src/model/hybrid-clock.js';
import { seededRandom } from '../../src/model/random.js';
import { failure, success } from '../../src/model/result.js';
import { Timeline } from '../../src/observability/timeline.js';

/** A configuration whose table service answers each read with the next of `answers`. */
function configurationWithAnswers(answers: Array<Changes | 'down'>): Configuration {
  const down = { type: 'unavailable' as const, service: 'tableService', retryAfter: 1, reason: 'test' };
  const tables = {
    changes: async () => {
      const answer = answers.shift() ?? 'down';
      return answer === 'down' ? failure(down) : success(answer);
    },
  } as unknown as TableService;
  const timeline = new Timeline('test', new HybridClock());
  return new Configuration({ tables, random: seededRandom(1), timeline });
}

function row(key: string, revision: number, value: unknown = revision): Row {
  return { table: 'resources', key, value, revision };
}

describe('Configuration', () => {
  it('applies changes and deletions', async () => {
    const configuration = configurationWithAnswers([
      { revision: 2, rows: [row('a', 1), row('b', 2)] },
      { revision: 3, rows: [row('a', 3, null)] },
    ]);
    await configuration.poll();
    await configuration.poll();
    expect(configuration.revision).toBe(3);
    expect(configuration.rows('resources').map(({ key }) => key)).toEqual(['b']);
  });

  it.each([
    ['a read of a lagging replica', { revision: 1, rows: [row('a', 1)] }],
    ['a read of a store that was rolled back', { revision: 2, rows: [row('a', 2, 'other')] }],
    ['an empty read of an old revision', { revision: 0, rows: [] }],
  ])('does not revert after %s', async (_, late) => {
    const configuration = configurationWithAnswers([{ revision: 5, rows: [row('a', 5)] }, late]);
    await configuration.poll();
    await configuration.poll();
    expect(configuration.revision).toBe(5);
    expect(configuration.row('resources', 'a')).toMatchObject({ value: 5, revision: 5 });
  });

  it.each([
    ['a read of a lagging replica', { revision: 2, rows: [row('a', 1)] }],
    ['a late answer that includes a newer revision', { revision: 6, rows: [row('a', 1), row('b', 6)] }],
  ])('does not restore a deleted row after %s', async (_, late) => {
    const configuration = configurationWithAnswers([
      { revision: 2, rows: [row('a', 1)] },
      { revision: 5, rows: [row('a', 5, null)] },
      late,
    ]);
    for (let reading = 0; reading < 3; reading++) await configuration.poll();
    expect(configuration.row('resources', 'a')).toBeUndefined();
  });

  it('deletes rows that are missing from a full snapshot of another entry', () => {
    const configuration = configurationWithAnswers([]);
    configuration.applyChanges(0, [row('a', 1), row('b', 2)], 2);
    const notified: Row[] = [];
    configuration.listen((rows) => notified.push(...rows));
    configuration.applyChanges(0, [row('b', 2), row('c', 5)], 5);
    expect(configuration.rows('resources').map(({ key }) => key)).toEqual(['b', 'c']);
    expect(notified).toContainEqual(row('a', 5, null));
  });

  it.each([
    ['nothing is known yet', 0, undefined],
    ['the watcher is older than the first revision known here', 3, undefined],
    ['the watcher has missed only a deletion', 5, ['a']],
    ['the watcher has missed nothing', 6, []],
  ])(
    'returns the deletions since a revision, or undefined if they are not all known: %s',
    async (_, since, deleted) => {
      const configuration = configurationWithAnswers([
        { revision: 4, rows: [row('a', 4)] },
        { revision: 5, rows: [row('b', 5)] },
        { revision: 6, rows: [row('a', 6, null)] },
      ]);
      for (let reading = 0; reading < 3; reading++) await configuration.poll();
      expect(configuration.deletedSince(since)?.map(({ key }) => key)).toEqual(deleted);
    },
  );

  it('keeps its rows while the store is down', async () => {
    const configuration = configurationWithAnswers([{ revision: 5, rows: [row('a', 5)] }, 'down']);
    await configuration.poll();
    await configuration.poll();
    expect(configuration.row('resources', 'a')).toBeDefined();
    expect(configuration.counters).toEqual({ reads: 2, failedReads: 1 });
  });

  it('reads again at once only if another process reports a later revision', async () => {
    const configuration = configurationWithAnswers([
      { revision: 5, rows: [] },
      { revision: 6, rows: [] },
    ]);
    await configuration.poll();
    configuration.pollIfBehind(5);
    configuration.pollIfBehind(6);
    await configuration.poll();
    expect(configuration.revision).toBe(6);
    expect(configuration.counters.reads).toBeLessThanOrEqual(3);
  });
});
