/** Guards against promising the same spare capacity to several engines that switch at the same time. */
import { expect, it } from 'vitest';
import { FleetView } from '../../src/fleet/fleet-view.js';
import { BackEndTable } from '../../src/forwarding/back-end-table.js';
import type { EngineAgentRow } from '../../src/peers/engine-agents.js';
import type { EngineReport } from '../../src/protocol/reports.js';
import { WeightsPlanner } from '../../src/roles/weights-planner.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from '../forwarding/engine-configuration.js';

const SLOTS = 16;
/** Requests at each engine that switches. */
const LOAD = 8;
const ZONES = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];

/**
 * A planner for four engines, one per zone in the order of {@link ZONES}, of which all but the last have
 * given notice.
 */
function plannerOfFour(): { fleet: FleetView; planner: WeightsPlanner; rows: EngineAgentRow[] } {
  const fleet = new FleetView();
  const backEnds = new BackEndTable();
  fleet.listen({ onBackEnds: (changes) => backEnds.apply(changes) });
  fleet.applyConfiguration({ document: Buffer.from(''), configuration: ENGINE_CONFIGURATION });
  const layers = { from: 0, end: ENGINE_LAYERS, version: 1 };
  const records = ZONES.map((zone, index) => ({
    id: `engine-${index}`,
    service: 'engines',
    address: `127.0.0.1:${index + 1}`,
    zone,
    slots: SLOTS,
    leaving: false,
    layers,
    revision: 1,
  }));
  fleet.applyBackEndList({ revision: 1, records }, 'peer');
  for (const [index, { address }] of records.entries()) {
    const isSwitching = index < ZONES.length - 1;
    backEnds.applyReport(address, {
      version: 1,
      isReached: true,
      isSwitching,
      slotAddress: '',
      load: isSwitching ? LOAD : 0,
      reportedAt: performance.now(),
      switchAt: Number.POSITIVE_INFINITY,
    });
  }
  const planner = new WeightsPlanner({
    fleet,
    backEnds,
    versionBound: 8_000,
    isOutOfService: ({ record }) => record.leaving,
    wanted: () => [{ model: 'm', version: 2 }],
    entries: () => [],
  });
  const rows = records.map(({ address, zone }) => {
    const remote = { peer: { id: address, address, place: '', region: '', zone } };
    const connection = { remote } as unknown as EngineAgentRow['connection'];
    return { connection, address, report: { address } as EngineReport, reportedAt: 0 };
  });
  return { fleet, planner, rows };
}

it('a plan tells what the service of the engine declares of its pace', () => {
  const { planner, rows } = plannerOfFour();
  const declared = ENGINE_CONFIGURATION.services.find(({ engine }) => engine !== undefined)?.engine;
  expect(declared?.readTokensPerSecond).toBeGreaterThan(0);
  expect(planner.planFor(rows[0]).declaredPace).toEqual({
    readTokensPerSecond: declared?.readTokensPerSecond,
    tokenTime: declared?.tokenTime,
  });
  // Nothing is known of an engine that is not listed.
  const unlisted = { ...rows[0], report: { ...rows[0].report, address: '127.0.0.1:99' } as EngineReport };
  expect(planner.planFor(unlisted).declaredPace).toBeUndefined();
});

it('the same spare capacity is not promised to several engines that switch at the same time', () => {
  const { planner, rows } = plannerOfFour();
  const plans = rows.map((row) => planner.planFor(row));
  // The first engine of each zone switches in the first wave.
  expect(plans.map(({ position }) => position)).toEqual([0, 0, 0, 0]);
  const dropped = plans.slice(0, -1).filter((plan) => plan.canMoveRequests).length * LOAD;
  expect(dropped).toBeLessThanOrEqual(SLOTS);
});

it('an agent is told whether its zone is evacuated, as far as the entry knows', () => {
  const { fleet, planner, rows } = plannerOfFour();
  const toldTo = (index: number) => planner.planFor(rows[index]).evacuation;
  expect(toldTo(0)).toBeUndefined();
  fleet.evacuations.noteReading(4);
  const evacuation = { zone: ZONES[1], revision: 5, isEvacuated: true };
  fleet.applyEvacuation(evacuation, 'store');
  expect(toldTo(0)).toEqual({ zone: ZONES[0], revision: 4, isEvacuated: false });
  expect(toldTo(1)).toEqual(evacuation);
});
