/** Connections of an entry to the agents that it sends requests to: one per agent, dialled on demand. */
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

/** Receives the frames of a call. */
export interface CallListener {
  onFrame(message: CallMessage): void;
  /** Called when the connection is lost; frames may be missing. */
  onLost(): void;
}

/** A connection to an agent, with the listeners of its calls. */
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

  /** Sends a call; returns false if nothing was sent. */
  start(call: CallMessage & { type: 'call' }, listener: CallListener): boolean {
    this.#listeners.set(keyOf(call), listener);
    if (this.#connection.send(call)) return true;
    this.#listeners.delete(keyOf(call));
    return false;
  }

  /** Stops listening to a call, and cancels it at the agent if `cancel` is set. */
  end(callId: string, attempt: number, cancel: boolean): void {
    this.#listeners.delete(keyOf({ callId, attempt }));
    if (cancel) this.#connection.send({ type: 'callCancel', callId, attempt });
  }

  /** Acknowledges to the agent that the caller has taken bytes of an answer. */
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

  /** Returns an open link to an agent. Fails if another process answers at the agent's address. */
  async getLink(agent: PeerInfo): Promise<Result<CallLink, ConnectionError>> {
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
      error: {
        type: 'peerUnreachable',
        address: agent.address,
        reason: 'another process answers at this address',
      },
    };
  }
}

function keyOf(call: { callId: string; attempt: number }): string {
  return `${call.callId}/${call.attempt}`;
}
