import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { AgentDirectory } from '../../src/entry/agent-directory.js';
import type { AgentStatus } from '../../src/protocol/messages.js';
import { peer } from '../support.js';

function agentUpdate(id: string, sequence: number, active = 0, home = 'home') {
  const status: AgentStatus = {
    sequence,
    info: { ...peer(id), address: 'machine' },
    operatorAddress: '',
    backEnd: 'service',
    pool: 'p',
    leaving: false,
    versions: [],
    active,
    capacity: 1,
    ownership: undefined,
  };
  return { status, home, homeZone: 'zone' };
}

describe('AgentDirectory', () => {
  beforeEach(() => vi.useFakeTimers({ toFake: ['performance'] }));
  afterEach(() => vi.useRealTimers());

  it.each([
    ['the same status', agentUpdate('a', 5), 0],
    ['an earlier status', agentUpdate('a', 4), 0],
    ['a later status', agentUpdate('a', 6), 1_000],
    ['the same status from another home', agentUpdate('a', 5, 0, 'other'), 1_000],
    ['another process', agentUpdate('b', 1), 1_000],
  ])('sets the time of receipt only if the status is new: %s', (_, next, receivedAt) => {
    const directory = new AgentDirectory();
    const start = performance.now();
    directory.set('machine', agentUpdate('a', 5));
    vi.advanceTimersByTime(1_000);
    directory.set('machine', next);
    expect(directory.rows.size).toBe(1);
    expect([...directory.rows.values()][0].receivedAt - start).toBe(receivedAt);
  });

  it('keeps the last reported load until the agent moves to another home', () => {
    const directory = new AgentDirectory();
    directory.set('machine', agentUpdate('a', 1));
    directory.updateLoads([{ id: 'a', active: 7, held: [] }]);
    directory.set('machine', agentUpdate('a', 2));
    expect(directory.rows.get('a')?.status.active).toBe(7);
    directory.set('machine', agentUpdate('a', 3, 0, 'other'));
    expect(directory.rows.get('a')?.status.active).toBe(0);
  });

  it('removes the agent when its address is cleared', () => {
    const directory = new AgentDirectory();
    directory.set('machine', agentUpdate('a', 1));
    directory.set('machine', undefined);
    expect(directory.rows.size).toBe(0);
  });
});
