/**
 * The entry's side of the slot protocol: requests slots from agents by datagram, and passes the answers to
 * the waiting requests.
 */
import type { EngineSlots, SlotAnswers, SlotClaim, SlotRequest } from '../forwarding/engine-slots.js';
import type { Random } from '../model/random.js';
import type { Startable } from '../model/startable.js';
import type { ConnectionContext } from '../protocol/connection.js';
import { DatagramEndpoint } from '../protocol/datagrams.js';
import type { Message } from '../protocol/messages.js';
import { SlotClaims } from '../systems/slot-claims.js';

/**
 * Interval at which an agent is sent a statement of all open claims, in milliseconds: a slot whose release
 * was lost stays idle for half of it on average, and an entry that uses ten engines sends 100 datagrams of
 * some 100 bytes each per second.
 */
const STATEMENT_INTERVAL = 100;

interface OpenClaim {
  answers: SlotAnswers;
  /** Whether the agent knew of a rate limit when it granted the slot. */
  isLimited: boolean;
  /** Whether the agent wants to know when the engine has read the prompt. */
  isLimitedByWork: boolean;
}

/** Requests and releases slots. */
export class SlotClient implements EngineSlots, Startable {
  readonly #endpoint: DatagramEndpoint;
  readonly #claims: SlotClaims;
  readonly #openClaims = new Map<number, OpenClaim>();
  #timer: NodeJS.Timeout | undefined;

  /** @param address - `host:port` to which agents send their answers */
  constructor(address: string, context: ConnectionContext, random: Random) {
    this.#claims = new SlotClaims(random);
    this.#endpoint = new DatagramEndpoint(address, context, (message, from) => this.#handle(message, from));
  }

  async start(): Promise<void> {
    await this.#endpoint.start();
    this.#timer = setInterval(() => this.#sendStatements(), STATEMENT_INTERVAL);
  }

  /** Releases all open claims. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    for (const id of this.#openClaims.keys()) this.#closeClaim(id);
    this.#sendStatements();
    await this.#endpoint.stop();
  }

  ask(agent: string, request: SlotRequest, answers: SlotAnswers): SlotClaim {
    const id = this.#claims.open(agent);
    this.#openClaims.set(id, { answers, isLimited: false, isLimitedByWork: false });
    this.#endpoint.send(agent, { type: 'slotAsked', id, ...request });
    return {
      noteAnswer: (rateLimit) => {
        const open = this.#openClaims.get(id);
        if (open === undefined || (rateLimit === undefined && !open.isLimited)) return;
        this.#endpoint.send(agent, { type: 'slotAnswered', id, rateLimit });
      },
      notePromptRead: () => {
        if (this.#openClaims.get(id)?.isLimitedByWork)
          this.#endpoint.send(agent, { type: 'slotPromptRead', id });
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

  /** Closes a claim; returns the callbacks of the request that made it. */
  #closeClaim(id: number): SlotAnswers | undefined {
    const open = this.#openClaims.get(id);
    this.#openClaims.delete(id);
    this.#claims.close(id);
    return open?.answers;
  }

  #handle(message: Message, from: string): void {
    if (message.type === 'slotQueued') return this.#openClaims.get(message.id)?.answers.onQueued();
    if (message.type === 'slotRefused')
      return this.#closeClaim(message.id)?.onRefused(message.availableIn ?? undefined);
    if (message.type === 'slotUnready') return this.#closeClaim(message.id)?.onUnready();
    if (message.type !== 'slotGranted') return;
    const { id, isLimited, isLimitedByWork } = message;
    const open = this.#openClaims.get(id);
    if (open !== undefined) Object.assign(open, { isLimited, isLimitedByWork: isLimitedByWork === true });
    if (this.#claims.noteGranted(id)) return open?.answers.onGranted();
    if (this.#claims.isOpen(id)) return;
    // The claim was closed while the grant was in flight, and its release may have been lost.
    this.#endpoint.send(from, { type: 'slotReleased', id, wasUsed: false });
  }
}
