/**
 * Guards against requests sent to back ends that have left: an entry that loses its own connection to the store for a moment
 * must not delay removals at the entries for which it reads, as an outage of the store does at all.
 */
import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../src/model/random.js';
import { advance, type Cut, HEARTBEAT_INTERVAL, ReadingZone, simulateClock } from './reading-zone.js';

/**
 * A back end gets no new requests 2 s after the store has acknowledged that it is gone; requests that were sent before its removal
 * is known arrive within 200 ms. In milliseconds.
 */
const DRAIN_BOUND = 1_800;
/** An entry is bound by this once it has reached the store for this time, in milliseconds. */
const CONTACT_TIME = 3_000;
/** Time in which back ends whose records expired during an outage write them again, in milliseconds. */
const RETURN_TIME = 1_800;
const BACK_ENDS = 10;
const SEEDS = [1, 2, 3, 4];
const ROUNDS = 8;

let zone: ReadingZone;

simulateClock(() => zone.stop());

async function startZone(
  seed: number,
  entries: number,
  heartbeatsChangeRecords: boolean,
  listsLatestOnly = false,
): Promise<void> {
  zone = new ReadingZone(seed, entries, heartbeatsChangeRecords, listsLatestOnly);
  const started = zone.start(BACK_ENDS);
  await advance(3_000);
  await started;
}

/** Back ends that an entry in contact with the store still lists, by entry. */
function listedWhere(id: string): string[] {
  const inContact = zone.inContact(CONTACT_TIME);
  return inContact.filter(({ fleet }) => fleet.backEnds.records.has(id)).map((entry) => entry.id);
}

/** How many entries lose the store, and in which order. */
interface Loss {
  what: string;
  entries: number;
  /** Entries that lose the store, by their place among the readers. */
  places: number[];
  /** Time after which the next of them loses it, in milliseconds. */
  step: number;
  duration: number;
}

const LOSSES: Loss[] = [
  { what: 'the first reader for 0.3 s', entries: 3, places: [0], step: 0, duration: 300 },
  { what: 'the first reader for 0.7 s', entries: 3, places: [0], step: 0, duration: 700 },
  { what: 'the first reader for 1.1 s', entries: 2, places: [0], step: 0, duration: 1_100 },
  { what: 'the first reader for 2 s', entries: 4, places: [0], step: 0, duration: 2_000 },
  { what: 'the first reader for 4 s', entries: 2, places: [0], step: 0, duration: 4_000 },
  { what: 'three readers at once for 2.5 s', entries: 5, places: [0, 1, 2], step: 0, duration: 2_500 },
  { what: 'three readers by turns', entries: 5, places: [0, 1, 2], step: 650, duration: 700 },
  { what: 'six readers by turns, shortly', entries: 7, places: [0, 1, 2, 3, 4, 5], step: 280, duration: 300 },
];

/**
 * When the back end leaves: just after the last answer of the reader, which is the longest silence before it is known, shortly
 * afterwards, while others begin to read, or late.
 */
const DEPARTURES = ['atOnce', 'soon', 'duringTakeover', 'late'] as const;

describe.each(LOSSES)('a back end that leaves while $what cannot reach the store', (loss) => {
  it.each([
    { how: 'reset' as Cut, heartbeatsChangeRecords: true },
    { how: 'silent' as Cut, heartbeatsChangeRecords: true },
    { how: 'reset' as Cut, heartbeatsChangeRecords: false },
    { how: 'silent' as Cut, heartbeatsChangeRecords: false },
  ])(
    'is known to be gone in time elsewhere ($how, heartbeats change records: $heartbeatsChangeRecords)',
    async ({ how, heartbeatsChangeRecords }) => {
      for (const seed of SEEDS) {
        await startZone(seed, loss.entries, heartbeatsChangeRecords);
        const random = seededRandom(seed);
        for (let round = 0; round < ROUNDS; round++) {
          await advance(random.below(1_500));
          const departure = DEPARTURES[round % DEPARTURES.length];
          if (departure === 'atOnce') await zone.advanceToAnswer();
          for (const [index, place] of loss.places.entries())
            setTimeout(() => void zone.cut(place, how, loss.duration), index * loss.step);
          if (departure === 'soon') await advance(random.below(400));
          if (departure === 'duringTakeover') await advance(1_200 + random.below(1_200));
          if (departure === 'late') await advance(random.below(loss.duration + 1_500));
          const id = `back-end-${round}`;
          zone.leave(id);
          await advance(DRAIN_BOUND);
          expect(listedWhere(id), `seed ${seed}, round ${round}`).toEqual([]);
          zone.join(`new-${round}`);
          await advance(CONTACT_TIME);
        }
        await zone.stop();
      }
    },
  );
});

