/**
 * Opens connections that report a reset as an error, always. If data and a reset arrive together, the runtime reports the end of the
 * data as if the other side had closed the connection, and the client library takes a reset for a close if an answer has neither a
 * length nor chunks. Such an answer would pass for a whole one.
 */
import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import { limitTimePerTurn } from './turn-allowance.js';

/** Code of {@link ConnectionResetError}, which the client library does not take for a close. */
export const CONNECTION_RESET = 'CONNECTION_RESET';
const RESET_BY_PEER = 'ECONNRESET';

/** The other side has reset a connection. */
export class ConnectionResetError extends Error {
  readonly code = CONNECTION_RESET;

  constructor() {
    super('connection reset');
  }
}

/**
 * Returns a connector for clients of the library.
 * @param timeout - for opening a connection, in milliseconds
 * @param onConnected - called with each socket before it is used
 */
export function resetAwareConnector(
  timeout: number,
  onConnected: (socket: Socket) => void = () => {},
): buildConnector.connector {
  const connect = buildConnector({ timeout });
  return (options, callback) =>
    connect(options, (error, socket) => {
      if (socket === null || error !== null) return callback(error as Error, null);
      reportResets(socket);
      limitTimePerTurn(socket);
      onConnected(socket);
      callback(null, socket);
    });
}

/** Turns the end of a socket that was reset, and its error, into a {@link ConnectionResetError}. */
function reportResets(socket: Socket): void {
  const emit = socket.emit.bind(socket) as (event: string | symbol, ...values: unknown[]) => boolean;
  socket.emit = (event: string | symbol, ...values: unknown[]): boolean => {
    if (event === 'end' && wasReset(socket)) return socket.destroy(new ConnectionResetError()).destroyed;
    if (event === 'error' && (values[0] as NodeJS.ErrnoException).code === RESET_BY_PEER)
      return emit(event, new ConnectionResetError());
    return emit(event, ...values);
  };
}

/** Whether a socket whose data have ended was reset: the system then knows no peer of it any more. */
function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}
