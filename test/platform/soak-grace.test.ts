/** Guards against blaming a process that has ended in its time of grace, where the soak itself stood still meanwhile. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { expect, it } from 'vitest';
import { standStill } from '../support.js';
import { endAfterGrace } from './soak/grace.js';

const GRACE = 800;

/** Starts a process that does `onStop` at SIGTERM, and resolves once it does. */
async function startChild(onStop: string): Promise<ChildProcess> {
  const program = `process.on('SIGTERM', () => { ${onStop} }); setInterval(() => {}, 1000); process.stdout.write('.');`;
  const child = spawn(process.execPath, ['-e', program], { stdio: ['ignore', 'pipe', 'ignore'] });
  await once(child.stdout!, 'data');
  return child;
}

/** Whether the child is said to have outlived its time of grace, of which this process is away for `standstill` milliseconds. */
async function outlives(child: ChildProcess, standstill: number): Promise<boolean> {
  let hasOutlived = false;
  child.kill('SIGTERM');
  endAfterGrace(child, GRACE, () => {
    hasOutlived = true;
  });
  const exit = once(child, 'exit');
  if (standstill > 0) standStill(standstill);
  await exit;
  return hasOutlived;
}

it('a process that ends in its time of grace is not blamed, though its exit is handled later', async () => {
  expect(await outlives(await startChild('process.exit(0)'), 4 * GRACE)).toBe(false);
});

it('a process that has to be killed is blamed', async () => {
  expect(await outlives(await startChild(''), 0)).toBe(true);
  expect(await outlives(await startChild(''), 4 * GRACE)).toBe(true);
});
