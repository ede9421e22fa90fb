/**
 * Guards against requests sent to back ends that are gone: an entry that was out of touch must not take the time in which it got no
 * answers of the store for an outage of the store, and hold removals back.
 */
import { expect, it } from 'vitest';
import { seededRandom } from '../../src/model/random.js';
import { advance, ReadingZone, simulateClock } from './reading-zone.js';

/** Time until an entry that is in touch again has the store's answer and a report of another entry, in milliseconds. */
const CATCH_UP_TIME = 1_300;
const SEEDS = [1, 2, 3];
const ROUNDS = 6;

let zone: ReadingZone;

simulateClock(() => zone.stop());

it.each([
  { place: 0, duration: 2_000 },
  { place: 0, duration: 4_000 },
  { place: 1, duration: 2_500 },
  { place: 2, duration: 6_000 },
])(
  'a back end that leaves while entry $place is out of touch for $duration ms is gone there soon after',
  async ({ place, duration }) => {
    for (const seed of SEEDS) {
      zone = new ReadingZone(seed, 4, true);
      const started = zone.start(10);
      await advance(3_000);
      await started;
      const random = seededRandom(seed);
      for (let round = 0; round < ROUNDS; round++) {
        await advance(2_000 + random.below(1_000));
        void zone.isolate(place, duration);
        await advance(random.below(duration));
        const id = `back-end-${round}`;
        zone.leave(id);
        const { cutUntil, fleet } = zone.entries[place];
        await advance(cutUntil - performance.now() + CATCH_UP_TIME);
        expect(fleet.backEnds.records.has(id), `seed ${seed}, round ${round}`).toBe(false);
      }
      await zone.stop();
    }
  },
);
