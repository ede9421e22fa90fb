/** The connections of an entry to the agents that it sends requests to; one an agent, dialled when needed. */
import { type Result, success } from '../model/result.js';
import { withLimit } from '../model/time-limit.js';
import {
  type Connection,
  type ConnectionContext,
  type ConnectionError,
  connect,
} from '../protocol/connection.js';
import type { CallMessage } from '../protocol/messages.js';
import type { PeerInfo } from '../systems/distribution/transfer.js';

const DIAL_TIMEOUT = 1_000;

/** Who waits for the frames of a call. */
export interface CallListener {
  onFrame(message: CallMessage): void;
  /** The connection is gone; frames may be missing. */
  onLost(): void;
}

/** A connection and the calls on it. */
export class CallLink {
  readonly #connection: Connection;
  readonly #listeners = new Map<string, CallListener>();

  constructor(connection: Connection) {
    this.#connection = connection;
    connection.handleMessages((message) => {
      if ('callId' in message) this.#listeners.get(keyOf(message))?.onFrame(message);
    });
    connection.onClose = () => {
      for (const listener of [...this.#listeners.values()]) listener.onLost();
      this.#listeners.clear();
    };
  }

  get open(): boolean {
    return this.#connection.open;
  }

  get remoteId(): string {
    return this.#connection.remote.peer.id;
  }

  /** Hands a call over; returns false when nothing was sent. */
  start(call: CallMessage & { type: 'call' }, listener: CallListener): boolean {
    this.#listeners.set(keyOf(call), listener);
    if (this.#connection.send(call)) return true;
    this.#listeners.delete(keyOf(call));
    return false;
  }

  /** Stops listening to a call; the agent is told where it still runs. */
  end(callId: string, attempt: number, cancel: boolean): void {
    this.#listeners.delete(keyOf({ callId, attempt }));
    if (cancel) this.#connection.send({ type: 'callCancel', callId, attempt });
  }

  /** The caller has taken bytes of an answer. */
  taken(callId: string, attempt: number, bytes: number): void {
    this.#connection.send({ type: 'callTaken', callId, attempt, bytes });
  }

  close(): void {
    this.#connection.close();
  }
}

/** All call links of one entry. */
export class CallLinks {
  readonly #links = new Map<string, Promise<Result<CallLink, ConnectionError>>>();
  readonly #context: ConnectionContext;
  readonly #stopped = new AbortController();

  constructor(context: ConnectionContext) {
    this.#context = context;
  }

  /** An open link to an agent; a process replaced under the same address is not it. */
  async to(agent: PeerInfo): Promise<Result<CallLink, ConnectionError>> {
    const known = await this.#links.get(agent.id);
    if (known?.ok && known.value.open) return known;
    const dialled = this.#dial(agent);
    this.#links.set(agent.id, dialled);
    const outcome = await dialled;
    if (!outcome.ok) this.#links.delete(agent.id);
    return outcome;
  }

  async stop(): Promise<void> {
    this.#stopped.abort();
    for (const link of this.#links.values()) {
      const outcome = await link;
      if (outcome.ok) outcome.value.close();
    }
  }

  async #dial(agent: PeerInfo): Promise<Result<CallLink, ConnectionError>> {
    const limit = withLimit(this.#stopped.signal, DIAL_TIMEOUT);
    const outcome = await connect(agent.address, this.#context, limit);
    if (!outcome.ok) return outcome;
    if (outcome.value.remote.peer.id === agent.id) return success(new CallLink(outcome.value));
    outcome.value.close();
    return {
      ok: false,
      error: { type: 'peerUnreachable', address: agent.address, reason: 'process replaced' },
    };
  }
}

function keyOf(call: { callId: string; attempt: number }): string {
  return `${call.callId}/${call.attempt}`;
}
