/** The time of grace of a process that was told to stop, as the platform keeps it. */
import type { ChildProcess } from 'node:child_process';

/**
 * Ends `child` with SIGKILL after `milliseconds`, and calls `onOutlived` if that is what ended it. Only the exit tells: a
 * child may have ended long before, with its exit still to be handled by this process.
 * @returns a function that cancels it
 */
export function endAfterGrace(child: ChildProcess, milliseconds: number, onOutlived: () => void): () => void {
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
