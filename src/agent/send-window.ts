/** How much of an answer may be on its way: the sender waits while the receiver has not taken what was sent. */

/** Bytes that may be sent and not yet taken. */
export const WINDOW_BYTES = 256 * 1_024;

/** The window of one answer. */
export class SendWindow {
  #outstanding = 0;
  #resume: (() => void) | undefined;

  /** Notes bytes that were sent. */
  sent(bytes: number): void {
    this.#outstanding += bytes;
  }

  /** The receiver has taken bytes. */
  taken(bytes: number): void {
    this.#outstanding -= bytes;
    if (this.#outstanding < WINDOW_BYTES) this.#resume?.();
  }

  /** Returns once there is room; rejects when `signal` aborts. */
  async waitForRoom(signal: AbortSignal): Promise<void> {
    while (this.#outstanding >= WINDOW_BYTES) {
      signal.throwIfAborted();
      await new Promise<void>((resolve) => {
        this.#resume = resolve;
        signal.addEventListener('abort', () => resolve(), { once: true });
      });
    }
  }
}
