/**
 * Distinguishes an unresponsive back end from a dead connection to a back end that works. Pure functions; times are in
 * milliseconds of the monotonic clock.
 */
import type { Route } from '../fleet/configuration.js';

/**
 * A back end with an outstanding first answer is silent if nothing at all is received from it for this multiple of
 * the route's objective.
 */
const SILENT_OBJECTIVES = 2;
/** Bounds of the resulting time, in milliseconds. */
const MIN_SILENCE = 350;
const MAX_SILENCE = 1_200;
/** A stream is silent if no event is received for this multiple of the route's longest pause. */
const SILENT_PAUSES = 2;
/** Lower bound of the resulting time, in milliseconds. */
const MIN_STREAM_SILENCE = 600;
/**
 * A kept connection is silent after this multiple of its back end's usual time to a first answer if the back end
 * makes progress with other requests meanwhile. The multiple exceeds the delay that a growing queue at the back end
 * adds.
 */
const SILENT_FIRST_ANSWERS = 4;

/** The state of a request that waits for its answer or the next part of it. */
export interface AwaitedAnswer {
  route: Pick<Route, 'objective' | 'longestPause'>;
  /** When any part of the answer was last received; when the request was sent, before that. */
  progressAt: number;
  /** Whether the caller has received a part of the answer. */
  isStreaming: boolean;
  /** Whether the request was sent over a kept connection on which nothing has been received since. */
  isOnSilentConnection: boolean;
  /** Whether the back end has answered a request that was sent later and is not more urgent. */
  isOvertaken: boolean;
  /** When anything was last received from the back end, for any request. */
  backEndProgressAt: number;
  /** Usual time to the first answer of the back end, in milliseconds; 0 if unknown. */
  usualFirstAnswer: number;
}

/** The cause of a missing answer. */
export type Silence =
  /** The answer is not overdue. */
  | 'none'
  /** The back end does not answer any request. */
  | 'backEnd'
  /** Nothing is received on the kept connection or from the back end otherwise: either may be at fault. */
  | 'backEndOrConnection'
  /** The back end answers other requests: the kept connection is at fault. */
  | 'connection';

/** Classifies the silence of an awaited answer at `now`. */
export function silenceOf(awaited: AwaitedAnswer, now: number): Silence {
  const waited = now - awaited.progressAt;
  const limit = silenceLimit(awaited);
  if (waited <= limit) return 'none';
  if (awaited.isStreaming) return 'backEnd';
  const isBackEndSilent = now - awaited.backEndProgressAt > limit;
  if (!awaited.isOnSilentConnection) return isBackEndSilent ? 'backEnd' : 'none';
  if (isBackEndSilent) return 'backEndOrConnection';
  return awaited.isOvertaken || waited > connectionSilenceLimit(awaited) ? 'connection' : 'none';
}

function silenceLimit({ route, isStreaming }: AwaitedAnswer): number {
  if (isStreaming) return Math.max(MIN_STREAM_SILENCE, SILENT_PAUSES * route.longestPause);
  return Math.min(MAX_SILENCE, Math.max(MIN_SILENCE, SILENT_OBJECTIVES * route.objective));
}

function connectionSilenceLimit({ usualFirstAnswer }: AwaitedAnswer): number {
  if (usualFirstAnswer === 0) return Number.POSITIVE_INFINITY;
  return Math.max(MAX_SILENCE, SILENT_FIRST_ANSWERS * usualFirstAnswer);
}
