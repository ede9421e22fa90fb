/** The agent's side of slots: answers entries by datagram, from the slot table of the engine beside it. */
import type { Startable } from '../model/startable.js';
import type { Log } from '../observability/log.js';
import type { ConnectionContext } from '../protocol/connection.js';
import { DatagramEndpoint } from '../protocol/datagrams.js';
import type { Message } from '../protocol/messages.js';
import {
  type ObservedEngine,
  type SlotDecision,
  type SlotFigures,
  SlotTable,
} from '../systems/slot-table.js';
import type { SlotMessage } from './slot-messages.js';

const ANSWERS = {
  granted: 'slotGranted',
  queued: 'slotQueued',
  refused: 'slotRefused',
  unready: 'slotUnready',
} as const;

/** Gives out the slots of one engine. */
export class SlotServer implements Startable {
  readonly #table = new SlotTable();
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

  start(): Promise<void> {
    return this.#endpoint.start();
  }

  /** Sends those that wait elsewhere. */
  async stop(): Promise<void> {
    this.#tell(this.#table.refuseAll());
    await this.#endpoint.stop();
  }

  /** Takes what the agent has read of its engine; undefined where that did not answer. */
  observe(engine: ObservedEngine | undefined): void {
    this.#tell(engine === undefined ? this.#table.lose() : this.#table.observe(engine, performance.now()));
    const { figures } = this;
    if (figures.granted > 0 || figures.waiting > 0) this.#log.info('slots', figures);
  }

  #handle(message: Message, from: string): void {
    const now = performance.now();
    if (message.type === 'slotReleased') return this.#tell(this.#table.release(`${from}/${message.id}`, now));
    if (message.type !== 'slotAsked') return;
    const { id, urgency, waitedFor, patience, slots } = message;
    const ask = {
      id: `${from}/${id}`,
      urgency,
      waitsSince: now - waitedFor,
      endsAt: now + patience,
      slots,
    };
    this.#tell(this.#table.ask(ask, now));
  }

  #tell(decisions: readonly SlotDecision[]): void {
    for (const { type, id } of decisions) {
      this.decisions[type]++;
      const [entry, number] = id.split('/');
      const answer: SlotMessage = { type: ANSWERS[type], id: Number(number) };
      this.#endpoint.send(entry, answer);
    }
  }
}
