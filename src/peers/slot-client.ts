/** The entry's side of slots: asks agents by datagram, and hands their answers to the requests that wait for them. */
import type { EngineSlots, SlotAnswers, SlotClaim, SlotWish } from '../forwarding/engine-slots.js';
import type { Random } from '../model/random.js';
import type { Startable } from '../model/startable.js';
import type { ConnectionContext } from '../protocol/connection.js';
import { DatagramEndpoint } from '../protocol/datagrams.js';
import type { Message } from '../protocol/messages.js';
import { SlotClaims } from '../systems/slot-claims.js';

/**
 * Time between two statements of all that is open at an agent, in milliseconds: a slot whose release was lost is idle
 * for half of it on average, and an entry that uses ten engines sends 100 datagrams a second, each of some 100 bytes.
 */
const STATEMENT_INTERVAL = 100;

interface OpenClaim {
  answers: SlotAnswers;
  /** Whether the agent knew of a rate limit when it granted the slot. */
  isLimited: boolean;
}

/** Asks for slots. */
export class SlotClient implements EngineSlots, Startable {
  readonly #endpoint: DatagramEndpoint;
  readonly #claims: SlotClaims;
  readonly #openClaims = new Map<number, OpenClaim>();
  #timer: NodeJS.Timeout | undefined;

  /** @param address - `host:port` at which agents answer */
  constructor(address: string, context: ConnectionContext, random: Random) {
    this.#claims = new SlotClaims(random);
    this.#endpoint = new DatagramEndpoint(address, context, (message, from) => this.#handle(message, from));
  }

  async start(): Promise<void> {
    await this.#endpoint.start();
    this.#timer = setInterval(() => this.#sendStatements(), STATEMENT_INTERVAL);
  }

  /** Gives back all that is open. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    for (const id of this.#openClaims.keys()) this.#closeClaim(id);
    this.#sendStatements();
    await this.#endpoint.stop();
  }

  ask(agent: string, wish: SlotWish, answers: SlotAnswers): SlotClaim {
    const id = this.#claims.open(agent);
    this.#openClaims.set(id, { answers, isLimited: false });
    this.#endpoint.send(agent, { type: 'slotAsked', id, ...wish });
    return {
      noteAnswer: (rateLimit) => {
        const open = this.#openClaims.get(id);
        if (open === undefined || (rateLimit === undefined && !open.isLimited)) return;
        this.#endpoint.send(agent, { type: 'slotAnswered', id, rateLimit });
      },
      release: (wasUsed) => {
        if (this.#closeClaim(id) !== undefined)
          this.#endpoint.send(agent, { type: 'slotReleased', id, wasUsed });
      },
    };
  }

  #sendStatements(): void {
    for (const { agent, statement } of this.#claims.statements())
      this.#endpoint.send(agent, { type: 'slotsStated', ...statement });
  }

  /** Ends a request for a slot; returns who asked. */
  #closeClaim(id: number): SlotAnswers | undefined {
    const open = this.#openClaims.get(id);
    this.#openClaims.delete(id);
    this.#claims.close(id);
    return open?.answers;
  }

  #handle(message: Message, from: string): void {
    if (message.type === 'slotQueued') return this.#openClaims.get(message.id)?.answers.onQueued();
    if (message.type === 'slotRefused') return this.#closeClaim(message.id)?.onRefused();
    if (message.type === 'slotUnready') return this.#closeClaim(message.id)?.onUnready();
    if (message.type !== 'slotGranted') return;
    const { id, isLimited } = message;
    const open = this.#openClaims.get(id);
    if (open !== undefined) open.isLimited = isLimited;
    if (this.#claims.noteGranted(id)) return open?.answers.onGranted();
    if (this.#claims.isOpen(id)) return;
    // It was given up as the grant was on its way, and the release of the claim may have been lost.
    this.#endpoint.send(from, { type: 'slotReleased', id, wasUsed: false });
  }
}
