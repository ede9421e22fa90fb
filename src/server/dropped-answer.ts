/** Ends answers of which a part is dropped, so that their callers can tell. */
import type { ServerResponse } from 'node:http';

/**
 * Ends the connection of an answer before the answer is complete. If a part of it waits for the caller to read, the connection is reset:
 * a close in order would follow on the part that the system has taken, which some callers take for the whole.
 */
export function dropAnswer(response: ServerResponse): void {
  if (response.writableLength > 0) response.socket?.resetAndDestroy();
  response.destroy();
}
