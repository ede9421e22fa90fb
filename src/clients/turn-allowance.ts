/**
 * Shares the turns of the event loop among connections. The client library parses all that a connection has received before it
 * returns, so a server that sends faster than its bytes can be parsed would take the whole processor: chunks of a few bytes, header
 * lines and interim answers cost a call each.
 */
import type { Socket } from 'node:net';

/** Time for which what one connection has received is handled in one turn, in milliseconds; at least one part is. */
export const TIME_PER_TURN = 1;
/** Largest part that is handled at once, in bytes. */
export const PART_BYTES = 4_096;

/**
 * Makes `socket` yield parts of at most {@link PART_BYTES} to reads without a size, and none once {@link TIME_PER_TURN} has been used
 * in the current turn; the rest follows in the next ones.
 * @param now - the monotonic clock, in milliseconds
 */
export function limitTimePerTurn(socket: Socket, now: () => number = () => performance.now()): void {
  const read = socket.read.bind(socket);
  /** When the first part was read in the current turn. */
  let startedAt: number | undefined;
  const beginTurn = () => {
    startedAt = undefined;
    // No event follows for bytes that the socket has buffered already.
    if (socket.readableLength > 0 && !socket.destroyed) socket.emit('readable');
  };
  socket.read = (size?: number) => {
    if (size !== undefined) return read(size);
    if (startedAt !== undefined && now() - startedAt >= TIME_PER_TURN) return null;
    const part = socket.readableLength > PART_BYTES ? read(PART_BYTES) : read();
    if (part === null || startedAt !== undefined) return part;
    startedAt = now();
    setImmediate(beginTurn);
    return part;
  };
}
