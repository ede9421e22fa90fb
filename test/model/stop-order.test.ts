import { EventEmitter } from 'node:events';
import { expect, it, vi } from 'vitest';
import { StopOrder, startUntilOrdered } from '../../src/model/stop-order.js';

it('resolves with the first signal; later ones are caught without effect', async () => {
  const signals = new EventEmitter();
  const order = new StopOrder(['SIGTERM', 'SIGINT'], signals);
  expect(signals.emit('SIGTERM')).toBe(true);
  const orderedAt = await order.given;
  // `emit` returns whether there is a listener: a signal without one terminates a process.
  expect(signals.emit('SIGTERM')).toBe(true);
  expect(signals.emit('SIGINT')).toBe(true);
  expect(await order.given).toBe(orderedAt);
});

it('lets a start in progress finish', async () => {
  const signals = new EventEmitter();
  const order = new StopOrder(['SIGTERM'], signals);
  let endStart: () => void = () => {};
  const part = { start: () => new Promise<void>((resolve) => (endStart = resolve)) };
  let isOrdered = false;
  const ordered = startUntilOrdered(part, order).then(() => {
    isOrdered = true;
  });
  signals.emit('SIGTERM');
  await new Promise((resolve) => setImmediate(resolve));
  expect(isOrdered).toBe(false);
  endStart();
  await ordered;
});

it('does not wait for a start that hangs', async () => {
  vi.useFakeTimers();
  try {
    const signals = new EventEmitter();
    const ordered = startUntilOrdered(
      { start: () => new Promise<void>(() => {}) },
      new StopOrder(['SIGTERM'], signals),
    );
    signals.emit('SIGTERM');
    await vi.advanceTimersByTimeAsync(5_000);
    expect(await ordered).toBeTypeOf('number');
  } finally {
    vi.useRealTimers();
  }
});

it('does not hide a failed start', async () => {
  const order = new StopOrder(['SIGTERM'], new EventEmitter());
  const part = { start: () => Promise.reject(new Error('address in use')) };
  await expect(startUntilOrdered(part, order)).rejects.toThrow('address in use');
});
