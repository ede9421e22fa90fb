import { MemoryStore } from '../../emulator/store/memory-store.js';
import { storeContract } from './store-contract.js';

storeContract('the stand-in', async () => {
  const behind = new MemoryStore();
  return { tables: behind, objects: behind, behind };
});
