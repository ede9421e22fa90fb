/** When the running requests of an engine may continue on other engines. */
import { describe, expect, it } from 'vitest';
import type { Route } from '../../src/fleet/configuration.js';
import { canMoveRequests, type ServingEngine } from '../../src/weights/request-moves.js';

const resumable = { repeatability: 'resumable', maxAttempts: 2 } as Route;
const NEVER = Number.POSITIVE_INFINITY;

function on(version: number, load: number, changes: Partial<ServingEngine> = {}): ServingEngine {
  return { version, load, slots: 16, isSwitching: false, switchesIn: NEVER, unmovable: 0, ...changes };
}

describe('requests of an engine that switches to another version', () => {
  it('continue elsewhere if engines with the same version have capacity for twice as many', () => {
    expect(canMoveRequests([resumable], on(1, 6), [on(1, 4), on(2, 0)])).toBe(true);
    expect(canMoveRequests([resumable], on(1, 12), [on(1, 4), on(1, 4), on(2, 16)])).toBe(true);
  });

  it('continue on many engines that are nearly full', () => {
    const others = Array.from({ length: 9 }, () => on(1, 15));
    expect(canMoveRequests([resumable], on(1, 14), others)).toBe(true);
    expect(canMoveRequests([resumable], on(1, 14), others.slice(0, 3))).toBe(false);
  });

  it.each([
    ['no other engine serves the version', [on(2, 0), on(2, 0)]],
    ['the engines that serve it are full', [on(1, 20), on(1, 16), on(2, 0)]],
    ['the other engines switch too', [on(1, 0, { isSwitching: true }), on(1, 0, { isSwitching: true })]],
    ['the other engines switch before the requests end', [on(1, 0, { switchesIn: 300 })]],
    ['there are no other engines', []],
  ])('stay if %s', (_reason, others) => {
    expect(canMoveRequests([resumable], on(1, 6), others)).toBe(false);
  });

  it('stay unless each of them is known to be repeatable', () => {
    expect(canMoveRequests([resumable], on(1, 6, { unmovable: 1 }), [on(1, 0)])).toBe(false);
    expect(canMoveRequests([resumable], { ...on(1, 6), unmovable: undefined }, [on(1, 0)])).toBe(false);
  });

  it('stay if engines that switch at the same time need the capacity', () => {
    const others = [on(1, 6, { isSwitching: true }), on(1, 2)];
    expect(canMoveRequests([resumable], on(1, 6), others)).toBe(false);
    expect(canMoveRequests([resumable], on(1, 6), others.slice(1))).toBe(true);
  });

  it('stay if one of them must not be repeated', () => {
    const never = { repeatability: 'never', maxAttempts: 2 } as Route;
    const onlyOnce = { repeatability: 'resumable', maxAttempts: 1 } as Route;
    expect(canMoveRequests([resumable, never], on(1, 1), [on(1, 0)])).toBe(false);
    expect(canMoveRequests([resumable, onlyOnce], on(1, 1), [on(1, 0)])).toBe(false);
  });
});
