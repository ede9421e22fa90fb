/** The agent's side of slots: answers entries by datagram, from the slot table of the engine beside it. */
import { StallDetector } from '../model/standstills.js';
import type { Startable } from '../model/startable.js';
import type { Log } from '../observability/log.js';
import type { ConnectionContext } from '../protocol/connection.js';
import { DatagramEndpoint } from '../protocol/datagrams.js';
import type { Message } from '../protocol/messages.js';
import type { SlotMessage } from '../protocol/slot-messages.js';
import { claimOf, SlotHolders, tableId } from '../systems/slot-holders.js';
import {
  type ObservedEngine,
  type SlotDecision,
  type SlotFigures,
  SlotTable,
} from '../systems/slot-table.js';

const ANSWERS = {
  queued: 'slotQueued',
  refused: 'slotRefused',
  unready: 'slotUnready',
} as const;

/** Time between two looks at which entries are still heard, in milliseconds: a third of the silence that ends one. */
const CHECK_INTERVAL = 100;

/** Gives out the slots of one engine. */
export class SlotServer implements Startable {
  readonly #table = new SlotTable();
  readonly #holders = new SlotHolders(this.#table);
  readonly #standstills = new StallDetector(CHECK_INTERVAL, performance.now());
  #timer: NodeJS.Timeout | undefined;
  /** Fires when the rate limit allows the next grant. */
  #grantTimer: NodeJS.Timeout | undefined;
  #loggedRateLimit: number | undefined;
  readonly #endpoint: DatagramEndpoint;
  readonly #log: Log;
  /** Decisions by what became of the requests, since the start. */
  readonly decisions: Record<SlotDecision['type'], number> = {
    granted: 0,
    queued: 0,
    refused: 0,
    unready: 0,
  };

  /** @param address - `host:port` at which entries ask */
  constructor(address: string, context: ConnectionContext, log: Log) {
    this.#log = log;
    this.#endpoint = new DatagramEndpoint(address, context, (message, from) => this.#handle(message, from));
  }

  /** Where the slots are. */
  get figures(): SlotFigures {
    return this.#table.figures;
  }

  /** Rate limit of the engine in requests per second; undefined if none is known. */
  get rateLimit(): number | undefined {
    return this.#table.rateLimit;
  }

  async start(): Promise<void> {
    await this.#endpoint.start();
    this.#standstills.reset(performance.now());
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL);
  }

  /** Sends those that wait elsewhere. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    clearTimeout(this.#grantTimer);
    this.#tell(this.#table.refuseAll());
    await this.#endpoint.stop();
  }

  /** Takes what the agent has read of its engine; undefined where that did not answer. */
  observe(engine: ObservedEngine | undefined): void {
    this.#tell(engine === undefined ? this.#table.lose() : this.#table.observe(engine, performance.now()));
    const { figures } = this;
    if (figures.granted > 0 || figures.waiting > 0) this.#log.info('slots', figures);
  }

  #check(): void {
    const now = performance.now();
    this.#standstills.tick(now);
    this.#tell(this.#holders.check(now, (since) => this.#standstills.runningTime(since, now)));
  }

  #handle(message: Message, from: string): void {
    const now = performance.now();
    if (message.type === 'slotReleased')
      return this.#tell(this.#table.release(tableId(from, message.id), now, message.wasUsed));
    if (message.type === 'slotAnswered')
      return this.#tell(
        this.#table.noteAnswer(tableId(from, message.id), message.rateLimit ?? undefined, now),
      );
    if (message.type === 'slotsStated') return this.#tell(this.#holders.takeStatement(from, message, now));
    if (message.type !== 'slotAsked') return;
    const { id, urgency, waitedFor, patience, slots, rateLimit } = message;
    this.#tell(this.#holders.noteAsk(from, id, now));
    const ask = {
      id: tableId(from, id),
      urgency,
      waitsSince: now - waitedFor,
      endsAt: now + patience,
      slots,
      rateLimit: rateLimit ?? undefined,
    };
    this.#tell(this.#table.ask(ask, now));
  }

  #tell(decisions: readonly SlotDecision[]): void {
    const isLimited = this.rateLimit !== undefined;
    for (const { type, id } of decisions) {
      this.decisions[type]++;
      const claim = claimOf(id);
      const answer: SlotMessage =
        type === 'granted'
          ? { type: 'slotGranted', id: claim.id, isLimited }
          : { type: ANSWERS[type], id: claim.id };
      this.#endpoint.send(claim.entry, answer);
    }
    this.#logRateLimit();
    this.#scheduleGrant();
  }

  #logRateLimit(): void {
    if (this.rateLimit === this.#loggedRateLimit) return;
    const previousRate = this.#loggedRateLimit;
    this.#loggedRateLimit = this.rateLimit;
    if (this.rateLimit === undefined) this.#log.info('rate limit lifted', { previousRate });
    else this.#log.info('rate limit named', { rate: this.rateLimit, previousRate });
  }

  /** Schedules the next grant for when the rate limit allows it. */
  #scheduleGrant(): void {
    clearTimeout(this.#grantTimer);
    const { nextGrantAt } = this.#table;
    if (nextGrantAt === undefined) return;
    const delay = Math.max(0, Math.ceil(nextGrantAt - performance.now()));
    this.#grantTimer = setTimeout(() => this.#tell(this.#table.grantFree(performance.now())), delay);
  }
}
