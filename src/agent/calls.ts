/**
 * Admits requests and runs them at the back end. A refused request is answered at once with the statement that it did
 * not run. A complete answer ends with a `callEnd` message that states its number of frames.
 */
import { type HttpStream, neverConnected } from '../clients/http.js';
import type { Connection } from '../protocol/connection.js';
import type { CallMessage, CallRefusal } from '../protocol/messages.js';
import type { KeyOwnership } from './key-ownership.js';
import { OnceCalls, type OnceCounters } from './once-calls.js';
import { SendWindow } from './send-window.js';

/** Number of requests beyond the back end's capacity that may queue there, as a fraction of the capacity. */
const QUEUE_RATIO = 1;
/** Time for which a leaving agent still accepts calls with idempotency keys that it owns, in milliseconds. */
const OWNER_LEAVING_GRACE = 1_500;
/** Time after which a refused caller may retry, by reason of the refusal, in milliseconds. */
const RETRY_AFTER: Record<CallRefusal, number> = {
  leaving: 0,
  overloaded: 500,
  wrongVersion: 0,
  notReady: 1_000,
  backEndUnreachable: 1_000,
  notOwner: 100,
};
/** Upper bound of a request's remaining time, in milliseconds. */
const MAX_TIME_LEFT = 3_600_000;
/** Reasons for aborting a request. They are shared objects because creating an error is slow. */
const DEADLINE_PASSED = new Error('the deadline has passed');
const CALLER_GONE = new Error('nobody waits for the answer');
/** Last event of a complete event stream. */
const STREAM_END = 'data: [DONE]';

/** A request received from an entry. */
export type CallRequest = CallMessage & { type: 'call' };

/** The back end that this agent serves. */
export interface BackEnd {
  /** Why a request for this version may not run now; undefined if it may. */
  refusalFor(version: string): CallRefusal | undefined;
  /** Remaining time for which the back end has asked for no calls, in milliseconds; 0 if none. */
  backoffLeft?(): number;
  /** Starts a request; the answer is streamed. Errors of the HTTP client are passed through. */
  run(call: CallRequest, signal: AbortSignal): Promise<HttpStream>;
  /** Cancels a request that is no longer needed. */
  cancel(call: CallRequest): void;
}

/** Calls by outcome, for metrics. */
export interface CallCounters {
  started: number;
  answered: number;
  refused: number;
  failed: number;
  cancelled: number;
}

interface ActiveCall {
  call: CallRequest;
  abort: AbortController;
  window: SendWindow;
}

/** Options for relaying a body. */
interface RelayOptions {
  window: SendWindow;
  signal: AbortSignal;
  isEventStream: boolean;
}

/** The calls of one agent. */
export class Calls {
  readonly counters: CallCounters = { started: 0, answered: 0, refused: 0, failed: 0, cancelled: 0 };
  /** Called when the number of requests in progress changes. */
  onChange: () => void = () => {};
  #leavingSince: number | undefined;
  readonly #onceCalls: OnceCalls;
  readonly #backEnd: BackEnd;
  readonly #capacity: number;
  readonly #active = new Map<string, ActiveCall>();

  constructor(backEnd: BackEnd, capacity: number, ownership?: KeyOwnership) {
    this.#backEnd = backEnd;
    this.#capacity = capacity;
    this.#onceCalls = new OnceCalls({ backEnd, ownership, onChange: () => this.onChange() });
  }

  /** Number of requests in progress. */
  get active(): number {
    return this.#active.size + this.#onceCalls.active;
  }

  /** True once `leave` has been called: new requests are refused, at the latest after `OWNER_LEAVING_GRACE`. */
  get leaving(): boolean {
    return this.#leavingSince !== undefined;
  }

  /** Calls with an idempotency key, by outcome. */
  get onceCounters(): OnceCounters {
    return this.#onceCalls.counters;
  }

  /** Stops accepting new requests. */
  leave(): void {
    this.#leavingSince ??= performance.now();
  }

  /** Number of requests in progress for a version. */
  activeFor(version: string): number {
    let count = 0;
    for (const { call } of this.#active.values()) {
      if (call.version === version) count++;
    }
    return count;
  }

  /** Serves the calls that arrive on a connection from an entry. Calls in progress are cancelled when it closes. */
  serve(connection: Connection): void {
    const connectionCalls = new Set<string>();
    connection.handleMessages((message) => {
      if (message.type === 'call') {
        connectionCalls.add(callKeyOf(message));
        void this.#run(connection, message)
          .catch(() => connection.close())
          .finally(() => connectionCalls.delete(callKeyOf(message)));
      }
      if (message.type === 'callCancel') this.#cancel(callKeyOf(message));
      if (message.type === 'callTaken') this.#active.get(callKeyOf(message))?.window.taken(message.bytes);
    });
    connection.onClose = () => {
      for (const key of connectionCalls) this.#cancel(key);
    };
  }

