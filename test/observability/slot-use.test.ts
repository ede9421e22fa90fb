import { describe, expect, it } from 'vitest';
import { parseLogLine } from '../../src/observability/request-history.js';
import { formatSlotUses, slotUses } from '../../src/observability/slot-use.js';

function sample(seconds: number, process: string, granted: number, running: number, waiting: number) {
  const time = new Date(1_700_000_000_000 + seconds * 1_000).toISOString();
  const fields = { slots: 8, granted, others: 1, running, waiting };
  return parseLogLine(JSON.stringify({ time, level: 'INFO', process, message: 'slots', ...fields }))!;
}

const LINES = [
  sample(0, 'agent-1', 7, 4, 3),
  sample(0.4, 'agent-1', 7, 6, 1),
  sample(0.5, 'agent-2', 3, 3, 0),
  sample(1.2, 'agent-2', 7, 7, 2),
];

describe('the use of slots', () => {
  it('is the sum over the engines of the means of their log lines', () => {
    expect(slotUses(LINES, 1)).toEqual([
      { from: 0, agents: 2, slots: 16, granted: 10, others: 2, running: 8, waiting: 2, wanted: 8, idle: 3 },
      { from: 1, agents: 1, slots: 8, granted: 7, others: 1, running: 7, waiting: 2, wanted: 8, idle: 1 },
    ]);
  });

  it('is printed with the share of slots that were idle while requests waited', () => {
    const [, first, second] = formatSlotUses(slotUses(LINES, 1));
    expect(first).toContain('granted=10.0 others=2.0 running=8.0 waiting=2.0');
    expect(first).toContain('idle while waited for=38%');
    expect(second).toContain('idle while waited for=13%');
  });
});
