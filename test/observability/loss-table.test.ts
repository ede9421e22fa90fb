import { describe, expect, it } from 'vitest';
import { formatLosses, lossTable, switchOutages } from '../../src/observability/loss-table.js';
import { type LogLine, parseLogLine } from '../../src/observability/request-history.js';

function line(seconds: number, process: string, message: string, fields: object): LogLine {
  const time = new Date(1_700_000_000_000 + seconds * 1_000).toISOString();
  return parseLogLine(JSON.stringify({ time, level: 'INFO', process, message, ...fields }))!;
}

const request = (id: string, fields: object = {}) => ({ request: id, service: 'engines', ...fields });

const LINES = [
  line(0, 'entry-1', 'entry started', {}),
  line(0.2, 'entry-1', 'sent', request('a', { send: 1, choices: 4, load: 2 })),
  line(0.3, 'entry-1', 'attempt failed', request('a', { type: 'broken', reason: 'ECONNRESET' })),
  line(0.3, 'entry-1', 'sent', request('a', { send: 2, choices: 3, load: 5 })),
  line(0.9, 'entry-1', 'served', request('a', { firstMs: 120, version: 2 })),
  line(1.1, 'entry-2', 'no back end', request('b', { excluded: { expired: 2, switching: 1 } })),
  line(1.1, 'entry-2', 'ended', request('b', { status: 503, type: 'unavailable', reason: 'no back end' })),
  line(1.2, 'entry-2', 'no back end', request('c', { excluded: { expired: 1 } })),
  line(1.2, 'entry-2', 'ended', request('c', { status: 503, type: 'unavailable', reason: 'no back end' })),
  line(2.1, 'entry-2', 'no back end', request('d', { excluded: { region: 3 }, regions: ['region-a'] })),
  line(2.1, 'entry-2', 'ended', request('d', { status: 503, type: 'regionNotServed', reason: 'no region' })),
  line(1.5, 'agent-1', 'engine ordered', { version: 2, from: 1, running: 'drop', load: 7 }),
  line(1.8, 'agent-1', 'switch ended', { wanted: 2, tookMs: 310 }),
  line(1.9, 'agent-2', 'engine ordered', { version: 2, from: 0, running: 'finish', load: 0 }),
];

describe('losses', () => {
  it('are counted by interval and service', () => {
    const [first, second, third] = lossTable(LINES, 1);
    expect(first).toMatchObject({ from: 0, service: 'engines', sent: 2, sentRetries: 1, served: 1 });
    expect(first).toMatchObject({ firstPartMedian: 120, failures: { ECONNRESET: 1 }, versions: { 2: 1 } });
    expect(second).toMatchObject({ from: 1, refused: { '503 no back end': 2 } });
    expect(second.excluded).toEqual({ expired: 1.5, switching: 0.5 });
    expect(third).toMatchObject({ from: 2, refused: { '503 no region': 1 }, excluded: { region: 3 } });
  });

  it('include engine outages, also those without a logged end', () => {
    expect(switchOutages(LINES)).toEqual([
      { process: 'agent-1', from: 1.5, fromVersion: 1, toVersion: 2, running: 'drop', load: 7, took: 310 },
      {
        process: 'agent-2',
        from: 1.9,
        fromVersion: 0,
        toVersion: 2,
        running: 'finish',
        load: 0,
        took: undefined,
      },
    ]);
  });

  it('are printed with one line per row and outage', () => {
    const lines = formatLosses(lossTable(LINES, 1), switchOutages(LINES));
    expect(lines).toHaveLength(7);
    expect(lines[1]).toContain('sent=2 again=1 served=1');
    expect(lines[6]).toContain('took=?ms');
  });
});
