/** Tests the distribution tree of a version in a zone: no entry's link carries a copy for each other entry. */
import { describe, expect, it } from 'vitest';
import { holdsCopy, parentOf } from '../../src/systems/copy-spread.js';
import { isDrawn } from '../../src/systems/origin-draw.js';

const ENTRIES = 20;
const PLACES = Array.from({ length: ENTRIES }, (_, place) => place);

function depthOf(place: number): number {
  const parent = parentOf(place);
  return parent === undefined ? 0 : 1 + depthOf(parent);
}

describe('the distribution of a version over the entries of a zone', () => {
  it('sends at most three copies over each link, and reaches 20 entries in three steps', () => {
    for (const place of PLACES)
      expect(PLACES.filter((other) => parentOf(other) === place).length).toBeLessThanOrEqual(3);
    expect(Math.max(...PLACES.map(depthOf))).toBe(3);
    expect(PLACES.filter((place) => parentOf(place) === undefined)).toEqual([0]);
  });

  it('keeps copies at as many entries as the engines need, plus two', () => {
    expect(PLACES.filter((place) => holdsCopy(place, 28))).toHaveLength(12);
    expect(PLACES.filter((place) => holdsCopy(place, 3))).toHaveLength(3);
    expect(holdsCopy(0, 0)).toBe(true);
  });

  it('fetches a piece from the origin if no other process has it, or if those reported to have it do not deliver', () => {
    expect(isDrawn(false, 0, 9)).toBe(true);
    expect([0, 1, 2].map((place) => isDrawn(true, 500, place))).toEqual([false, false, false]);
    expect([0, 1, 2].map((place) => isDrawn(true, 1_500, place))).toEqual([true, true, false]);
    expect(isDrawn(true, 60_000, 4)).toBe(false);
  });
});
