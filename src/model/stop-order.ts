/**
 * The order to stop a process. It is heard for the whole life of the process: a signal that nobody listens to ends the
 * process at once, and with it every answer in progress.
 */
import type { Startable } from './startable.js';
import { endsWithin } from './time-limit.js';

/** After the order a start that is under way is given this long to end, in milliseconds; what it began is stopped then. */
const START_LIMIT = 1_000;

/** Where signals come from: the process, or a test. */
export interface SignalSource {
  on(signal: NodeJS.Signals, listener: () => void): unknown;
}

/** The order, by the first of some signals; those that follow change nothing. */
export class StopOrder {
  /** Resolves with the time of the order, in milliseconds of the steady clock. */
  readonly given: Promise<number>;

  /** @param signals - those that order a stop; to be created before anything is started */
  constructor(signals: readonly NodeJS.Signals[], source: SignalSource = process) {
    this.given = new Promise((resolve) => {
      for (const signal of signals) source.on(signal, () => resolve(performance.now()));
    });
  }
}

/** Starts `part`; resolves with the time of the order to stop, which may come while the start is under way. */
export async function startUntilOrdered(part: Pick<Startable, 'start'>, order: StopOrder): Promise<number> {
  const started = part.start();
  const orderedAt = await Promise.race([started.then(() => order.given), order.given]);
  await endsWithin(started, START_LIMIT);
  return orderedAt;
}
