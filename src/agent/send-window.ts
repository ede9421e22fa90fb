/** Flow control for answers: the sender waits while too many bytes that it has sent are unacknowledged. */

/** Number of unacknowledged bytes from which the sender waits. */
export const WINDOW_BYTES = 256 * 1_024;

/** The send window of one answer. */
export class SendWindow {
  #outstanding = 0;
  #resume: (() => void) | undefined;

  /** Records bytes as sent. */
  sent(bytes: number): void {
    this.#outstanding += bytes;
  }

  /** Records bytes as acknowledged by the receiver. */
  taken(bytes: number): void {
    this.#outstanding -= bytes;
    if (this.#outstanding < WINDOW_BYTES) this.#resume?.();
  }

  /** Resolves once the window has room; rejects if `signal` aborts before. */
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
