/** The origin of weights. Its chunks are not trusted: callers must verify their digests. */
import type { Digest } from '../model/manifest.js';
import { failure, type Result, success } from '../model/result.js';
import type { PlatformError } from './errors.js';
import { callHttp } from './http.js';

/** Client interface of the origin. */
export interface Origin {
  /** Fetches the bytes of a chunk, unverified. */
  chunk(digest: Digest, signal: AbortSignal): Promise<Result<Buffer, PlatformError>>;
}

const SERVICE = 'origin';
/** Largest chunk that is read, in bytes: what one frame between processes holds. */
const MAX_CHUNK_BYTES = 83_886_080;

/** Creates a client of the origin at `url`. */
export function httpOrigin(url: string): Origin {
  return {
    async chunk(digest, signal) {
      const answer = await callHttp({
        service: SERVICE,
        method: 'GET',
        url: `${url}/chunks/${digest}`,
        maxBytes: MAX_CHUNK_BYTES,
        signal,
      });
      if (!answer.ok) return answer;
      if (answer.value.status === 404) return failure({ type: 'notFound', service: SERVICE });
      return success(answer.value.body);
    },
  };
}
