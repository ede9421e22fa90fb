import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { MachineList } from '../../src/clients/machine-list.js';
import { MachineWatch } from '../../src/entry/machine-watch.js';
import { failure, success } from '../../src/model/result.js';

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

describe('MachineWatch', () => {
  it.each([
    ['a machine that is listed', ['a'], ['a'], 60_000, false],
    ['a machine that was listed and has been missing briefly', ['a'], [], 9_000, false],
    ['a machine that was listed and has been missing for long', ['a'], [], 12_500, true],
    ['a machine that the lagging list may not contain yet', [], [], 30_000, false],
    ['a machine that was never listed', [], [], 63_000, true],
    ['a machine while the list does not answer', ['a'], undefined, 60_000, false],
  ])('tells whether %s is dead', async (_, first, then, waited, gone) => {
    const watch = new MachineWatch(list);
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
    const watch = new MachineWatch(list);
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
});
