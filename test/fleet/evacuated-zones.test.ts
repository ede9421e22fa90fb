/** The order of changes to the evacuation of a zone, from the store and from peers. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { storeRevision } from '../../src/clients/store-revision.js';
import { EvacuatedZones } from '../../src/fleet/evacuated-zones.js';
import type { ZoneEvacuation } from '../../src/protocol/reports.js';

const change = (revision: number, isEvacuated: boolean, zone = 'zone-a'): ZoneEvacuation => ({
  zone,
  revision,
  isEvacuated,
});

describe('evacuated zones', () => {
  it('follow the change at the highest revision, in whichever order changes arrive', () => {
    const changes = fc.uniqueArray(
      fc.record({ revision: fc.integer({ min: 1, max: 50 }), isEvacuated: fc.boolean() }),
      { selector: ({ revision }) => revision, minLength: 1, maxLength: 8 },
    );
    fc.assert(
      fc.property(changes, (arriving) => {
        const zones = new EvacuatedZones();
        for (const { revision, isEvacuated } of arriving) zones.apply(change(revision, isEvacuated));
        const [latest] = [...arriving].sort((a, b) => b.revision - a.revision);
        expect(zones.has('zone-a')).toBe(latest.isEvacuated);
      }),
      { seed: 11, numRuns: 300 },
    );
  });

  it('change when a zone goes out of service and when it is taken back, and not in between', () => {
    const zones = new EvacuatedZones();
    expect(zones.apply(change(5, true))).toBe(true);
    expect(zones.apply(change(6, true))).toBe(false);
    expect(zones.apply(change(4, false))).toBe(false);
    expect(zones.apply(change(7, false))).toBe(true);
    expect(zones.evacuated()).toEqual([]);
    expect(zones.all()).toEqual([change(7, false)]);
  });

  it('take nothing from a peer that is older than a complete reading without the zone, and say so', () => {
    const zones = new EvacuatedZones();
    expect(zones.stateOf('zone-a')).toBeUndefined();
    zones.noteReading(12);
    expect(zones.stateOf('zone-a')).toEqual(change(12, false));
    expect(zones.apply(change(5, true))).toBe(false);
    expect(zones.has('zone-a')).toBe(false);
    expect(zones.all()).toEqual([change(12, false)]);
    expect(zones.apply(change(13, true))).toBe(true);
  });

  it('do not take a reading of a later era for the end of an evacuation of an earlier one', () => {
    const zones = new EvacuatedZones();
    zones.noteReading(storeRevision(1, 12)!);
    expect(zones.apply(change(storeRevision(0, 20)!, true))).toBe(false);
    expect(zones.all()).toEqual([]);
  });

  it('are bounded, and keep those that are out of service', () => {
    const zones = new EvacuatedZones();
    for (let revision = 1; revision <= 1_500; revision++)
      zones.apply(change(revision, revision <= 10, `zone-${revision}`));
    expect(zones.all()).toHaveLength(1_000);
    expect(zones.evacuated()).toHaveLength(10);
    expect(zones.all().at(-1)?.zone).toBe('zone-1500');
  });
});
