/**
 * An agent without a back end: the real link to a home entry, statuses at the real times, and the assignments that it
 * is told. It has no chunks and takes no calls.
 */
import { EntryLink } from '../../src/agent/entry-link.js';
import { homeCandidates } from '../../src/agent/home-candidates.js';
import { HybridClock } from '../../src/model/hybrid-clock.js';
import { hash32, seededRandom } from '../../src/model/random.js';
import type { Startable } from '../../src/model/startable.js';
import { type ConnectionContext, createTrafficCounters } from '../../src/protocol/connection.js';
import type { AgentStatus, EntryInfo, Message } from '../../src/protocol/messages.js';
import type { PeerInfo } from '../../src/systems/distribution/transfer.js';
import type { ConfiguredEntry } from '../../src/systems/entry-topology.js';
import type { ScaleAgent } from './scale-plan.js';

/** Time between two statuses, as of a real agent. */
const STATUS_INTERVAL = 2_000;
const CAPACITY = 16;

/** What an agent was told. */
export type OnAssigned = (revision: number, deployment: string) => void;

/** One hollow agent. */
export class HollowAgent implements Startable {
  readonly counters = createTrafficCounters();
  /** Times that assignments of a lower revision came than were in force. */
  staleAssignments = 0;
  readonly #info: PeerInfo;
  readonly #link: EntryLink;
  readonly #onAssigned: OnAssigned;
  readonly #random;
  #entries: EntryInfo[] = [];
  #sequence = 0;
  #revision = 0;
  #active = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(agent: ScaleAgent, configured: readonly ConfiguredEntry[], onAssigned: OnAssigned) {
    const { name, region, zone } = agent;
    this.#random = seededRandom(hash32(name));
    this.#info = { id: `${name}#1`, address: name, place: region, region, zone };
    this.#onAssigned = onAssigned;
    const context: ConnectionContext = {
      clock: new HybridClock(),
      counters: this.counters,
      hello: () => ({ type: 'hello', role: 'agent', peer: this.#info }),
    };
    this.#link = new EntryLink({
      context,
      random: this.#random,
      candidates: () => homeCandidates(this.#info, configured, this.#entries),
      onOpen: () => this.#tell(),
      onMessage: (message) => this.#onMessage(message),
    });
  }

  /** Begins somewhere in the interval, as processes that started at different times do. */
  async start(): Promise<void> {
    await this.#link.start();
    this.#timer = setTimeout(() => this.#beat(), this.#random.fraction() * STATUS_INTERVAL);
  }

  async stop(): Promise<void> {
    clearTimeout(this.#timer);
    await this.#link.stop();
  }

  #beat(): void {
    this.#active = this.#random.below(CAPACITY);
    this.#tell();
    this.#timer = setTimeout(() => this.#beat(), STATUS_INTERVAL);
  }

  #tell(): void {
    const status: AgentStatus = {
      sequence: ++this.#sequence,
      info: this.#info,
      operatorAddress: '',
      backEnd: 'engine',
      pool: this.#info.zone,
      leaving: false,
      versions: [],
      active: this.#active,
      capacity: CAPACITY,
      ownership: undefined,
    };
    this.#link.send({ type: 'status', status });
  }

  #onMessage(message: Message): void {
    if (message.type !== 'assignments') return;
    this.#entries = message.entries;
    if (message.revision < this.#revision) {
      this.staleAssignments++;
      return;
    }
    this.#revision = message.revision;
    for (const { deployment, revision } of message.assignments) this.#onAssigned(revision, deployment);
  }
}
