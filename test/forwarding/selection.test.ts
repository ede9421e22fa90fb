/** The choice of a back end for one request. */
import { expect, it } from 'vitest';
import { type Candidate, chooseBackEnd } from '../../src/forwarding/selection.js';
import { seededRandom } from '../../src/model/random.js';

const HERE = { zone: 'zone-a', region: 'region-a' };

function candidate(id: string, changes: Partial<Candidate> = {}): Candidate {
  return {
    ...HERE,
    id,
    slots: 12,
    load: 0,
    unreadTokens: 0,
    tokensPerMillisecond: 0,
    releaseInterval: 50,
    failureShare: 0,
    refusalShare: 0,
    slowness: 0,
    overhang: 0,
    mayNotMove: false,
    ...changes,
  };
}

/** The back ends that a hundred requests are sent to. */
function chosen(candidates: readonly Candidate[]): string[] {
  const random = seededRandom(3);
  const ids = Array.from(
    { length: 100 },
    () => chooseBackEnd(candidates, HERE, random)?.candidate.id ?? 'none',
  );
  return [...new Set(ids)].sort();
}

it('falls on any of those that are nearly the best, and on none that is farther', () => {
  const near = candidate('near', { load: 2 });
  const alike = candidate('alike', { load: 6 });
  const worse = candidate('worse', { load: 12 });
  const far = candidate('far', { zone: 'zone-b' });
  expect(chosen([worse, near, far, alike])).toEqual(['alike', 'near']);
  expect(chosen([far, worse])).toEqual(['far']);
  expect(chosen([])).toEqual(['none']);
});

it('falls on a back end that refused as soon as the wait elsewhere costs more', () => {
  const refusing = candidate('refusing', { refusalShare: 0.5 });
  expect(chosen([refusing, candidate('busy', { load: 13 })])).toEqual(['refusing']);
  expect(chosen([refusing, candidate('free', { load: 11 })])).toEqual(['free']);
});
