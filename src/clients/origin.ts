/** The origin of weights. Its chunks are not trusted: whoever takes one compares its digest. */
import type { Digest } from '../model/manifest.js';
import { failure, type Result, success } from '../model/result.js';
import type { PlatformError } from './errors.js';
import { callHttp } from './http.js';

/** The origin. */
export interface Origin {
  /** The bytes that the origin has for a chunk. */
  chunk(digest: Digest, signal: AbortSignal): Promise<Result<Buffer, PlatformError>>;
}

const SERVICE = 'origin';

/** Creates a client of the origin at `url`. */
export function httpOrigin(url: string): Origin {
  return {
    async chunk(digest, signal) {
      const answer = await callHttp({
        service: SERVICE,
        method: 'GET',
        url: `${url}/chunks/${digest}`,
        signal,
      });
      if (!answer.ok) return answer;
      if (answer.value.status === 404) return failure({ type: 'notFound', service: SERVICE });
      return success(answer.value.body);
    },
  };
}
