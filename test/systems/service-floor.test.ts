/** Tests which part of the less urgent requests goes with the most urgent ones under lasting overload. */
import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../src/model/random.js';
import { ServiceFloor } from '../../src/systems/service-floor.js';

/** Longer than outcomes are remembered, in milliseconds. */
const FORGOTTEN = 5_000;

function createFloor(): ServiceFloor {
  return new ServiceFloor(seededRandom(7));
}

/** Notes `served` of `ended` outcomes within a second. */
function note(floor: ServiceFloor, rank: number, served: number, ended: number, isDrawn = false): void {
  for (let number = 0; number < ended; number++)
    floor.note({ rank, isDrawn, isServed: number < served }, (number * 1_000) / ended);
}

describe('the part of a rank that goes with the most urgent requests', () => {
  it('is a quarter of the share of all that are served, if nothing else of that rank is', () => {
    const floor = createFloor();
    note(floor, 0, 60, 60);
    note(floor, 1, 0, 40);
    expect(floor.drawnShare(1, 1_000)).toBeCloseTo(0.25 * 0.6);
    const drawn = Array.from({ length: 4_000 }, () => floor.draws(1, 1_000)).filter((isDrawn) => isDrawn);
    expect(drawn.length / 4_000).toBeGreaterThan(0.13);
    expect(drawn.length / 4_000).toBeLessThan(0.17);
  });

  it('is less by what others of that rank get, and nothing if they get as much as the floor', () => {
    const floor = createFloor();
    note(floor, 0, 58, 60);
    note(floor, 1, 2, 40);
    expect(floor.drawnShare(1, 1_000)).toBeCloseTo((0.15 - 0.05) / 0.95);
    note(floor, 2, 20, 100);
    expect(floor.drawnShare(2, 1_000)).toBe(0);
  });

  it('is larger if some of the drawn requests are refused', () => {
    const floor = createFloor();
    note(floor, 0, 50, 60);
    note(floor, 1, 0, 20);
    note(floor, 1, 10, 20, true);
    expect(floor.drawnShare(1, 1_000)).toBeCloseTo((0.25 * 0.6) / 0.5);
  });

  it('does not exceed three tenths, however many of the drawn requests are refused', () => {
    const floor = createFloor();
    note(floor, 0, 99, 99);
    note(floor, 1, 0, 1);
    note(floor, 1, 0, 20, true);
    expect(floor.drawnShare(1, 1_000)).toBe(0.3);
  });

  it('is nothing before anything has been observed, for the most urgent rank, and once the overload is forgotten', () => {
    const floor = createFloor();
    expect(floor.drawnShare(1, 0)).toBe(0);
    note(floor, 0, 60, 60);
    note(floor, 1, 0, 40);
    expect(Array.from({ length: 100 }, () => floor.draws(0, 1_000))).not.toContain(true);
    expect(floor.drawnShare(1, FORGOTTEN)).toBe(0);
  });
});
