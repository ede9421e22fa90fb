/** Back ends that bear few requests for some time after a start. */

/** What the operator declares about the back ends of a service. */
export interface WarmUp {
  /** Requests per second that a cold back end bears from all entries together. */
  rate: number;
  /** Time for which a back end is cold after a start under load, in milliseconds. */
  time: number;
}

/** A cold back end, as one process tells another, whose clock may differ. */
export interface ColdState {
  /** Requests per second that it bears from all entries together. */
  rate: number;
  /** Time for which it stays cold, in milliseconds. */
  left: number;
}

/** What a service whose back ends are never cold declares to their agents. */
export const NO_WARM_UP: WarmUp = { rate: 0, time: 0 };
