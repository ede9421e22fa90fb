/**
 * Tells a back end that says nothing from a connection on which nothing comes any more while the back end works. Pure:
 * times are in milliseconds of the steady clock.
 */
import type { Route } from '../fleet/configuration.js';

/** A back end that owes a first answer and says nothing to anybody for this many objectives is silent. */
const SILENT_OBJECTIVES = 2;
/** Bounds of that time, in milliseconds. */
const SHORTEST_SILENCE = 350;
const LONGEST_SILENCE = 1_200;
/** A stream that owes an event for this many of its longest pauses stands still. */
const SILENT_PAUSES = 2;
const SHORTEST_STREAM_SILENCE = 600;
/**
 * A kept connection is silent after this many of its back end's usual times to a first answer, if the back end goes on
 * with other requests meanwhile: above what the queue of a back end adds while it grows.
 */
const SILENT_FIRST_ANSWERS = 4;

/** A request at a back end, as far as its answer has come. */
export interface AwaitedAnswer {
  route: Pick<Route, 'objective' | 'longestPause'>;
  /** When anything came of this answer last; when it was sent, before that. */
  progressAt: number;
  /** The caller has a part of the answer. */
  isStreaming: boolean;
  /** It went over a kept connection, and nothing has come there since. */
  isOnSilentConnection: boolean;
  /** A request that was sent later, and that is no more urgent, has been answered by the same back end. */
  isOvertaken: boolean;
  /** When anything came from the back end last, for any request. */
  backEndProgressAt: number;
  /** Usual time of the back end to a first answer, in milliseconds; 0 where it is not known. */
  usualFirstAnswer: number;
}

/** What an answer that has not come says. */
export type Silence =
  /** It is not due. */
  | 'none'
  /** The back end says nothing to anybody. */
  | 'backEnd'
  /** Nothing comes on the kept connection, nor from the back end: either may be at fault. */
  | 'backEndOrConnection'
  /** The back end answers others: the kept connection is at fault. */
  | 'connection';

/** What `awaited` says at `now`. */
export function silenceOf(awaited: AwaitedAnswer, now: number): Silence {
  const waited = now - awaited.progressAt;
  const limit = silenceLimit(awaited);
  if (waited <= limit) return 'none';
  if (awaited.isStreaming) return 'backEnd';
  const isBackEndSilent = now - awaited.backEndProgressAt > limit;
  if (!awaited.isOnSilentConnection) return isBackEndSilent ? 'backEnd' : 'none';
  if (isBackEndSilent) return 'backEndOrConnection';
  return awaited.isOvertaken || waited > unusualWait(awaited) ? 'connection' : 'none';
}

function silenceLimit({ route, isStreaming }: AwaitedAnswer): number {
  if (isStreaming) return Math.max(SHORTEST_STREAM_SILENCE, SILENT_PAUSES * route.longestPause);
  return Math.min(LONGEST_SILENCE, Math.max(SHORTEST_SILENCE, SILENT_OBJECTIVES * route.objective));
}

function unusualWait({ usualFirstAnswer }: AwaitedAnswer): number {
  if (usualFirstAnswer === 0) return Number.POSITIVE_INFINITY;
  return Math.max(LONGEST_SILENCE, SILENT_FIRST_ANSWERS * usualFirstAnswer);
}
