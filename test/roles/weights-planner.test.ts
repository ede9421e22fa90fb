/** Tests what entries tell agents about how their engines warm up, and about the engines of their zone. */
import { describe, expect, it } from 'vitest';
import { FleetView } from '../../src/fleet/fleet-view.js';
import { BackEndTable } from '../../src/forwarding/back-end-table.js';
import type { EngineAgentRow } from '../../src/peers/engine-agents.js';
import type { EngineReport } from '../../src/protocol/reports.js';
import { WeightsPlanner } from '../../src/roles/weights-planner.js';
import { ENGINE_CONFIGURATION } from '../forwarding/engine-configuration.js';

const WARM_UP = { rate: 15, time: 3_000 };
const [ENGINES] = ENGINE_CONFIGURATION.services;

/** What the entry of the latest planner knows. */
let fleet: FleetView;

function agentOf(address: string): EngineAgentRow {
  return {
    address: 'agent',
    connection: { remote: { peer: { zone: 'zone-a' } } } as EngineAgentRow['connection'],
    report: { address } as EngineReport,
    reportedAt: 0,
  };
}

/** A planner of an entry that lists an engine of the service `engines` at `listed`. */
function plannerOf(services: typeof ENGINE_CONFIGURATION.services | undefined): WeightsPlanner {
  fleet = new FleetView();
  const backEnds = new BackEndTable();
  fleet.listen({ onBackEnds: (changes) => backEnds.apply(changes) });
  const record = { service: 'engines', address: 'listed', zone: 'zone-a', slots: 4, leaving: false };
  fleet.applyBackEndList(
    { revision: 1, records: [{ ...record, id: 'e', layers: undefined, revision: 1 }] },
    'peer',
  );
  if (services !== undefined)
    fleet.applyConfiguration({
      document: Buffer.from(''),
      configuration: { ...ENGINE_CONFIGURATION, services },
    });
  return new WeightsPlanner({
    fleet,
    backEnds,
    versionBound: 8_000,
    isOutOfService: () => false,
    wanted: () => [],
    entries: () => [],
  });
}

describe('a plan names how an engine warms up', () => {
  const others = { ...ENGINES, name: 'others' };

  it('as its service declares it, or the first service of engines while it is not listed', () => {
    const planner = plannerOf([others, { ...ENGINES, warmUp: WARM_UP }]);
    expect(planner.planFor(agentOf('listed')).warmUp).toEqual(WARM_UP);
    expect(planner.planFor(agentOf('unlisted')).warmUp).toEqual({ rate: 0, time: 0 });
    const first = plannerOf([{ ...others, warmUp: WARM_UP }, ENGINES]);
    expect(first.planFor(agentOf('unlisted')).warmUp).toEqual(WARM_UP);
    expect(first.planFor(agentOf('listed')).warmUp).toEqual({ rate: 0, time: 0 });
  });

  it('not at all as long as the entry has no configuration', () => {
    expect(plannerOf(undefined).planFor(agentOf('listed')).warmUp).toBeUndefined();
  });
});

it('a plan names the place of its engine among those of the zone that hold a version', () => {
  const planner = plannerOf([ENGINES]);
  expect(planner.planFor(agentOf('listed'))).toMatchObject({ position: 0, engines: 0 });
  const record = { service: 'engines', slots: 4, leaving: false, layers: { from: 0, end: 1, version: 1 } };
  const listOf = (address: string, zone: string) =>
    ({ type: 'changed', record: { ...record, id: address, start: 1, address, zone, revision: 2 } }) as const;
  fleet.applyBackEndChanges([listOf('a', 'zone-a'), listOf('b', 'zone-a'), listOf('c', 'zone-b')], 2);
  expect(planner.planFor(agentOf('b'))).toMatchObject({ position: 1, engines: 2 });
});
