/** The life cycle of every part that holds connections, timers or listening sockets. */
export interface Startable {
  /** Returns once the part serves. */
  start(): Promise<void>;
  /** Releases everything; safe to call twice. */
  stop(): Promise<void>;
}

/** Starts parts in order and stops them in reverse order. */
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
