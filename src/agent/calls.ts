/**
 * Admission and running of requests at the back end. A refusal says at once that the request did not run;
 * an answer ends with an explicit end that names the number of its frames.
 */
import { type HttpStream, neverConnected } from '../clients/http.js';
import type { Connection } from '../protocol/connection.js';
import type { CallMessage, CallRefusal } from '../protocol/messages.js';
import type { KeyOwnership } from './key-ownership.js';
import { OnceCalls, type OnceCounters } from './once-calls.js';
import { SendWindow } from './send-window.js';

/** Requests beyond the back end's capacity that may wait in it, as a share of the capacity. */
const QUEUE_RATIO = 1;
/** Time for which a leaving owner of keys still takes calls with them, in milliseconds. */
const OWNER_LEAVING_GRACE = 1_500;
/** Time after which a refused caller may come back, in milliseconds. */
const RETRY_AFTER: Record<CallRefusal, number> = {
  leaving: 0,
  overloaded: 500,
  wrongVersion: 0,
  notReady: 1_000,
  backEndUnreachable: 1_000,
  notOwner: 100,
};
/** Longest time that a request may take, in milliseconds. */
const MAX_TIME_LEFT = 3_600_000;
/** Why a request is ended before its answer; one object each, since making an error takes long. */
const DEADLINE_PASSED = new Error('the deadline has passed');
const CALLER_GONE = new Error('nobody waits for the answer');
/** Last event of a whole streamed answer. */
const STREAM_END = 'data: [DONE]';

/** A request as it comes from an entry. */
export type CallRequest = CallMessage & { type: 'call' };

/** The back end behind this agent. */
export interface BackEnd {
  /** Whether a request for this version may run now; undefined when it may. */
  refusalFor(version: string): CallRefusal | undefined;
  /** Begins to run a request; the answer is streamed. Throws what the client library throws. */
  run(call: CallRequest, signal: AbortSignal): Promise<HttpStream>;
  /** Ends a request that nobody waits for any more. */
  cancel(call: CallRequest): void;
}

/** What has become of calls, for metrics. */
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

/** How a body is passed on. */
interface RelayOptions {
  window: SendWindow;
  signal: AbortSignal;
  isEventStream: boolean;
}

/** The calls of one agent. */
export class Calls {
  readonly counters: CallCounters = { started: 0, answered: 0, refused: 0, failed: 0, cancelled: 0 };
  /** Called when the number of requests in progress changed. */
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

  /** Requests in progress. */
  get active(): number {
    return this.#active.size + this.#onceCalls.active;
  }

  /** True once no new work is taken, or is about to be. */
  get leaving(): boolean {
    return this.#leavingSince !== undefined;
  }

  /** What has become of calls that may not be repeated. */
  get onceCounters(): OnceCounters {
    return this.#onceCalls.counters;
  }

  /** Takes no new work from now on. */
  leave(): void {
    this.#leavingSince ??= performance.now();
  }

  /** Requests in progress for a version. */
  activeFor(version: string): number {
    let count = 0;
    for (const { call } of this.#active.values()) {
      if (call.version === version) count++;
    }
    return count;
  }

  /** Serves the calls that come over a connection from an entry. */
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
      return refuseCall(connection, call, refusal, true);
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

  /** A leaving owner of keys takes calls for a moment longer: only it may run them until its keys have moved. */
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

  /** Passes the body on frame by frame; throws when it ends before it is whole. */
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

/** The time left as the timers take it; a sender may say anything. */
export function clampedTimeLeft(call: CallRequest): number {
  const milliseconds = Math.ceil(Number(call.timeLeft));
  return Number.isFinite(milliseconds) ? Math.min(Math.max(milliseconds, 1), MAX_TIME_LEFT) : 1;
}

/** Tells the entry that a call was not taken, and whether it provably did not run. */
export function refuseCall(
  connection: Connection,
  call: CallRequest,
  reason: CallRefusal,
  notRun: boolean,
): void {
  const { callId, attempt } = call;
  const retryAfter = RETRY_AFTER[reason];
  connection.send({ type: 'callRefused', callId, attempt, reason, notRun, retryAfter });
}

function callKeyOf(call: { callId: string; attempt: number }): string {
  return `${call.callId}/${call.attempt}`;
}
