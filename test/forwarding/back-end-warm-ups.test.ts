/** Tests for how long an entry takes a back end to be cold. */
import { beforeEach, describe, expect, it, vi } from 'vitest';
import { FleetView } from '../../src/fleet/fleet-view.js';
import { BackEndLimits } from '../../src/forwarding/back-end-limits.js';
import { BackEndWarmUps } from '../../src/forwarding/back-end-warm-ups.js';
import { silentLog } from '../../src/observability/log.js';
import { Metrics } from '../../src/observability/metrics.js';
import type { BackEndRecord } from '../../src/protocol/back-end-list-state.js';
import { billingConfiguration } from './routes.js';

const ID = 'b1';
const START = 100;
const RATE = 15;
const TIME = 3_000;
const WARM_UP = { rate: RATE, time: TIME };

let fleet: FleetView;
let warmUps: BackEndWarmUps;
let limits: BackEndLimits;
let wasLost: boolean;

function declare(warmUp: typeof WARM_UP | undefined): void {
  const configuration = billingConfiguration();
  const [service] = configuration.services;
  fleet.applyConfiguration({
    document: Buffer.from(''),
    configuration: {
      ...configuration,
      revision: fleet.configurationRevision + 1,
      services: [{ ...service, warmUp }],
    },
  });
}

function list(revision: number, changes: Partial<BackEndRecord> = {}): void {
  const record = { service: 'billing', address: '10.0.0.1:1', zone: 'z', slots: 4, leaving: false };
  fleet.applyBackEndChanges(
    [
      {
        type: 'changed',
        record: { id: ID, start: START, ...record, layers: undefined, revision, ...changes },
      },
    ],
    revision,
  );
}

/** Time from now for which the back end stays cold, in milliseconds; 0 if it is warm. */
const coldFor = (start = START) => warmUps.stateOf({ id: ID, start }, performance.now())?.left ?? 0;
const rate = (start = START) => limits.rateOf({ id: ID, start });

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance'] });
  vi.advanceTimersByTime(10_000);
  fleet = new FleetView();
  wasLost = false;
  const metrics = new Metrics('test');
  warmUps = new BackEndWarmUps({
    fleet,
    healthOf: () => ({ suspendedAt: 0, wasSuspendedWithin: () => wasLost }),
    log: silentLog,
    metrics,
  });
  limits = new BackEndLimits(silentLog, metrics, warmUps);
  declare(WARM_UP);
  return () => vi.useRealTimers();
});

describe('a back end', () => {
  it('is warm if it was there from the beginning, and has no limit', () => {
    list(1, { coldLeft: 0 });
    expect([coldFor(), rate()]).toEqual([0, undefined]);
  });

  it('is cold for as long as its record says, and its service declares the rate', () => {
    list(1, { coldLeft: 1_200 });
    expect([coldFor(), rate()]).toEqual([1_200, RATE]);
    vi.advanceTimersByTime(1_199);
    expect(coldFor()).toBe(1);
    vi.advanceTimersByTime(1);
    expect([coldFor(), rate()]).toEqual([0, undefined]);
  });

  it('counts as cold for some time after its zone is taken back, as its record may be late', () => {
    list(1, { zone: 'zone-a', coldLeft: 0 });
    fleet.applyEvacuation({ zone: 'zone-a', revision: 2, isEvacuated: true }, 'store');
    fleet.applyEvacuation({ zone: 'zone-b', revision: 3, isEvacuated: true }, 'store');
    fleet.applyEvacuation({ zone: 'zone-b', revision: 4, isEvacuated: false }, 'store');
    expect([coldFor(), rate()]).toEqual([0, undefined]);
    fleet.applyEvacuation({ zone: 'zone-a', revision: 5, isEvacuated: false }, 'store');
    expect(coldFor()).toBeGreaterThan(1_000);
    expect(rate()).toBe(RATE);
    vi.advanceTimersByTime(3_000);
    expect([coldFor(), rate()]).toEqual([0, undefined]);
  });

  it('is not cold for longer as its record becomes known again with something else of it', () => {
    list(1, { coldLeft: 1_200 });
    vi.advanceTimersByTime(1_000);
    fleet.applyLeaving({ id: ID, start: START });
    expect(coldFor()).toBe(200);
  });

  it('becomes cold again if a later record says so, though it has not started anew', () => {
    list(1, { coldLeft: 0 });
    list(2, { coldLeft: 2_000 });
    expect(coldFor()).toBe(2_000);
    list(3, { coldLeft: 500 });
    expect(coldFor()).toBe(2_000);
  });

  it('is cold for the declared time from a start that is seen, whatever its former record says', () => {
    list(1, { coldLeft: 0 });
    fleet.applyReportedStart({ id: ID, start: START + 1 }, START);
    expect(coldFor(START + 1)).toBe(TIME);
    expect(coldFor(START)).toBe(0);
  });

  it('is cold for as long as its agent reports; a report of a former start says nothing', () => {
    list(1, { coldLeft: 0 });
    warmUps.noteReported({ id: ID, start: START - 1 }, 2_000, performance.now());
    expect(coldFor()).toBe(0);
    warmUps.noteReported({ id: ID, start: START }, 2_000, performance.now());
    expect(coldFor()).toBe(2_000);
  });

  it('stays cold while its record is away', () => {
    list(1, { coldLeft: 2_000 });
    fleet.applyBackEndChanges([{ type: 'gone', id: ID, revision: 2 }], 2);
    list(3, { coldLeft: 0 });
    expect(coldFor()).toBe(2_000);
  });

  it('counts as cold where it is called directly after it did not answer, and its agent is not told so', () => {
    list(1, { coldLeft: 0 });
    wasLost = true;
    expect([coldFor(), rate()]).toEqual([0, RATE]);
  });

  it('is limited to the lower one of what it bears and what it names', () => {
    list(1, { coldLeft: 2_000 });
    const named = (value: number) => limits.restore({ id: ID, start: START }, value, performance.now());
    named(4);
    expect([rate(), limits.namedRateOf({ id: ID, start: START })]).toEqual([4, 4]);
    named(40);
    expect([rate(), limits.namedRateOf({ id: ID, start: START })]).toEqual([RATE, 40]);
  });

  it('is never limited if its service declares nothing', () => {
    declare(undefined);
    list(1, { coldLeft: 2_000 });
    fleet.applyReportedStart({ id: ID, start: START + 1 }, START);
    wasLost = true;
    expect([coldFor(START + 1), rate(START + 1)]).toEqual([0, undefined]);
  });
});
