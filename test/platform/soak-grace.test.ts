/** Guards against reporting a process that exited within its grace period, when the soak's own event loop was blocked meanwhile. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { expect, it } from 'vitest';
import { blockEventLoop } from '../support.js';
import { killAfterGrace } from './soak/grace.js';

const GRACE = 800;

/** Starts a process that runs `onStop` on SIGTERM, and resolves once its handler is installed. */
async function startChild(onStop: string): Promise<ChildProcess> {
  const program = `process.on('SIGTERM', () => { ${onStop} }); setInterval(() => {}, 1000); process.stdout.write('.');`;
  const child = spawn(process.execPath, ['-e', program], { stdio: ['ignore', 'pipe', 'ignore'] });
  await once(child.stdout!, 'data');
  return child;
}

/** Whether the child is reported to have outlived its grace period when this process is blocked for `blockedFor` milliseconds. */
async function isReportedAsOutlived(child: ChildProcess, blockedFor: number): Promise<boolean> {
  let hasOutlived = false;
  child.kill('SIGTERM');
  killAfterGrace(child, GRACE, () => {
    hasOutlived = true;
  });
  const exit = once(child, 'exit');
  if (blockedFor > 0) blockEventLoop(blockedFor);
  await exit;
  return hasOutlived;
}

it('does not report a process that exits within its grace period, though its exit is handled later', async () => {
  expect(await isReportedAsOutlived(await startChild('process.exit(0)'), 4 * GRACE)).toBe(false);
});

it('reports a process that has to be killed', async () => {
  expect(await isReportedAsOutlived(await startChild(''), 0)).toBe(true);
  expect(await isReportedAsOutlived(await startChild(''), 4 * GRACE)).toBe(true);
});
