/**
 * The agent's side of the slot protocol: answers entries by datagram, from the slot table of the engine next
 * to it.
 */
import { StallDetector } from '../model/stall-detector.js';
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

/**
 * Interval at which silent entries are looked for, in milliseconds: a third of the silence after which an
 * entry's slots are released.
 */
const CHECK_INTERVAL = 100;

/** Grants the slots of one engine. */
export class SlotServer implements Startable {
  readonly #table = new SlotTable();
  readonly #holders = new SlotHolders(this.#table);
  readonly #standstills = new StallDetector(CHECK_INTERVAL, performance.now());
  #timer: NodeJS.Timeout | undefined;
  /** Fires when the backlog and the rate limit allow the next grant. */
  #grantTimer: NodeJS.Timeout | undefined;
  #loggedRateLimit: number | undefined;
  readonly #endpoint: DatagramEndpoint;
  readonly #log: Log;
  /** Number of decisions since the start, by outcome. */
  readonly decisions: Record<SlotDecision['type'], number> = {
    granted: 0,
    queued: 0,
    refused: 0,
    unready: 0,
  };

  /** @param address - `host:port` to which entries send their requests */
  constructor(address: string, context: ConnectionContext, log: Log) {
    this.#log = log;
    this.#endpoint = new DatagramEndpoint(address, context, (message, from) => this.#handle(message, from));
  }

  /** How the slots are used. */
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
    this.#timer = setInterval(() => this.#checkHolders(), CHECK_INTERVAL);
  }

  /** Refuses all waiting requests, so that they are sent elsewhere. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    clearTimeout(this.#grantTimer);
    this.#sendDecisions(this.#table.refuseAll());
    await this.#endpoint.stop();
  }

  /** Applies the engine's state; undefined if the engine did not answer. */
  observe(engine: ObservedEngine | undefined): void {
    this.#sendDecisions(
      engine === undefined ? this.#table.invalidate() : this.#table.observe(engine, performance.now()),
    );
    const { figures } = this;
    if (figures.granted > 0 || figures.waiting > 0) this.#log.info('slots', figures);
  }

  #checkHolders(): void {
    const now = performance.now();
    this.#standstills.tick(now);
    this.#sendDecisions(this.#holders.check(now, (since) => this.#standstills.runningTime(since, now)));
  }

  #handle(message: Message, from: string): void {
    const now = performance.now();
    if (message.type === 'slotReleased')
      return this.#sendDecisions(this.#table.release(tableId(from, message.id), now, message.wasUsed));
    if (message.type === 'slotAnswered')
      return this.#sendDecisions(
        this.#table.noteAnswer(tableId(from, message.id), message.rateLimit ?? undefined, now),
      );
    if (message.type === 'slotPromptRead')
      return this.#sendDecisions(this.#table.notePromptRead(tableId(from, message.id), now));
    if (message.type === 'slotsStated')
      return this.#sendDecisions(this.#holders.takeStatement(from, message, now));
    if (message.type !== 'slotAsked') return;
    const { id, urgency, waitedFor, patience, slots, rateLimit, inTimeFor, promptTokens, cold } = message;
    this.#sendDecisions(this.#holders.noteRequest(from, id, now));
    const ask = {
      id: tableId(from, id),
      urgency,
      waitsSince: now - waitedFor,
      endsAt: now + patience,
      slots,
      rateLimit: rateLimit ?? undefined,
      inTimeUntil: inTimeFor == null ? undefined : now + inTimeFor,
      promptTokens: promptTokens ?? 0,
      cold: cold ? { rate: cold.rate, until: now + cold.left } : undefined,
    };
    this.#sendDecisions(this.#table.ask(ask, now));
  }

  #sendDecisions(decisions: readonly SlotDecision[]): void {
    for (const decision of decisions) {
      this.decisions[decision.type]++;
      const { entry, id } = claimOf(decision.id);
      this.#endpoint.send(entry, this.#answerTo(id, decision));
    }
    this.#logRateLimit();
    this.#scheduleGrant();
  }

  /** The message that tells an entry of the decision on its request `id`. */
  #answerTo(id: number, decision: SlotDecision): SlotMessage {
    switch (decision.type) {
      case 'granted':
        return {
          type: 'slotGranted',
          id,
          isLimited: this.rateLimit !== undefined,
          isLimitedByWork: this.#table.isLimitedByWork,
        };
      case 'queued':
        return { type: 'slotQueued', id };
      case 'refused':
        return { type: 'slotRefused', id, availableIn: decision.availableIn };
      case 'unready':
        return { type: 'slotUnready', id };
    }
  }

  #logRateLimit(): void {
    if (this.rateLimit === this.#loggedRateLimit) return;
    const previousRate = this.#loggedRateLimit;
    this.#loggedRateLimit = this.rateLimit;
    if (this.rateLimit === undefined) this.#log.info('rate limit lifted', { previousRate });
    else this.#log.info('rate limit named', { rate: this.rateLimit, previousRate });
  }

  /** Schedules the next grant for when the backlog and the rate limit allow it. */
  #scheduleGrant(): void {
    clearTimeout(this.#grantTimer);
    const { nextGrantAt } = this.#table;
    if (nextGrantAt === undefined) return;
    const delay = Math.max(0, Math.ceil(nextGrantAt - performance.now()));
    this.#grantTimer = setTimeout(() => this.#sendDecisions(this.#table.grantFree(performance.now())), delay);
  }
}
