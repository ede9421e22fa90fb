import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  type ConfiguredEntry,
  entriesToDial,
  isRelay,
  lowestOfEachZone,
} from '../../src/systems/entry-topology.js';

function entry(address: string, zone: string): ConfiguredEntry {
  return { address, zone };
}
const ALL = [
  entry('a1', 'a'),
  entry('a2', 'a'),
  entry('b1', 'b'),
  entry('b2', 'b'),
  entry('c1', 'c'),
  entry('c2', 'c'),
];

function dialled(
  self: ConfiguredEntry,
  connected: ConfiguredEntry[] = [],
  unreachable: string[] = [],
): string[] {
  const configured = ALL.filter((other) => other !== self);
  const view = { self, configured, connected, unreachable: new Set(unreachable) };
  return entriesToDial(view).map(({ address }) => address);
}

describe('the topology of entries', () => {
  it('lets the relay dial its zone, and one entry of each later zone', () => {
    expect(dialled(ALL[0])).toEqual(['a2', 'b1', 'c1']);
    expect(dialled(ALL[2])).toEqual(['b2', 'c1']);
  });

  it('lets an entry that is not the relay dial nobody outside its zone', () => {
    expect(dialled(ALL[1], [ALL[0]])).toEqual([]);
  });

  it('makes the next entry the relay when the lowest is gone', () => {
    expect(isRelay(ALL[1], [ALL[0]])).toBe(false);
    expect(isRelay(ALL[1], [ALL[2]])).toBe(true);
    expect(dialled(ALL[1])).toEqual(['b1', 'c1']);
  });

  it('passes over an entry that takes no connection', () => {
    expect(dialled(ALL[0], [ALL[1]], ['b1'])).toEqual(['b2', 'c1']);
  });

  it('names the lowest entry of each zone that is not leaving', () => {
    const entries = ALL.map((row) => ({ ...row, leaving: row.address === 'b1' }));
    expect(lowestOfEachZone(entries).map(({ address }) => address)).toEqual(['a1', 'b2', 'c1']);
  });

  it('connects all entries, whichever of them live', () => {
    const property = fc.property(fc.subarray(ALL, { minLength: 1 }), (live) => {
      const links = new Map(live.map((row) => [row, new Set<ConfiguredEntry>()]));
      for (let round = 0; round < 8; round++) {
        for (const self of live) {
          const connected = [...links.get(self)!];
          const dead = ALL.filter((row) => !live.includes(row)).map(({ address }) => address);
          const configured = ALL.filter((other) => other !== self);
          for (const target of entriesToDial({ self, configured, connected, unreachable: new Set(dead) })) {
            const other = live.find((row) => row.address === target.address);
            if (other === undefined) continue;
            links.get(self)!.add(other);
            links.get(other)!.add(self);
          }
        }
      }
      const reached = new Set([live[0]]);
      for (const row of reached) for (const other of links.get(row)!) reached.add(other);
      expect(reached.size).toBe(live.length);
    });
    fc.assert(property, { seed: 1, numRuns: 63 });
  });
});
