/** A change of a back end's rate limit, exchanged between entries; `rate` is in requests per second. */
export type RateLimitUpdate =
  | { type: 'named'; backEnd: string; start?: number | undefined; rate: number }
  | { type: 'lifted'; backEnd: string; start?: number | undefined };
