import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  type ConfiguredEntry,
  entriesToDial,
  isFirstOfZone,
  isLinkedTo,
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
  knowsOwnZone = true,
): string[] {
  const configured = ALL.filter((other) => other !== self);
  const view = { self, configured, connected, unreachable: new Set(unreachable), knowsOwnZone };
  return entriesToDial(view).map(({ address }) => address);
}

describe('the topology of entries', () => {
  it('has an entry dial its own zone, and the later zones to which it maintains the link', () => {
    const zones = (address: string, live: ConfiguredEntry[]) => {
      const self = ALL.find((row) => row.address === address)!;
      return dialled(self, live).map((target) => ALL.find((row) => row.address === target)!.zone);
    };
    const first = zones('a1', [ALL[1]]);
    const second = zones('a2', [ALL[0]]);
    expect([...first, ...second].filter((zone) => zone !== 'a').sort()).toEqual(['b', 'c']);
  });

  it('dials no other zone while entries of the own zone may not be connected yet', () => {
    expect(dialled(ALL[0], [], [], false)).toEqual(['a2']);
  });

  it('considers the connected entry with the lowest address the first of its zone', () => {
    expect(isFirstOfZone(ALL[1], [ALL[0]])).toBe(false);
    expect(isFirstOfZone(ALL[1], [ALL[2]])).toBe(true);
  });

  it('links the only entry of a zone to every later zone', () => {
    expect(isLinkedTo('b', ALL[1], [])).toBe(true);
    expect(dialled(ALL[1]).length).toBe(2);
  });

  it('skips an entry that does not accept connections', () => {
    const [target] = dialled(ALL[0], [ALL[4]], []).filter((address) => address.startsWith('b'));
    const other = target === 'b1' ? 'b2' : 'b1';
    expect(dialled(ALL[0], [ALL[4]], [target])).toContain(other);
  });

  it('spreads the links of a large zone over its entries', () => {
    const entries = Array.from({ length: 13 }, (_, index) => entry(`10.0.0.${index}:1`, 'a'));
    const zones = Array.from({ length: 29 }, (_, index) => `zone-${index}`);
    const counts = entries.map((self) => {
      const live = entries.filter((other) => other !== self);
      return zones.filter((zone) => isLinkedTo(zone, self, live)).length;
    });
    expect(counts.reduce((sum, count) => sum + count)).toBe(29);
    expect(Math.max(...counts)).toBeLessThanOrEqual(6);
  });

  it('selects the lowest entry of each zone that is not leaving', () => {
    const entries = ALL.map((row) => ({ ...row, leaving: row.address === 'b1' }));
    expect(lowestOfEachZone(entries).map(({ address }) => address)).toEqual(['a1', 'b2', 'c1']);
  });

  it('connects all live entries, whichever of them are live', () => {
    const property = fc.property(fc.subarray(ALL, { minLength: 1 }), (live) => {
      const links = new Map(live.map((row) => [row, new Set<ConfiguredEntry>()]));
      for (let round = 0; round < 8; round++) {
        for (const self of live) {
          const connected = [...links.get(self)!];
          const dead = ALL.filter((row) => !live.includes(row)).map(({ address }) => address);
          const configured = ALL.filter((other) => other !== self);
          const view = { self, configured, connected, unreachable: new Set(dead), knowsOwnZone: true };
          for (const target of entriesToDial(view)) {
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
