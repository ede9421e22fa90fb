import { EventEmitter } from 'node:events';
import { expect, it, vi } from 'vitest';
import { StopSignal, startUntilStopSignal } from '../../src/model/stop-signal.js';

it('resolves with the first signal; later ones are caught without effect', async () => {
  const signals = new EventEmitter();
  const order = new StopSignal(['SIGTERM', 'SIGINT'], signals);
  expect(signals.emit('SIGTERM')).toBe(true);
  const orderedAt = await order.received;
  // `emit` returns whether there is a listener: a signal without one terminates a process.
  expect(signals.emit('SIGTERM')).toBe(true);
  expect(signals.emit('SIGINT')).toBe(true);
  expect(await order.received).toBe(orderedAt);
});

it('dates a signal that is noticed late from before the standstill', async () => {
  const signals = new EventEmitter();
  const order = new StopSignal(['SIGTERM'], signals);
  await new Promise((resolve) => setTimeout(resolve, 250));
  const blockedAt = performance.now();
  while (performance.now() < blockedAt + 400);
  signals.emit('SIGTERM');
  const orderedAt = await order.received;
  expect(orderedAt).toBeLessThanOrEqual(blockedAt);
  expect(orderedAt).toBeGreaterThan(blockedAt - 250);
});

it('lets a start in progress finish', async () => {
  const signals = new EventEmitter();
  const order = new StopSignal(['SIGTERM'], signals);
  let endStart: () => void = () => {};
  const part = { start: () => new Promise<void>((resolve) => (endStart = resolve)) };
  let isOrdered = false;
  const ordered = startUntilStopSignal(part, order).then(() => {
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
    const ordered = startUntilStopSignal(
      { start: () => new Promise<void>(() => {}) },
      new StopSignal(['SIGTERM'], signals),
    );
    signals.emit('SIGTERM');
    await vi.advanceTimersByTimeAsync(5_000);
    expect(await ordered).toBeTypeOf('number');
  } finally {
    vi.useRealTimers();
  }
});

it('does not hide a failed start', async () => {
  const order = new StopSignal(['SIGTERM'], new EventEmitter());
  const part = { start: () => Promise.reject(new Error('address in use')) };
  await expect(startUntilStopSignal(part, order)).rejects.toThrow('address in use');
});
