/** Complete readings of the operator's table that lack the row of an evacuated zone. */
import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { storeRevision } from '../../src/clients/store-revision.js';
import { EvacuationReadings } from '../../src/fleet/evacuation-readings.js';
import { FleetView } from '../../src/fleet/fleet-view.js';
import { silentLog } from '../../src/observability/log.js';

/** Longer than a zone is held out of service, in milliseconds. */
const LONG = 15_000;
const NONE: ReadonlySet<string> = new Set();

let fleet: FleetView;
let readings: EvacuationReadings;

const at = (era: number, version: number) => storeRevision(era, version)!;
const evacuate = (revision: number) =>
  fleet.applyEvacuation({ zone: 'zone-a', revision, isEvacuated: true }, 'store');
const isEvacuated = () => fleet.evacuations.has('zone-a');

beforeEach(() => {
  vi.useFakeTimers();
  fleet = new FleetView();
  readings = new EvacuationReadings(fleet, silentLog);
});

afterEach(() => {
  readings.stop();
  vi.useRealTimers();
});

it('a zone whose row is missing is taken back, unless a later change is known', () => {
  evacuate(at(0, 5));
  readings.apply(NONE, at(0, 4));
  expect(isEvacuated()).toBe(true);
  readings.apply(new Set(['zone-a']), at(0, 6));
  expect(isEvacuated()).toBe(true);
  readings.apply(NONE, at(0, 7));
  expect(isEvacuated()).toBe(false);
});

it('a zone that is missing from an older copy is taken back only after a hold', () => {
  evacuate(at(0, 5));
  readings.apply(NONE, at(1, 3));
  expect(isEvacuated()).toBe(true);
  vi.advanceTimersByTime(LONG);
  expect(isEvacuated()).toBe(false);
});

it('a zone that is evacuated anew during the hold stays so', () => {
  evacuate(at(0, 5));
  readings.apply(NONE, at(1, 3));
  evacuate(at(1, 4));
  vi.advanceTimersByTime(LONG);
  expect(isEvacuated()).toBe(true);
});
