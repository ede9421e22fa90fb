/** Grace period of a process that was sent SIGTERM, enforced as the platform does. */
import type { ChildProcess } from 'node:child_process';

/**
 * Ends `child` with SIGKILL after `milliseconds`, and calls `onOutlived` if that is what ended it. Only the exit signal shows
 * this: the child may have exited within its grace period, with the event still queued because this process was blocked.
 * @returns a function that cancels the kill
 */
export function killAfterGrace(
  child: ChildProcess,
  milliseconds: number,
  onOutlived: () => void,
): () => void {
  let isKilled = false;
  const timer = setTimeout(() => {
    isKilled = child.kill('SIGKILL');
  }, milliseconds);
  child.once('exit', (_code, signal) => {
    clearTimeout(timer);
    if (isKilled && signal === 'SIGKILL') onOutlived();
  });
  return () => clearTimeout(timer);
}
