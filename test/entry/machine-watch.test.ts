import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { MachineList } from '../../src/clients/machine-list.js';
import { AgentDirectory } from '../../src/entry/agent-directory.js';
import { MachineWatch } from '../../src/entry/machine-watch.js';
import { failure, success } from '../../src/model/result.js';
import type { AgentStatus } from '../../src/protocol/messages.js';
import { peer } from '../support.js';

/** The platform's machine list; undefined while it does not answer. */
let listed: string[] | undefined;
const list: MachineList = {
  machines: async () => {
    if (listed === undefined)
      return failure({ type: 'unavailable', service: 'machines', retryAfter: 1, reason: '' });
    return success(listed.map((address) => ({ address, state: 'live' as const })));
  },
};

beforeEach(() => vi.useFakeTimers({ toFake: ['performance'] }));
afterEach(() => vi.useRealTimers());

/** A watch that has seen machine `a` in one list and missed it in the next, 2.5 s later. */
async function watchOfMissingMachine(): Promise<MachineWatch> {
  const watch = new MachineWatch(list, new AgentDirectory());
  listed = ['a'];
  await watch.findDead(['a']);
  vi.advanceTimersByTime(2_500);
  listed = [];
  await watch.findDead(['a']);
  return watch;
}

describe('MachineWatch', () => {
  it.each([
    ['a machine that is listed', ['a'], ['a'], 60_000, false],
    ['a machine that was listed and has been missing briefly', ['a'], [], 9_000, false],
    ['a machine that was listed and has been missing for long', ['a'], [], 12_500, true],
    ['a machine that the lagging list may not contain yet', [], [], 30_000, false],
    ['a machine that was never listed', [], [], 63_000, true],
    ['a machine while the list does not answer', ['a'], undefined, 60_000, false],
  ])('tells whether %s is dead', async (_, first, then, waited, gone) => {
    const watch = new MachineWatch(list, new AgentDirectory());
    listed = first;
    await watch.findDead(['a']);
    listed = then;
    for (let time = 0; time < waited; time += 500) {
      vi.advanceTimersByTime(500);
      await watch.findDead(['a']);
    }
    expect((await watch.findDead(['a'])).has('a')).toBe(gone);
  });

  it('counts the absence of each machine from the read of the list, whichever query triggered the read', async () => {
    const watch = new MachineWatch(list, new AgentDirectory());
    listed = ['a', 'b'];
    await watch.findDead(['a', 'b']);
    listed = [];
    for (let time = 0; time < 14_000; time += 500) {
      vi.advanceTimersByTime(500);
      await watch.findDead(['a']);
      await watch.findDead(['b']);
    }
    expect(await watch.findDead(['b'])).toEqual(new Set(['b']));
  });

  // One list that lacked the machine says nothing about the time after it.
  it('does not take a machine for dead that one list lacked before the list stopped answering', async () => {
    const watch = await watchOfMissingMachine();
    listed = undefined;
    await queryFor(watch, 12_000);
    expect(await watch.findDead(['a'])).toEqual(new Set());
  });

  // While this process is suspended, the machine may be listed and connected without being noticed.
  it('does not take a machine for dead because its own process stood still between two reads', async () => {
    const watch = await watchOfMissingMachine();
    vi.advanceTimersByTime(11_000);
    expect(await watch.findDead(['a'])).toEqual(new Set());
  });

  // A machine that was connected owns its keys for some seconds after that, however long the list has lacked it.
  it('does not take a machine for dead that was connected after the list first lacked it', async () => {
    const directory = new AgentDirectory();
    const watch = new MachineWatch(list, directory);
    listed = ['a', 'b'];
    await watch.findDead(['a', 'b']);
    listed = [];
    await queryFor(watch, 3_000);
    directory.set('a', { status: statusOf('a'), home: 'entry', homeZone: 'zone' });
    await queryFor(watch, 10_000, ['b']);
    directory.set('a', undefined);
    expect(await watch.findDead(['a', 'b'])).toEqual(new Set(['b']));
    await queryFor(watch, 14_000);
    expect(await watch.findDead(['a', 'b'])).toEqual(new Set(['a', 'b']));
  });
});

/** Queries every half second, as the duties do while machines are disconnected. */
async function queryFor(watch: MachineWatch, milliseconds: number, addresses = ['a', 'b']): Promise<void> {
  for (let time = 0; time < milliseconds; time += 500) {
    vi.advanceTimersByTime(500);
    await watch.findDead(addresses);
  }
}

function statusOf(address: string): AgentStatus {
  return {
    sequence: 1,
    info: peer(address),
    operatorAddress: '',
    backEnd: 'service',
    pool: 'service',
    leaving: false,
    versions: [],
    active: 0,
    capacity: 1,
    ownership: undefined,
  };
}
