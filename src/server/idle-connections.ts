/** Closes idle connections of HTTP servers. */
import type { Server } from 'node:http';

/**
 * Makes `server` close an idle connection only after received data was read. When this process was blocked, timers run before
 * sockets are read, so a request may be waiting on a connection whose idle time-out fires.
 */
export function closeIdleConnectionsOnceRead(server: Server): void {
  server.on('timeout', (socket) => {
    const { bytesRead } = socket;
    // The event loop reads sockets between timers and immediates.
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  });
}
