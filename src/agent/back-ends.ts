/** The two kinds of back end that an agent can serve: a model engine and a plain service. */

import { openHttp } from '../clients/http.js';
import type { EngineClient } from '../engine/engine-client.js';
import type { BackEnd, CallRequest } from './calls.js';
import type { VersionLoader } from './version-loader.js';

/** Time limit for cancelling a request at the engine, in milliseconds. */
const CANCEL_TIMEOUT = 2_000;

/** A model engine. A request runs only with the exact version that it states. */
export function engineBackEnd(engine: EngineClient, loader: VersionLoader): BackEnd {
  return {
    refusalFor: (version) => (loader.ready.has(version) ? undefined : 'wrongVersion'),
    run(call, signal) {
      const body = JSON.parse(Buffer.from(call.body).toString('utf8')) as object;
      return engine.complete({ ...body, request_id: requestIdOf(call), version: call.version }, signal);
    },
    cancel: (call) => void engine.cancel(requestIdOf(call), AbortSignal.timeout(CANCEL_TIMEOUT)),
  };
}

/** A plain service at `url`. Method, path and body are forwarded, and the call's idempotency key as a header. */
export function serviceBackEnd(url: string): BackEnd {
  return {
    refusalFor: () => undefined,
    run(call, signal) {
      const method = call.method as 'GET' | 'PUT' | 'POST' | 'DELETE';
      const bytes = call.body.byteLength === 0 ? undefined : call.body;
      const headers = call.once === undefined ? undefined : { 'idempotency-key': call.once.key };
      return openHttp({ service: 'plainService', method, url: `${url}${call.path}`, bytes, headers, signal });
    },
    cancel: () => {},
  };
}

function requestIdOf(call: CallRequest): string {
  return `${call.callId}-${call.attempt}`;
}
