/** Tests what answers of the store, and what others know of them, tell of its outages. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { StoreOutages } from '../../src/fleet/store-outages.js';

const HEARTBEAT_INTERVAL = 1_200;
/** Shortest silence of the store in which records may expire, in milliseconds. */
const SHORTEST = 1_800;

const outages = () => new StoreOutages(HEARTBEAT_INTERVAL);
const answer = (storeTime: number) => ({ storeTime, revision: 1 });

describe('a time without answers', () => {
  it('counts as an outage unless another process has got answers meanwhile', () => {
    const own = outages();
    own.noteAnswer(answer(0));
    expect(own.noteAnswer(answer(4_000))).toBe(4_000);
    expect(own.noteAvailable({ since: 1_000, until: 3_000 })).toBe(true);
    expect(own.available).toEqual({ since: 0, until: 4_000 });
  });

  it('does not count if another process has told of its answers before', () => {
    const own = outages();
    own.noteAnswer(answer(0));
    own.noteAvailable({ since: -500, until: 3_500 });
    expect(own.noteAnswer(answer(4_000))).toBeUndefined();
  });

  it('counts although a process that started afterwards got answers', () => {
    const own = outages();
    own.noteAnswer(answer(0));
    own.noteAnswer(answer(4_000));
    expect(own.noteAvailable({ since: 1_900, until: 6_000 })).toBe(false);
  });
});

it('an outage of the store is never taken back, whatever processes tell one another', () => {
  const events = fc.array(
    fc.record({ step: fc.integer({ min: 0, max: 900 }), from: fc.nat(3), to: fc.nat(3), asks: fc.boolean() }),
    { maxLength: 120 },
  );
  fc.assert(
    fc.property(
      events,
      fc.nat(40_000),
      fc.integer({ min: SHORTEST, max: 8_000 }),
      (steps, outageAt, length) => {
        const processes = [outages(), outages(), outages(), outages()];
        const isDown = (time: number) => time > outageAt && time < outageAt + length;
        let time = 0;
        for (const { step, from, to, asks } of steps) {
          time += step;
          if (asks && !isDown(time)) processes[from].noteAnswer(answer(time));
          const told = processes[from].available;
          if (!asks && told !== undefined) processes[to].noteAvailable({ ...told });
          for (const { available } of processes)
            expect(
              available !== undefined && available.since <= outageAt && available.until >= outageAt + length,
            ).toBe(false);
        }
      },
    ),
    { seed: 76 },
  );
});
