/** Refuses a share of the requests to a stand-in back end, as one that is overloaded does. */
import type Koa from 'koa';

export interface SheddingSettings {
  /** Share of requests that are refused, evenly spaced. */
  shedShare: number;
  /** `Retry-After` of the refusals, in seconds; 0 for none. */
  retryAfterSeconds: number;
}

/** Decides which requests are refused. */
export class Shedder {
  /** Number of requests refused so far. */
  refused = 0;
  readonly #settings: SheddingSettings;
  #offered = 0;

  constructor(settings: SheddingSettings) {
    this.#settings = settings;
  }

  /** Answers the request with 503 if it is refused; returns whether it is. */
  refuses(context: Koa.Context): boolean {
    const { shedShare, retryAfterSeconds } = this.#settings;
    const before = Math.floor(this.#offered * shedShare);
    if (Math.floor(++this.#offered * shedShare) === before) return false;
    this.refused++;
    context.status = 503;
    if (retryAfterSeconds > 0) context.set('Retry-After', String(retryAfterSeconds));
    return true;
  }
}
