/** Which of two versions named in close succession gets the origin's link. */
import { describe, expect, it } from 'vitest';
import { drawPlan } from '../../src/systems/origin-draw.js';
import {
  type Precedence,
  servesInBetween,
  waitsForPredecessor,
} from '../../src/systems/version-succession.js';

describe('a version whose predecessor is incomplete', () => {
  const precedence: Precedence = {
    undrawn: 9,
    expiresIn: 4_000,
    sincePredecessorPiece: 6_600,
    sinceStart: 100,
  };

  it('leaves the origin to it, also when the origin has just come back after a long time', () => {
    expect(waitsForPredecessor(precedence)).toBe(true);
    expect(waitsForPredecessor({ ...precedence, sinceStart: 5_000, sincePredecessorPiece: 40 })).toBe(true);
  });

  it('draws as soon as all its pieces are held or in flight', () => {
    expect(waitsForPredecessor({ ...precedence, undrawn: 0 })).toBe(false);
  });

  it('draws if nobody draws the predecessor, or if it expires before an engine could use it', () => {
    expect(waitsForPredecessor({ ...precedence, sinceStart: 1_500 })).toBe(false);
    expect(waitsForPredecessor({ ...precedence, expiresIn: 500 })).toBe(false);
    expect(waitsForPredecessor({ ...precedence, expiresIn: Number.NEGATIVE_INFINITY })).toBe(false);
  });
});

describe('an engine that may start no request on what it holds', () => {
  it('loads a complete version while the newest one is not in sight', () => {
    const alternatives = { completesIn: 0, expiresIn: 3_000, newestCompletesIn: Number.POSITIVE_INFINITY };
    expect(servesInBetween(alternatives)).toBe(true);
    expect(servesInBetween({ ...alternatives, newestCompletesIn: 3_200 })).toBe(true);
  });

  it('waits for the newest one if that is as soon complete, or the older one expires by then', () => {
    const alternatives = { completesIn: 400, expiresIn: 3_000, newestCompletesIn: 900 };
    expect(servesInBetween(alternatives)).toBe(false);
    expect(servesInBetween({ ...alternatives, expiresIn: 500, newestCompletesIn: 5_000 })).toBe(false);
    const never = Number.POSITIVE_INFINITY;
    expect(servesInBetween({ completesIn: never, expiresIn: 3_000, newestCompletesIn: never })).toBe(false);
  });
});

describe('entries that draw the last pieces of a version', () => {
  it('begin at different ones', () => {
    const situation = { isServed: false, isDrawnElsewhere: false };
    const firsts = [0, 1, 2, 3].map((place) => drawPlan({ ...situation, place }).firstOf(8));
    expect(new Set(firsts).size).toBe(4);
  });
});
