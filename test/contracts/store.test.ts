import { MemoryStore } from '../../emulator/store/memory-store.js';
import { storeContract } from './store-contract.js';

storeContract('the in-memory store', async () => {
  const behind = new MemoryStore();
  return { tables: behind, objects: behind, behind };
});
