/** Closes idle connections of HTTP servers. */
import type { Server } from 'node:http';

/**
 * Lets `server` close a connection whose idle time is over only once what has come there was read. After a standstill of this
 * process timers run before sockets are read, so a request may be waiting on a connection that times out.
 */
export function closeIdleConnectionsOnceRead(server: Server): void {
  server.on('timeout', (socket) => {
    const { bytesRead } = socket;
    // The event loop reads its sockets between timers and immediates.
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  });
}
