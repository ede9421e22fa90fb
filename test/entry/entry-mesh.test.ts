import { afterEach, describe, expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import type { Changes, TableService } from '../../src/clients/table-service.js';
import { AgentDirectory } from '../../src/entry/agent-directory.js';
import { Configuration } from '../../src/entry/configuration.js';
import { EntryDirectory } from '../../src/entry/entry-directory.js';
import { EntryMesh } from '../../src/entry/entry-mesh.js';
import { HybridClock } from '../../src/model/hybrid-clock.js';
import { seededRandom } from '../../src/model/random.js';
import { failure, success } from '../../src/model/result.js';
import { Timeline } from '../../src/observability/timeline.js';
import { ConnectionListener, createTrafficCounters } from '../../src/protocol/connection.js';
import type { AgentStatus } from '../../src/protocol/messages.js';
import type { ConfiguredEntry } from '../../src/systems/entry-topology.js';
import { peer, until } from '../support.js';

/** The store that all test entries read; counts the reads. */
const store = { down: false, reads: 0, changes: { revision: 1, rows: [] } as Changes };
const tables = {
  changes: async () => {
    store.reads++;
    if (store.down) return failure({ type: 'unavailable' as const, service: '', retryAfter: 1, reason: '' });
    return success(store.changes);
  },
} as unknown as TableService;

interface TestEntry {
  id: string;
  directory: AgentDirectory;
  entries: EntryDirectory;
  configuration: Configuration;
  mesh: EntryMesh;
  stop(): Promise<void>;
}

const running: TestEntry[] = [];

afterEach(async () => {
  for (const entry of running.splice(0)) await entry.stop();
  Object.assign(store, { down: false, reads: 0, changes: { revision: 1, rows: [] } });
});

async function startEntry(
  self: ConfiguredEntry,
  all: readonly ConfiguredEntry[],
  name: string,
): Promise<TestEntry> {
  const id = `${self.address}#${name}`;
  const clock = new HybridClock();
  const info = {
    id,
    address: self.address,
    callerAddress: '',
    place: 'p',
    zone: self.zone,
    leaving: false,
    sequence: 0,
  };
  const hello = () => {
    return {
      type: 'hello',
      role: 'entry',
      peer: { ...peer(id), address: self.address, zone: self.zone },
    } as const;
  };
  const context = { clock, counters: createTrafficCounters(), hello };
  const directory = new AgentDirectory();
  const entries = new EntryDirectory();
  const timeline = new Timeline(id, clock);
  const configuration = new Configuration({ tables, random: seededRandom(1), timeline });
  const others = all.filter((entry) => entry.address !== self.address);
  const mesh = new EntryMesh(others, { context, directory, entries, configuration, self: () => info });
  configuration.isReader = () => mesh.isFirstOfZone;
  const listener = new ConnectionListener(self.address, context, (connection) => mesh.accept(connection));
  await listener.start();
  await mesh.start();
  const stop = async () => {
    await mesh.stop();
    await listener.stop();
    await configuration.stop();
  };
  const entry = { id, directory, entries, configuration, mesh, stop };
  running.push(entry);
  return entry;
}

/** Starts two zones of two entries each, ordered by address within each zone. */
async function startZones(): Promise<{ all: ConfiguredEntry[]; started: TestEntry[] }> {
  const addresses = [await freeAddress(), await freeAddress(), await freeAddress(), await freeAddress()];
  const [a, b, c, d] = addresses.sort();
  const all = [a, b].map((address) => ({ address, zone: 'zone-a' }));
  all.push(...[c, d].map((address) => ({ address, zone: 'zone-b' })));
  const started: TestEntry[] = [];
  for (const entry of all) started.push(await startEntry(entry, all, '1'));
  await until(() => started.every(({ entries }) => entries.rows.size === 3), 'all entries known to all');
  return { all, started };
}

function status(name: string, sequence: number, overrides: Partial<AgentStatus> = {}): AgentStatus {
  const info = { ...peer(name), zone: 'zone-a' };
  return {
    sequence,
    info,
    operatorAddress: '',
    backEnd: 'engine',
    pool: 'p',
    leaving: false,
    versions: [],
    active: 0,
    capacity: 4,
    ownership: undefined,
    ...overrides,
  };
}

/** Simulates a status from an agent homed at `entry`. */
function reportStatus(entry: TestEntry, agentStatus: AgentStatus): void {
  entry.mesh.agentChanged(agentStatus);
}

/** Whether an entry knows the agent as homed at `home`. */
const isAgentAt = (home: TestEntry) => (entry: TestEntry) =>
  entry.directory.rows.get('agent')?.home === home.id;

const knows = (entry: TestEntry, id: string) => entry.directory.rows.has(id);

describe('EntryMesh', () => {
  it('has exactly one first entry per zone', async () => {
    const { started } = await startZones();
    expect(started.map(({ mesh }) => mesh.isFirstOfZone)).toEqual([true, false, true, false]);
  });

  it('publishes an agent to the entries of all zones, but its load only within its zone', async () => {
    const { started } = await startZones();
    reportStatus(started[1], status('agent', 1));
    await until(() => started.every((entry) => knows(entry, 'agent')), 'the agent known to all');
    reportStatus(started[1], status('agent', 2, { active: 3 }));
    await until(() => started[0].directory.rows.get('agent')?.status.active === 3, 'its load');
    expect(started.slice(2).map(({ directory }) => directory.rows.get('agent')?.status.active)).toEqual([
      0, 0,
    ]);
    reportStatus(started[1], status('agent', 3, { active: 3, leaving: true }));
    await until(
      () => started.every(({ directory }) => directory.rows.get('agent')?.status.leaving),
      'it is leaving',
    );
  });

  it('publishes no load to other zones, where it would never be updated', async () => {
    const { started } = await startZones();
    reportStatus(started[1], status('agent', 1, { active: 4 }));
    await until(() => started.every((entry) => knows(entry, 'agent')), 'the agent known to all');
    reportStatus(started[1], status('agent', 2, { active: 5, leaving: true }));
    await until(
      () => started.every(({ directory }) => directory.rows.get('agent')?.status.leaving),
      'it is leaving',
    );
    expect(started.slice(2).map(({ directory }) => directory.rows.get('agent')?.status.active)).toEqual([
      0, 0,
    ]);
  });

  it('removes a lost agent from all entries', async () => {
    const { started } = await startZones();
    reportStatus(started[1], status('agent', 1));
    await until(() => started.every((entry) => knows(entry, 'agent')), 'the agent known to all');
    started[1].mesh.agentGone('agent');
    await until(() => started.every((entry) => !knows(entry, 'agent')), 'the agent gone from all');
  });

  it('does not remove an agent that has meanwhile sent a status to another home', async () => {
    const { started } = await startZones();
    reportStatus(started[1], status('agent', 1));
    await until(() => started.every((entry) => knows(entry, 'agent')), 'the agent known to all');
    reportStatus(started[0], status('agent', 2));
    started[1].mesh.agentGone('agent');
    reportStatus(started[1], status('marker', 1));
    await until(() => started.every((entry) => knows(entry, 'marker')), 'the marker, which follows the loss');
    // Updates from two homes arrive over different links, in either order.
    await until(() => started.every(isAgentAt(started[0])), 'the agent at its next home');
  });

  it('never drops an agent, even briefly, that is known at another home when its former home loses it', async () => {
    const { started } = await startZones();
    reportStatus(started[1], status('agent', 1));
    await until(() => started.every((entry) => knows(entry, 'agent')), 'the agent known to all');
    reportStatus(started[0], status('agent', 2));
    await until(() => started.every(isAgentAt(started[0])), 'the agent at its next home');
    let losses = 0;
    for (const entry of started)
      entry.directory.listen(() => {
        if (!knows(entry, 'agent')) losses++;
      });
    started[1].mesh.agentGone('agent');
    reportStatus(started[1], status('marker', 1));
    await until(() => started.every((entry) => knows(entry, 'marker')), 'the marker, which follows the loss');
    expect(losses).toBe(0);
  });

  it('replaces the links of an entry that stops', async () => {
    const { started } = await startZones();
    await started[0].stop();
    await until(() => started[1].mesh.isFirstOfZone, 'the next entry as the first of its zone');
    reportStatus(started[1], status('agent', 1));
    await until(
      () => knows(started[2], 'agent') && knows(started[3], 'agent'),
      'the agent in the other zone',
    );
    await until(
      () => started.slice(1).every(({ entries }) => entries.rows.size === 2),
      'the loss of the entry',
    );
  });

  it('distributes rows read by one entry to all entries without further reads', async () => {
    const { started } = await startZones();
    store.changes = { revision: 7, rows: [{ table: 'resources', key: 'k', value: 1, revision: 7 }] };
    await started[1].configuration.poll();
    await until(
      () => started.every(({ configuration }) => configuration.revision === 7),
      'the revision everywhere',
    );
    expect(started.every(({ configuration }) => configuration.row('resources', 'k') !== undefined)).toBe(
      true,
    );
    expect(store.reads).toBe(1);
  });

  it('gives a restarted entry the configuration and all agents while the store is down', async () => {
    const { all, started } = await startZones();
    store.changes = { revision: 7, rows: [{ table: 'resources', key: 'k', value: 1, revision: 7 }] };
    await started[1].configuration.poll();
    reportStatus(started[1], status('agent', 1));
    await until(() => started.every((entry) => knows(entry, 'agent')), 'the agent known to all');
    store.down = true;
    await started[3].stop();
    const replaced = await startEntry(all[3], all, '2');
    await until(
      () => replaced.configuration.revision === 7 && knows(replaced, 'agent'),
      'the configuration and agent at the restarted entry',
    );
    expect(replaced.configuration.row('resources', 'k')).toBeDefined();
  });
});
