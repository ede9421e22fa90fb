/** Back ends in a store's list, each of which ends as it gets a certain request. */
import type { MemoryStore } from '../../emulator/store/memory-store.js';
import { reply, StandInBackEnd } from '../forwarding/stand-in-back-end.js';

/** Path of the request that ends them. */
export const DEADLY = '/1/deadly';
/** Path of one that is served. */
export const HARMLESS = '/1/harmless';

/** The back ends. */
export class FragileBackEnds {
  all: StandInBackEnd[] = [];
  /** Back ends that have ended under the request. */
  ended = 0;

  /** Starts `count` of them and lists them. */
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
      if (request.url !== DEADLY) return reply(200, 'done')(request, response, body);
      this.ended++;
      void backEnd.stop();
    });
    return backEnd;
  }
}