  async #run(connection: Connection, call: CallRequest): Promise<void> {
    if (call.once !== undefined) return this.#onceCalls.run(connection, call, call.once, this.#refusal(call));
    const refusal = this.#refusal(call);
    if (refusal !== undefined) {
      this.counters.refused++;
      return refuseCall(connection, call, refusal, true, this.#backEnd.backoffLeft?.());
    }
    const abort = new AbortController();
    const window = new SendWindow();
    this.#active.set(callKeyOf(call), { call, abort, window });
    this.counters.started++;
    this.onChange();
    const timer = setTimeout(() => abort.abort(DEADLINE_PASSED), clampedTimeLeft(call));
    try {
      await this.#relay(connection, call, window, abort.signal);
    } finally {
      clearTimeout(timer);
      this.#active.delete(callKeyOf(call));
      this.onChange();
    }
  }

  #refusal(call: CallRequest): CallRefusal | undefined {
    if (this.#refusesNewWork(call)) return 'leaving';
    if (this.active >= this.#capacity * (1 + QUEUE_RATIO)) return 'overloaded';
    return this.#backEnd.refusalFor(call.version);
  }

  /** A leaving owner still accepts calls with keys for a short time: no other agent may run them until the keys have moved. */
  #refusesNewWork(call: CallRequest): boolean {
    if (this.#leavingSince === undefined) return false;
    return call.once === undefined || performance.now() - this.#leavingSince > OWNER_LEAVING_GRACE;
  }

  async #relay(
    connection: Connection,
    call: CallRequest,
    window: SendWindow,
    signal: AbortSignal,
  ): Promise<void> {
    const { callId, attempt } = call;
    let stream: HttpStream;
    try {
      stream = await this.#backEnd.run(call, signal);
    } catch (cause) {
      return this.#reportStartFailure(connection, call, cause);
    }
    if (stream.statusCode === 409 && call.version !== '') {
      await stream.body.dump();
      this.counters.refused++;
      return refuseCall(connection, call, 'wrongVersion', true);
    }
    const contentType = String(stream.headers['content-type'] ?? 'application/octet-stream');
    connection.send({ type: 'callHead', callId, attempt, status: stream.statusCode, contentType });
    try {
      const frames = await this.#relayBody(connection, call, stream, {
        window,
        signal,
        isEventStream: contentType.startsWith('text/event-stream'),
      });
      this.counters.answered++;
      connection.send({ type: 'callEnd', callId, attempt, frames });
    } catch (cause) {
      this.counters.failed++;
      this.#backEnd.cancel(call);
      connection.send({ type: 'callFailed', callId, attempt, reason: String(cause), ran: 'yes' });
    }
  }

  #reportStartFailure(connection: Connection, call: CallRequest, cause: unknown): void {
    const { callId, attempt } = call;
    if (neverConnected(cause)) {
      this.counters.refused++;
      return refuseCall(connection, call, 'backEndUnreachable', true);
    }
    this.counters.failed++;
    this.#backEnd.cancel(call);
    connection.send({ type: 'callFailed', callId, attempt, reason: String(cause), ran: 'unknown' });
  }

  /** Relays the body frame by frame and returns the number of frames. Throws if the body is incomplete. */
  async #relayBody(
    connection: Connection,
    call: CallRequest,
    stream: HttpStream,
    { window, signal, isEventStream }: RelayOptions,
  ): Promise<number> {
    const { callId, attempt } = call;
    let sequence = 0;
    let tail = '';
    for await (const part of stream.body) {
      const data = part as Buffer;
      tail = (tail + data.toString('latin1')).slice(-STREAM_END.length * 2);
      await window.waitForRoom(signal);
      connection.send({ type: 'callData', callId, attempt, sequence: sequence++, data });
      window.sent(data.byteLength);
    }
    if (isEventStream && !tail.includes(STREAM_END)) throw new Error('the stream ended before its end mark');
    return sequence;
  }

  #cancel(key: string): void {
    const active = this.#active.get(key);
    if (active === undefined) return;
    this.counters.cancelled++;
    active.abort.abort(CALLER_GONE);
    this.#backEnd.cancel(active.call);
  }
}

/** The remaining time of a call in a range that timers accept, as the sender's value is not validated. */
export function clampedTimeLeft(call: CallRequest): number {
  const milliseconds = Math.ceil(Number(call.timeLeft));
  return Number.isFinite(milliseconds) ? Math.min(Math.max(milliseconds, 1), MAX_TIME_LEFT) : 1;
}

/**
 * Refuses a call. `notRun` states whether it provably did not run.
 * @param backoffLeft - time for which the back end wants no calls, in milliseconds; it delays retries of overloaded calls only,
 * as others may go to another agent at once
 */
export function refuseCall(
  connection: Connection,
  call: CallRequest,
  reason: CallRefusal,
  notRun: boolean,
  backoffLeft = 0,
): void {
  const { callId, attempt } = call;
  const retryAfter = Math.max(RETRY_AFTER[reason], reason === 'overloaded' ? backoffLeft : 0);
  connection.send({ type: 'callRefused', callId, attempt, reason, notRun, retryAfter });
}

function callKeyOf(call: { callId: string; attempt: number }): string {
  return `${call.callId}/${call.attempt}`;
}
