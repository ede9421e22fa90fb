/**
 * Runs steps of one request that timers, sockets or the client library call. An error that left such a step would end the
 * process, with all its requests.
 */
export class ContainedSteps {
  readonly #onError: (cause: unknown) => void;

  /** @param onError - called with what a step has thrown; must not throw */
  constructor(onError: (cause: unknown) => void) {
    this.#onError = onError;
  }

  /** Runs a step; returns whether it succeeded. */
  run(step: () => void): boolean {
    try {
      step();
      return true;
    } catch (cause) {
      this.#onError(cause);
      return false;
    }
  }
}
