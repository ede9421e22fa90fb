/** The platform's object store, which holds the manifests of weights versions. */
import { failure, type Result, success } from '../model/result.js';
import type { PlatformError } from './errors.js';
import { callHttp } from './http.js';

/** Client interface of the object store. */
export interface ObjectStore {
  get(key: string, signal: AbortSignal): Promise<Result<Buffer, PlatformError>>;
  put(key: string, data: Uint8Array, signal: AbortSignal): Promise<Result<void, PlatformError>>;
}

/** An object store that can list its objects. */
export interface ListedObjectStore extends ObjectStore {
  /** Lists the keys that begin with `prefix`. */
  list(prefix: string, signal: AbortSignal): Promise<Result<string[], PlatformError>>;
}

const SERVICE = 'objectStore';

/** Creates a client of the object store at `url`. */
export function httpObjectStore(url: string): ObjectStore {
  return {
    async get(key, signal) {
      const answer = await callHttp({ service: SERVICE, method: 'GET', url: `${url}/${key}`, signal });
      if (!answer.ok) return answer;
      if (answer.value.status === 404) return failure({ type: 'notFound', service: SERVICE });
      return success(answer.value.body);
    },
    async put(key, data, signal) {
      const answer = await callHttp({
        service: SERVICE,
        method: 'PUT',
        url: `${url}/${key}`,
        bytes: data,
        signal,
      });
      return answer.ok ? success(undefined) : answer;
    },
  };
}

/** Returns the key of the manifest of a version. */
export function manifestKey(version: string): string {
  return `manifests/${version}`;
}
