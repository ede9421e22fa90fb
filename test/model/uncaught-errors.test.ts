import { EventEmitter } from 'node:events';
import { expect, it } from 'vitest';
import { type UncaughtError, UncaughtErrors } from '../../src/model/uncaught-errors.js';

it('reports each error with its cause, whatever was thrown, and the time of the first', async () => {
  const source = new EventEmitter();
  const reported: UncaughtError[] = [];
  const errors = new UncaughtErrors((error) => reported.push(error), source);
  const before = performance.now();
  source.emit('uncaughtException', new Error('first'), 'uncaughtException');
  const after = performance.now();
  source.emit('uncaughtException', undefined, 'unhandledRejection');
  source.emit('uncaughtException', Object.create(null), 'uncaughtException');
  const at = await errors.first;
  expect(at).toBeGreaterThanOrEqual(before);
  expect(at).toBeLessThanOrEqual(after);
  expect(reported.map(({ count, isRejection }) => [count, isRejection])).toEqual([
    [1, false],
    [2, true],
    [3, false],
  ]);
  expect(reported[0].cause).toContain('first');
  expect(errors.count).toBe(3);
});
