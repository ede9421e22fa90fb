/**
 * The signal to stop a process. Listeners stay registered for the whole life of the process: a signal without a listener
 * terminates it at once and cuts off every answer in progress.
 */
import { EventLoopTurns } from './event-loop-turns.js';
import type { Startable } from './startable.js';
import { endsWithin } from './time-limit.js';

/** Time that a start in progress is given to finish after the stop signal, in milliseconds; its parts are then stopped as usual. */
const START_TIMEOUT = 1_000;

/** Source of signals: the process, or an emitter in tests. */
export interface SignalSource {
  on(signal: NodeJS.Signals, listener: () => void): unknown;
}

/** Waits for the first of several signals; later ones have no effect. */
export class StopSignal {
  /**
   * Resolves with the earliest time at which the first signal may have been sent, in milliseconds of the monotonic clock. Whoever
   * sends it counts from then on, while this process may have got no processor.
   */
  readonly received: Promise<number>;

  /** @param signals - signals that stop the process; create the object before anything is started */
  constructor(
    signals: readonly NodeJS.Signals[],
    source: SignalSource = process,
    turns: Pick<EventLoopTurns, 'handledUntil'> = new EventLoopTurns(),
  ) {
    this.received = new Promise((resolve) => {
      for (const signal of signals) source.on(signal, () => resolve(turns.handledUntil));
    });
  }
}

/** Starts `part`; resolves with the time of the stop signal, which may arrive during the start. */
export async function startUntilStopSignal(
  part: Pick<Startable, 'start'>,
  order: Pick<StopSignal, 'received'>,
): Promise<number> {
  const started = part.start();
  const signalledAt = await Promise.race([started.then(() => order.received), order.received]);
  await endsWithin(started, START_TIMEOUT);
  return signalledAt;
}
