/** Client of the model engine on the machine of an agent. */

import type { PlatformError } from '../clients/errors.js';
import { callHttp, type HttpStream, openHttp, parseJson } from '../clients/http.js';
import type { Digest } from '../model/manifest.js';
import { failure, type Result, success } from '../model/result.js';

/** Fencing token of an order: the engine refuses an order that is older than the latest one that it accepted. */
export interface OrderFence {
  /** Increases with each agent process of the machine; claimed at the engine itself. */
  epoch: number;
  /** Revision of the assignments that caused the order. */
  revision: number;
}

/** An order to load or unload a version. */
export interface EngineOrder {
  kind: 'load' | 'unload';
  version: Digest;
  fence: OrderFence;
}

/** State reported by an engine; its load value lags. */
export interface EngineState {
  versions: Array<{ version: Digest; state: 'staging' | 'loading' | 'loaded'; loadedDigest?: Digest }>;
  fence: OrderFence;
  active: number;
}

/** Why a call to an engine failed. */
export type EngineError =
  | { type: 'engineUnreachable'; reason: string }
  /** A newer agent process has claimed the engine, or an order for a newer declaration has been accepted. */
  | { type: 'fenced'; reason: string };

/** Client interface of one engine. */
export interface EngineClient {
  state(signal: AbortSignal): Promise<Result<EngineState, EngineError>>;
  /** Claims the engine for this agent process; resolves to the epoch for its orders. */
  claim(signal: AbortSignal): Promise<Result<number, EngineError>>;
  /** Uploads a verified chunk to the staging area of the engine, without affecting the running version. */
  stage(
    version: Digest,
    chunk: number,
    data: Uint8Array,
    signal: AbortSignal,
  ): Promise<Result<void, EngineError>>;
  order(order: EngineOrder, signal: AbortSignal): Promise<Result<void, EngineError>>;
  /** Starts a completion with a streamed answer. Rejects with the errors of the client library. */
  complete(body: object, signal: AbortSignal): Promise<HttpStream>;
  /** Cancels a request in the engine. */
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
        return failure({ type: 'fenced', reason: 'another agent process claimed the engine' });
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
        return failure({ type: 'fenced', reason: 'the engine has already accepted a newer order' });
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
