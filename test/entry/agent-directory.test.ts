import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { AgentDirectory } from '../../src/entry/agent-directory.js';
import type { AgentStatus } from '../../src/protocol/messages.js';
import { peer } from '../support.js';

function told(id: string, sequence: number, active = 0, home = 'home') {
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

describe('the directory of agents', () => {
  beforeEach(() => vi.useFakeTimers({ toFake: ['performance'] }));
  afterEach(() => vi.useRealTimers());

  it.each([
    ['the same again', told('a', 5), 0],
    ['something earlier', told('a', 4), 0],
    ['something later', told('a', 6), 1_000],
    ['the same from another home', told('a', 5, 0, 'other'), 1_000],
    ['another process', told('b', 1), 1_000],
  ])('dates a row by when its news came here: %s', (_, next, receivedAt) => {
    const directory = new AgentDirectory();
    const start = performance.now();
    directory.set('machine', told('a', 5));
    vi.advanceTimersByTime(1_000);
    directory.set('machine', next);
    expect(directory.rows.size).toBe(1);
    expect([...directory.rows.values()][0].receivedAt - start).toBe(receivedAt);
  });

  it('keeps the load that a home told of, until the agent moves to another', () => {
    const directory = new AgentDirectory();
    directory.set('machine', told('a', 1));
    directory.updateLoads([{ id: 'a', active: 7, held: [] }]);
    directory.set('machine', told('a', 2));
    expect(directory.rows.get('a')?.status.active).toBe(7);
    directory.set('machine', told('a', 3, 0, 'other'));
    expect(directory.rows.get('a')?.status.active).toBe(0);
  });

  it('holds nobody at an address at which nobody stands any more', () => {
    const directory = new AgentDirectory();
    directory.set('machine', told('a', 1));
    directory.set('machine', undefined);
    expect(directory.rows.size).toBe(0);
  });
});
