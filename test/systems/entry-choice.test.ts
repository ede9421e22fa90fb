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

describe('where routes or tenants name regions, a caller', () => {
  const lists = (...named: string[][]) => named.map((regions) => new Set(regions));

  it('gets only the entries of its region, be it one, as others are in no region of its requests', () => {
    expect(zonesOf(entriesFor(callerOf('b'), entries('a-1', 'a-1', 'b', 'c'), lists(['a'])))).toEqual(['b']);
  });

  it('gets entries of its zone before others of its region', () => {
    const ready = entries('a-1', 'a-2', 'a-1', 'a-2', 'b');
    expect(zonesOf(entriesFor(callerOf('a-2'), ready, lists(['b'])))).toEqual(['a-2', 'a-2']);
  });

  it('gets entries of the regions that all of them allow if its own region has none', () => {
    const chosen = entriesFor(callerOf('b'), entries('a-1', 'c', 'a-2', 'c'), lists(['a', 'c'], ['c']));
    expect(zonesOf(chosen)).toEqual(['c', 'c']);
  });

  it('gets entries of the regions that most of them allow if no region is allowed by all', () => {
    const chosen = entriesFor(callerOf('b'), entries('a-1', 'c'), lists(['a'], ['a', 'b'], ['c']));
    expect(zonesOf(chosen)).toEqual(['a-1']);
  });

  it('gets all entries if the allowed regions have none', () => {
    const chosen = entriesFor(callerOf('b'), entries('a-1', 'c'), lists(['b']));
    expect(zonesOf(chosen)).toEqual(['a-1', 'c']);
  });
});
