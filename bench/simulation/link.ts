/** Links as the burst meets them: bytes pass one after another at the link's rate. */

/** Whether both directions of a link draw on one budget (`shared`) or each has its own (`full`). */
export type Duplex = 'shared' | 'full';

/** A machine's link. Times are in milliseconds, sizes in bytes. */
export class SimulatedLink {
  readonly #bytesPerMillisecond: number;
  readonly #duplex: Duplex;
  #outFreeAt = 0;
  #inFreeAt = 0;
  /** Nothing passes before this time. */
  stalledUntil = 0;

  constructor(bytesPerMillisecond: number, duplex: Duplex) {
    this.#bytesPerMillisecond = bytesPerMillisecond;
    this.#duplex = duplex;
  }

  /** Sends `bytes` from time `now` on; returns when the last one has left. */
  send(now: number, bytes: number): number {
    const end = this.#pass(now, this.#outFreeAt, bytes);
    this.#outFreeAt = end;
    if (this.#duplex === 'shared') this.#inFreeAt = end;
    return end;
  }

  /** Receives `bytes` that arrive at time `now`; returns when the last one is in. */
  receive(now: number, bytes: number): number {
    const end = this.#pass(now, this.#inFreeAt, bytes);
    this.#inFreeAt = end;
    if (this.#duplex === 'shared') this.#outFreeAt = end;
    return end;
  }

  #pass(now: number, freeAt: number, bytes: number): number {
    const start = Math.max(now, freeAt, this.stalledUntil);
    return start + bytes / this.#bytesPerMillisecond;
  }
}
