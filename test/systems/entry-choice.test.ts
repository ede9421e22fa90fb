/** Tests which entries the directory names to callers of a zone. */
import { describe, expect, it } from 'vitest';
import { entriesFor, type Location } from '../../src/systems/entry-choice.js';

const REGIONS: Record<string, string> = { 'a-1': 'a', 'a-2': 'a', b: 'b', c: 'c' };

interface NamedEntry extends Location {
  name: string;
}

/** Entries named for their zones. */
const entries = (...zones: string[]): NamedEntry[] =>
  zones.map((zone, index) => ({ name: `${zone}.${index}`, zone, region: REGIONS[zone] }));
const callerOf = (zone: string): Location => ({ zone, region: REGIONS[zone] });
const zonesOf = (chosen: readonly Location[]) => chosen.map(({ zone }) => zone);

describe('a caller', () => {
  it('gets entries of its zone if there are at least two', () => {
    expect(zonesOf(entriesFor(callerOf('a-1'), entries('a-1', 'a-2', 'a-1', 'b')))).toEqual(['a-1', 'a-1']);
  });

  it('gets entries of its region if there are at least two, but not in its zone', () => {
    expect(zonesOf(entriesFor(callerOf('a-1'), entries('a-1', 'a-2', 'b')))).toEqual(['a-1', 'a-2']);
  });

  it('gets all entries if its region has fewer than two', () => {
    expect(zonesOf(entriesFor(callerOf('b'), entries('a-1', 'b', 'c')))).toEqual(['a-1', 'b', 'c']);
  });

  it('gets no more entries than an answer may hold', () => {
    expect(entriesFor(callerOf('b'), entries(...Array<string>(100).fill('b')))).toHaveLength(64);
  });
});
