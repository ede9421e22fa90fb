/** Starts servers. */
import type { Server } from 'node:net';
import { addressOf } from '../model/address.js';

/**
 * Listens at `address` (`host:port`); rejects if that fails. Afterwards a connection that cannot be accepted, as descriptors
 * have run out, is no error of the process.
 */
export async function listen(server: Server, address: string): Promise<void> {
  const { host, port } = addressOf(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      server.on('error', () => {});
      resolve();
    });
  });
}
