import { describe, expect, it } from 'vitest';
import { formatHistory, historyOf, parseLogLine } from '../../src/observability/request-history.js';

const line = (second: number, process: string, message: string, fields: object = {}) =>
  JSON.stringify({
    time: new Date(second * 1_000).toISOString(),
    level: 'INFO',
    process,
    message,
    ...fields,
  });

const LINES = [
  line(10, 'entry-1', 'configuration taken', { revision: 6 }),
  line(14, 'entry-1', 'configuration taken', { revision: 7 }),
  line(14, 'entry-2', 'configuration taken', { revision: 7 }),
  `  14.2 entry-1 ${line(15, 'entry-1', 'sent', { request: 'r1', backEnd: 'b1' })}`,
  line(15.5, 'entry-1', 'sent', { request: 'r2', backEnd: 'b1' }),
  line(16, 'entry-1', 'ended', { request: 'r1', status: 504 }),
  line(17, 'entry-1', 'store lost', { table: 'operator' }),
  'no line of a log',
  '{"half":',
].flatMap((text) => parseLogLine(text) ?? []);

describe('the history of a request', () => {
  it('holds its own lines and the state changes of its process shortly before', () => {
    expect(formatHistory('r1', historyOf('r1', LINES))).toEqual([
      '   -1.000 entry-1 configuration taken revision=7',
      '*   0.000 entry-1 sent backEnd="b1"',
      '*   1.000 entry-1 ended status=504',
    ]);
  });

  it('is empty for a request that no line mentions', () => expect(historyOf('r9', LINES)).toEqual([]));
});
