/** When the requests of an engine go on at others. */
import { describe, expect, it } from 'vitest';
import type { Route } from '../../src/fleet/configuration.js';
import { canMoveRequests } from '../../src/weights/request-moves.js';

const resumable = { repeatability: 'resumable', maxAttempts: 2 } as Route;
const on = (version: number, isSwitching = false) => ({ version, isSwitching });

describe('requests of an engine that takes another version', () => {
  it('go on where enough others serve its version', () => {
    expect(canMoveRequests([resumable], 1, [on(1), on(1), on(2)])).toBe(true);
  });

  it.each([
    ['nobody else serves it', [on(2), on(2)]],
    ['too few serve it', [on(1), on(2), on(2), on(2)]],
    ['the others switch too', [on(1, true), on(1, true)]],
    ['there are no others', []],
  ])('stay where %s', (_reason, others) => {
    expect(canMoveRequests([resumable], 1, others)).toBe(false);
  });

  it('stay where one of them may not run again', () => {
    const never = { repeatability: 'never', maxAttempts: 2 } as Route;
    const onlyOnce = { repeatability: 'resumable', maxAttempts: 1 } as Route;
    expect(canMoveRequests([resumable, never], 1, [on(1), on(1)])).toBe(false);
    expect(canMoveRequests([resumable, onlyOnce], 1, [on(1), on(1)])).toBe(false);
  });
});
