import { afterEach } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { platformObjects, platformTables } from '../../platform/store.js';
import { storeContract } from '../contracts/store-contract.js';
import { startStoreServer } from './wire-store.js';

const started: Array<() => void> = [];
afterEach(() => {
  for (const stop of started.splice(0)) stop();
});

storeContract("the users' store", async () => {
  const behind = new MemoryStore();
  const { address, stop } = await startStoreServer(behind);
  started.push(stop);
  return { tables: platformTables(address), objects: platformObjects(address), behind };
});