describe.each([{ heartbeatsChangeRecords: true }, { heartbeatsChangeRecords: false }])(
  'records that expire during an outage of the store (heartbeats change records: $heartbeatsChangeRecords)',
  ({ heartbeatsChangeRecords }) => {
    /** The back ends that any entry has removed. */
    function watchRemovals(): Set<string> {
      const removed = new Set<string>();
      for (const { fleet } of zone.entries)
        fleet.listen({
          onBackEnds: (changes) => {
            for (const change of changes) if (change.type === 'gone') removed.add(change.id);
          },
        });
      return removed;
    }

    it.each([2_400, 3_000, 4_000, 6_000])(
      'for %d ms stay with all entries until they are written again',
      async (duration) => {
        for (const seed of SEEDS) {
          await startZone(seed, 4, heartbeatsChangeRecords);
          const removed = watchRemovals();
          void zone.interrupt(duration);
          await advance(duration + RETURN_TIME);
          await advance(2 * HEARTBEAT_INTERVAL);
          expect([...removed], `seed ${seed}`).toEqual([]);
          for (const { fleet } of zone.entries) expect(fleet.backEnds.records.size).toBe(BACK_ENDS);
          await zone.stop();
        }
      },
    );

    it('stay although a reader loses the store again shortly before or after', async () => {
      for (const seed of SEEDS) {
        await startZone(seed, 4, heartbeatsChangeRecords);
        const removed = watchRemovals();
        void zone.cut(0, 'reset', 500);
        await advance(700);
        void zone.interrupt(4_000);
        await advance(4_300);
        void zone.cut(0, 'reset', 500);
        await advance(RETURN_TIME + 2 * HEARTBEAT_INTERVAL);
        expect([...removed], `seed ${seed}`).toEqual([]);
        await zone.stop();
      }
    });

    it('stay although an entry that missed their removal reads only that they were written again', async () => {
      for (const seed of SEEDS) {
        await startZone(seed, 4, heartbeatsChangeRecords, true);
        const removed = watchRemovals();
        void zone.interrupt(4_000);
        await advance(3_900);
        void zone.isolate(0, 1_000);
        await advance(100 + RETURN_TIME + 2 * HEARTBEAT_INTERVAL);
        expect([...removed], `seed ${seed}`).toEqual([]);
        await zone.stop();
      }
    });

    it('go about two seconds after its return if they are not written again', async () => {
      await startZone(1, 3, heartbeatsChangeRecords);
      zone.crash('back-end-0');
      void zone.interrupt(5_000);
      await advance(5_000 + DRAIN_BOUND + 1_200);
      for (const { fleet } of zone.entries) expect(fleet.backEnds.records.has('back-end-0')).toBe(false);
    });

    it('are told from removals after its return of back ends that have been heard from', async () => {
      if (!heartbeatsChangeRecords) return;
      await startZone(1, 3, heartbeatsChangeRecords);
      void zone.interrupt(3_000);
      await advance(3_000 + HEARTBEAT_INTERVAL + 700);
      zone.leave('back-end-1');
      await advance(600);
      const [reader] = zone.entries;
      expect(reader.fleet.backEnds.records.has('back-end-1')).toBe(false);
    });
  },
);
