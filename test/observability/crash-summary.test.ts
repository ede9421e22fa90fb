import { expect, it } from 'vitest';
import { formatCrashes, summarizeCrashes } from '../../src/observability/crash-summary.js';
import { type LogLine, parseLogLine } from '../../src/observability/request-history.js';

function line(seconds: number, process: string, message: string, fields: object): LogLine {
  const time = new Date(1_700_000_000_000 + seconds * 1_000).toISOString();
  return parseLogLine(JSON.stringify({ time, level: 'INFO', process, message, ...fields }))!;
}

const LINES = [
  line(0, 'entry-1', 'entry started', {}),
  line(5.6, 'entry-2', 'back end crashed', { backEnd: 'b2', suspects: 3 }),
  line(5.6, 'entry-2', 'content quarantined', { backEnd: 'b2', fingerprint: 'f1' }),
  line(5.61, 'entry-1', 'content quarantined', { backEnd: 'b2', fingerprint: 'f1' }),
  line(5.3, 'entry-1', 'back end crashed', { backEnd: 'b1', suspects: 8 }),
  line(5.35, 'entry-2', 'back end crashed', { backEnd: 'b1', suspects: 6 }),
];

it('lists each crash with its entries, its suspect requests and the quarantined contents', () => {
  expect(summarizeCrashes(LINES)).toEqual([
    { backEnd: 'b1', from: 5.3, entries: 2, suspects: 14, quarantined: [] },
    { backEnd: 'b2', from: 5.6, entries: 1, suspects: 3, quarantined: ['f1'] },
  ]);
  expect(formatCrashes(summarizeCrashes(LINES))[2]).toContain('quarantined=f1');
});

it('formats no lines if no back end crashed', () => {
  expect(formatCrashes(summarizeCrashes(LINES.slice(0, 1)))).toEqual([]);
});
