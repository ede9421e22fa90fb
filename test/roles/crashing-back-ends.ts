/** Listed back ends that stop when they receive a certain request, as if it crashed them. */
import type { MemoryStore } from '../../emulator/store/memory-store.js';
import { reply, StandInBackEnd } from '../forwarding/stand-in-back-end.js';

/** Path of the request that crashes a back end. */
export const CRASHING_PATH = '/1/deadly';
/** Path of a request that is served. */
export const HARMLESS_PATH = '/1/harmless';

export class CrashingBackEnds {
  all: StandInBackEnd[] = [];
  /** Number of back ends that the request has crashed. */
  ended = 0;

  /** Starts `count` back ends and adds them to the store's list. */
  async start(count: number, store: MemoryStore): Promise<void> {
    this.all = await Promise.all(Array.from({ length: count }, () => this.#create().start()));
    this.all.forEach(({ address }, index) => {
      const record = { service: 'billing', address, zone: 'zone-a', slots: 4, leaving: false };
      store.write('backEnds', `b${index}`, JSON.stringify(record));
    });
  }

  async stop(): Promise<void> {
    await Promise.all(this.all.map((backEnd) => backEnd.stop()));
  }

  #create(): StandInBackEnd {
    const backEnd: StandInBackEnd = new StandInBackEnd((request, response, body) => {
      if (request.url !== CRASHING_PATH) return reply(200, 'done')(request, response, body);
      this.ended++;
      void backEnd.stop();
    });
    return backEnd;
  }
}
