/** Guards against requests sent to a back end that has said it leaves: news of the store that keep arriving, but late, are not current. */
import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../src/model/random.js';
import { advance, ReadingZone, simulateClock } from './reading-zone.js';

/**
 * A back end gets no new requests 2 s after the store has acknowledged that it leaves; requests that were sent before that is known
 * arrive within 200 ms. In milliseconds.
 */
const DRAIN_BOUND = 1_800;
const ENTRIES = 5;
const BACK_ENDS = 10;
const SEEDS = [1, 2, 3];
const ROUNDS = 5;
/** Time after which the trouble shows in what the others have heard last, in milliseconds. */
const ONSET = 3_000;
const RECOVERY = 3_000;

let zone: ReadingZone;

simulateClock(() => zone.stop());

async function startZone(seed: number): Promise<void> {
  zone = new ReadingZone(seed, ENTRIES, true);
  const started = zone.start(BACK_ENDS);
  await advance(3_000);
  await started;
}

/** The entries that take a back end for one that serves. */
function unawareOf(id: string): string[] {
  const unaware = zone.entries.filter(({ fleet }) => fleet.backEnds.records.get(id)?.leaving === false);
  return unaware.map((entry) => entry.id);
}

interface Trouble {
  what: string;
  /** Time that an answer of the store takes to arrive, by the place of the entry among the readers, in milliseconds. */
  transferTimes?: number[];
  /** Delay of its messages to the others, in milliseconds. */
  messageDelays?: number[];
}

const TROUBLES: Trouble[] = [
  { what: "the first reader's answers take 1.2 s", transferTimes: [1_200] },
  { what: "the first reader's answers take 2.4 s", transferTimes: [2_400] },
  { what: "the first reader's answers take 6 s", transferTimes: [6_000] },
  { what: "two readers' answers take 6 s", transferTimes: [6_000, 6_000] },
  { what: "three readers' answers take 4 s", transferTimes: [4_000, 4_000, 4_000] },
  { what: "the first reader's messages take 1 s", messageDelays: [1_000] },
  { what: "the first reader's messages take 2.5 s", messageDelays: [2_500] },
  { what: "the first reader's messages take 5 s", messageDelays: [5_000] },
  { what: "two readers' messages take 3 s", messageDelays: [3_000, 3_000] },
  { what: 'one has slow answers, the next late messages', transferTimes: [4_000], messageDelays: [0, 4_000] },
];

function begin({ transferTimes = [], messageDelays = [] }: Omit<Trouble, 'what'>): void {
  for (const [place, time] of transferTimes.entries()) zone.slowAnswers(place, time);
  for (const [place, delay] of messageDelays.entries()) zone.delayMessages(place, delay);
}

function end({ transferTimes = [], messageDelays = [] }: Trouble): void {
  begin({ transferTimes: transferTimes.map(() => 0), messageDelays: messageDelays.map(() => 0) });
}

describe.each(TROUBLES)('late news of the store: a back end that says it leaves while $what', (trouble) => {
  it.each([
    { onset: 0, departure: 'announceLeaving' as const },
    { onset: ONSET, departure: 'announceLeaving' as const },
    { onset: 0, departure: 'leave' as const },
    { onset: ONSET, departure: 'leave' as const },
  ])(
    'is known in time to leave by every entry of the zone ($departure, $onset ms after that began)',
    async ({ onset, departure }) => {
      for (const seed of SEEDS) {
        await startZone(seed);
        const random = seededRandom(seed);
        for (let round = 0; round < ROUNDS; round++) {
          await advance(random.below(1_500));
          await zone.advanceToAnswer();
          begin(trouble);
          await advance(onset + (round === 0 ? 0 : random.below(900)));
          const id = `back-end-${round}`;
          zone[departure](id);
          await advance(DRAIN_BOUND);
          expect(unawareOf(id), `seed ${seed}, round ${round}`).toEqual([]);
          end(trouble);
          await advance(RECOVERY);
        }
        await zone.stop();
      }
    },
  );
});

it('late news of the store: while only the first reader is slow, only the next in order reads as well', async () => {
  await startZone(1);
  const [first, second] = zone.entries;
  zone.slowAnswers(0, 6_000);
  await advance(ONSET);
  const callers = new Set<string>();
  for (const { id, link } of zone.entries) link.onCall = () => callers.add(id);
  await advance(4_000);
  callers.delete(first.id);
  expect([...callers]).toEqual([second.id]);
});

it('late news of the store: an entry logs when it begins to read the store itself, and how old its state is', async () => {
  await startZone(1);
  const [, second] = zone.entries;
  expect(second.lines.at(-1)).toMatchObject({ message: 'leaves the store to another reader' });
  const before = second.lines.length;
  zone.delayMessages(0, 5_000);
  await advance(1_500);
  const begun = second.lines.slice(before).filter(({ message }) => message === 'reads the store');
  expect(begun.map(({ table }) => table).sort()).toEqual(['backEnds', 'operator']);
  for (const { ageMs } of begun) expect(ageMs).toBeGreaterThanOrEqual(1_300);
});
