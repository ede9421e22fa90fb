/** Life cycle of components that hold connections, timers or listening sockets. */
export interface Startable {
  /** Resolves when the component is in service. */
  start(): Promise<void>;
  /** Releases all resources; may be called more than once. */
  stop(): Promise<void>;
}

/** Starts components in order and stops them in reverse order. */
export class StartableGroup implements Startable {
  readonly #parts: readonly Startable[];
  #started: Startable[] = [];

  constructor(parts: readonly Startable[]) {
    this.#parts = parts;
  }

  async start(): Promise<void> {
    for (const part of this.#parts) {
      await part.start();
      this.#started.push(part);
    }
  }

  async stop(): Promise<void> {
    const started = this.#started.reverse();
    this.#started = [];
    for (const part of started) await part.stop();
  }
}
