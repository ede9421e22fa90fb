/** Tests that the judge of the recovery tells refusals for want of slots from entries and engines that do not serve. */
import { describe, expect, it } from 'vitest';
import { type EntryService, judgeRefusals, type Refusal, type SlotSample } from './soak/recovery.js';

const TOTAL = 48;
const WINDOW = 14_000;
const INTERVAL = 10;

/** Samples of the window, with the free slots at each time. */
const samplesOf = (freeAt: (at: number) => number): SlotSample[] =>
  Array.from({ length: WINDOW / INTERVAL }, (_, index) => {
    const at = index * INTERVAL;
    return { at, free: freeAt(at), total: TOTAL };
  });
const refusal = (entry: string, sentAt = 10_000): Refusal => ({ entry, sentAt, endedAt: sentAt + 3 });
const service = (entry: string, asked: number, served: number): EntryService => ({ entry, asked, served });
const SERVING = [service('one', 100, 40), service('two', 100, 50)];
const FULL = samplesOf(() => 0);

describe('refusals for want of slots', () => {
  it('are allowed while all slots are taken and each entry serves', () => {
    expect(judgeRefusals([refusal('one'), refusal('two')], FULL, SERVING)).toEqual([]);
  });

  it('are allowed while slots stand free between two requests only', () => {
    const flickering = samplesOf((at) => (at % 100 < 40 ? 2 : 0));
    expect(judgeRefusals([refusal('one')], flickering, SERVING)).toEqual([]);
  });

  it('are reported if the engines are mostly idle', () => {
    const fullAtTimes = samplesOf((at) => (at % 1_000 < 300 ? 0 : TOTAL));
    const during = refusal('one', 10_200);
    expect(judgeRefusals([during], fullAtTimes, SERVING)).toEqual([
      expect.stringContaining('30 in 100 are taken'),
    ]);
  });
});

describe('an entry is reported', () => {
  it('that refuses all while slots stand free', () => {
    const services = [service('one', 100, 0), service('two', 100, 50)];
    const violations = judgeRefusals(
      [refusal('one')],
      samplesOf(() => 8),
      services,
    );
    expect(violations).toContainEqual(expect.stringContaining('one refuses streams while slots'));
    expect(violations).toContainEqual(expect.stringContaining('one served none of 100'));
  });

  it('behind an agent that grants nothing: the slots of its engine stand free', () => {
    expect(
      judgeRefusals(
        [refusal('one'), refusal('two')],
        samplesOf(() => 8),
        SERVING,
      ),
    ).toHaveLength(2);
  });

  it('of seven that gets no slot while the others fill the engines', () => {
    const services = Array.from({ length: 7 }, (_, index) =>
      service(`entry-${index}`, 60, index === 3 ? 0 : 20),
    );
    expect(judgeRefusals([refusal('entry-3')], FULL, services)).toEqual([
      'RECOVER: entry-3 served none of 60 streams while others served',
    ]);
  });

  it('that refuses although a single slot stands free for longer than one exchange', () => {
    const oneFree = samplesOf((at) => (at >= 9_800 && at <= 10_100 ? 1 : 0));
    expect(judgeRefusals([refusal('one')], oneFree, SERVING)).toHaveLength(1);
  });

  it('if no slot was seen taken at all', () => {
    expect(judgeRefusals([refusal('one')], [], SERVING)).not.toEqual([]);
  });
});

it('nothing is reported without refusals', () => {
  expect(
    judgeRefusals(
      [],
      samplesOf(() => TOTAL),
      SERVING,
    ),
  ).toEqual([]);
});
