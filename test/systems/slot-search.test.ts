/** Tests a request's search for a slot: which agents it asks, when it asks more, and which it leaves out. */
import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../src/model/random.js';
import { type SlotCandidate, SlotSearch } from '../../src/systems/slot-search.js';

const NEAR: SlotCandidate[] = ['n1', 'n2', 'n3', 'n4'].map((id) => ({
  id,
  isNear: true,
  cost: 0,
  spread: 40,
}));
const FAR: SlotCandidate[] = ['f1', 'f2', 'f3', 'f4'].map((id) => ({
  id,
  isNear: false,
  cost: 55,
  spread: 40,
}));
const ALL = [...NEAR, ...FAR];
/** Times after which a search asks more agents, and after which an agent is considered silent, in milliseconds. */
const WIDENED = 30;
const SILENT = 150;

function search(seed = 1): SlotSearch {
  return new SlotSearch(0, seededRandom(seed));
}

const isNear = (id: string) => id.startsWith('n');

describe('a search for a slot', () => {
  it('asks two agents of its zone first, and agents in other zones only if these have no free slot', () => {
    const one = search();
    const first = one.next(ALL, 0);
    expect(first.map(isNear)).toEqual([true, true]);
    for (const id of first) one.noteQueued(id);
    expect(one.next(ALL, 10)).toEqual([]);
    const later = one.next(ALL, WIDENED);
    expect(later.map(isNear)).toEqual([true, false, false]);
    expect(one.next(ALL, 2 * WIDENED)).toEqual([]);
    expect(new Set([...first, ...later]).size).toBe(5);
  });

  it('asks other agents in place of those that refuse or are silent', () => {
    const one = search();
    const [refusing, silent] = one.next(ALL, 0);
    one.noteFailed(refusing);
    const [third] = one.next(ALL, 5);
    one.noteQueued(third);
    expect(third).not.toBe(refusing);
    expect(one.silent((since) => SILENT - since)).toEqual([silent]);
    one.noteFailed(silent);
    expect(one.next(ALL, SILENT).length).toBeGreaterThan(0);
  });

  it('asks others in place of agents that predict no slot in time, until five have', () => {
    const one = search();
    const asked: string[] = [];
    for (let round = 0; round < ALL.length && one.wantsMore(0); round++) {
      const ids = one.next(ALL, 0);
      asked.push(...ids);
      for (const id of ids) one.noteFull(id);
    }
    expect(one.isFull).toBe(true);
    expect(one.isPending).toBe(false);
    // They are asked in pairs.
    expect(new Set(asked).size).toBe(6);
  });

  it('asks in other zones immediately if its zone has too few agents', () => {
    expect(
      search()
        .next([NEAR[0], ...FAR], 0)
        .map(isNear),
    ).toEqual([true, false]);
    expect(search().next(FAR, 0)).toHaveLength(2);
  });

  it('leaves out slow or failing engines while there are others', () => {
    const slow = { ...NEAR[0], cost: 400 };
    for (let seed = 0; seed < 20; seed++) expect(search(seed).next([slow, ...FAR], 0)).not.toContain('n1');
    expect(search().next([slow], 0)).toEqual(['n1']);
  });

  it('asks engines with a lower known load first', () => {
    const fresh = NEAR.map((one, index) => ({ ...one, cost: 10 * index, spread: 2 }));
    for (let seed = 0; seed < 20; seed++) expect(search(seed).next(fresh, 0)).toEqual(['n1', 'n2']);
  });

  it('spreads over all engines of a zone', () => {
    const random = seededRandom(1);
    const asked = new Set(Array.from({ length: 40 }, () => new SlotSearch(0, random).next(ALL, 0)).flat());
    expect([...asked].sort()).toEqual(['n1', 'n2', 'n3', 'n4']);
  });

  it('is not pending if no agent can grant a slot', () => {
    const one = search();
    expect(one.isPending).toBe(false);
    for (const id of one.next(NEAR.slice(0, 2), 0)) one.noteFailed(id);
    expect(one.next(NEAR.slice(0, 2), 10)).toEqual([]);
    expect(one.isPending).toBe(false);
  });
});
