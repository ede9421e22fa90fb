/** Virtual time: a queue of events in order of time; events of the same time run in the order of scheduling. */
import TinyQueue from 'tinyqueue';

interface ScheduledEvent {
  at: number;
  order: number;
  run: () => void;
}

/** A clock that jumps from event to event. Times are in milliseconds. */
export class VirtualClock {
  #now = 0;
  #order = 0;
  readonly #queue = new TinyQueue<ScheduledEvent>([], (a, b) => a.at - b.at || a.order - b.order);

  get now(): number {
    return this.#now;
  }

  /** Runs `run` at time `at`, or at once if that has passed. */
  schedule(at: number, run: () => void): void {
    this.#queue.push({ at: Math.max(at, this.#now), order: this.#order++, run });
  }

  /** Runs events until `done` says so, the queue is empty or time `limit` is reached. */
  runUntil(limit: number, done: () => boolean): void {
    while (!done()) {
      const event = this.#queue.pop();
      if (event === undefined || event.at > limit) return;
      this.#now = event.at;
      event.run();
    }
  }
}
