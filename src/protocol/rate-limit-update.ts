/** Rate limit changes exchanged between entries. */
export type RateLimitUpdate =
  | { type: 'named'; backEnd: string; start?: number | undefined; rate: number }
  | { type: 'lifted'; backEnd: string; start?: number | undefined };
