/** Waits until the event loop has read its sockets. */

/**
 * Resolves after a whole turn of the event loop. Data that arrived before the call has been read then, and the sockets have
 * been read just before. When this process was stalled, timers run before sockets are read, so a decision by elapsed time that
 * nothing has arrived is only valid after such a turn.
 */
export function socketsRead(): Promise<void> {
  // The first immediate may run after the sockets were polled in the current turn.
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)));
}
