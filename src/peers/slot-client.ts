/** The entry's side of slots: asks agents by datagram, and hands their answers to the requests that wait for them. */
import type { EngineSlots, SlotAnswers, SlotClaim, SlotWish } from '../forwarding/engine-slots.js';
import type { Random } from '../model/random.js';
import type { Startable } from '../model/startable.js';
import type { ConnectionContext } from '../protocol/connection.js';
import { DatagramEndpoint } from '../protocol/datagrams.js';
import type { Message } from '../protocol/messages.js';

/** Numbers of requests begin anywhere below this: an entry that starts again does not name those of its former life. */
const NUMBER_RANGE = 2 ** 30;

/** Asks for slots. */
export class SlotClient implements EngineSlots, Startable {
  readonly #endpoint: DatagramEndpoint;
  readonly #claims = new Map<number, SlotAnswers>();
  #number: number;

  /** @param address - `host:port` at which agents answer */
  constructor(address: string, context: ConnectionContext, random: Random) {
    this.#number = random.below(NUMBER_RANGE);
    this.#endpoint = new DatagramEndpoint(address, context, (message, from) => this.#handle(message, from));
  }

  start(): Promise<void> {
    return this.#endpoint.start();
  }

  stop(): Promise<void> {
    return this.#endpoint.stop();
  }

  ask(agent: string, wish: SlotWish, answers: SlotAnswers): SlotClaim {
    const id = this.#number++;
    this.#claims.set(id, answers);
    this.#endpoint.send(agent, { type: 'slotAsked', id, ...wish });
    return {
      release: () => {
        if (this.#claims.delete(id)) this.#endpoint.send(agent, { type: 'slotReleased', id });
      },
    };
  }

  /** Ends a request for a slot; returns who asked. */
  #end(id: number): SlotAnswers | undefined {
    const answers = this.#claims.get(id);
    this.#claims.delete(id);
    return answers;
  }

  #handle(message: Message, from: string): void {
    if (message.type === 'slotQueued') return this.#claims.get(message.id)?.onQueued();
    if (message.type === 'slotRefused') return this.#end(message.id)?.onRefused();
    if (message.type === 'slotUnready') return this.#end(message.id)?.onUnready();
    if (message.type !== 'slotGranted') return;
    const answers = this.#claims.get(message.id);
    if (answers !== undefined) return answers.onGranted();
    // It was given up as the grant was on its way, and the release of the claim may have been lost.
    this.#endpoint.send(from, { type: 'slotReleased', id: message.id });
  }
}
