/** The client of the model engine beside an agent. */

import type { PlatformError } from '../clients/errors.js';
import { callHttp, type HttpStream, openHttp, parseJson } from '../clients/http.js';
import type { Digest } from '../model/manifest.js';
import { failure, type Result, success } from '../model/result.js';

/** Fences an order: the engine refuses one that is older than the latest it took. */
export interface OrderFence {
  /** Grows with each agent process of the machine; claimed at the engine itself. */
  epoch: number;
  /** Revision of the declaration that the order follows. */
  revision: number;
}

/** An order to change what the engine serves. */
export interface EngineOrder {
  kind: 'load' | 'unload';
  version: Digest;
  fence: OrderFence;
}

/** What an engine says of itself; its load lags. */
export interface EngineState {
  versions: Array<{ version: Digest; state: 'staging' | 'loading' | 'loaded'; loadedDigest?: Digest }>;
  fence: OrderFence;
  active: number;
}

/** Why an engine did not do what it was asked. */
export type EngineError =
  | { type: 'engineUnreachable'; reason: string }
  /** A newer agent process or a newer declaration has given orders. */
  | { type: 'fenced'; reason: string };

/** One engine. */
export interface EngineClient {
  state(signal: AbortSignal): Promise<Result<EngineState, EngineError>>;
  /** Claims the engine for this agent process; returns the epoch for its orders. */
  claim(signal: AbortSignal): Promise<Result<number, EngineError>>;
  /** Puts a verified chunk beside what runs. */
  stage(
    version: Digest,
    chunk: number,
    data: Uint8Array,
    signal: AbortSignal,
  ): Promise<Result<void, EngineError>>;
  order(order: EngineOrder, signal: AbortSignal): Promise<Result<void, EngineError>>;
  /** Begins a completion; the answer is streamed. Throws what the client library throws. */
  complete(body: object, signal: AbortSignal): Promise<HttpStream>;
  /** Ends a request in the engine. */
  cancel(requestId: string, signal: AbortSignal): Promise<void>;
}

const SERVICE = 'engine';

/** Creates a client of the engine at `url`. */
export function httpEngineClient(url: string): EngineClient {
  const call = (
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    signal: AbortSignal,
    content: object = {},
  ) => callHttp({ service: SERVICE, method, url: `${url}${path}`, signal, ...content });
  const client: EngineClient = {
    async state(signal) {
      const answer = await call('GET', '/v1/state', signal);
      if (!answer.ok) return failure(unreachable(answer.error));
      const parsed = parseJson<EngineState>(SERVICE, answer.value);
      return parsed.ok ? parsed : failure(unreachable(parsed.error));
    },
    async claim(signal) {
      const state = await client.state(signal);
      if (!state.ok) return state;
      const epoch = state.value.fence.epoch + 1;
      const answer = await call('POST', '/v1/claims', signal, { json: { epoch } });
      if (!answer.ok) return failure(unreachable(answer.error));
      if (answer.value.status === 409)
        return failure({ type: 'fenced', reason: 'claimed by another process' });
      return success(epoch);
    },
    async stage(version, chunk, data, signal) {
      const answer = await call('PUT', `/v1/weights/${version}/chunks/${chunk}`, signal, { bytes: data });
      return answer.ok ? success(undefined) : failure(unreachable(answer.error));
    },
    async order(order, signal) {
      const answer = await call('POST', '/v1/orders', signal, { json: order });
      if (!answer.ok) return failure(unreachable(answer.error));
      if (answer.value.status === 409)
        return failure({ type: 'fenced', reason: 'a newer order came before' });
      return success(undefined);
    },
    complete(body, signal) {
      const target = `${url}/v1/chat/completions`;
      return openHttp({ service: SERVICE, method: 'POST', url: target, json: body, signal });
    },
    async cancel(requestId, signal) {
      await call('DELETE', `/v1/requests/${encodeURIComponent(requestId)}`, signal);
    },
  };
  return client;
}

function unreachable(error: PlatformError): EngineError {
  return { type: 'engineUnreachable', reason: 'reason' in error ? error.reason : error.type };
}
