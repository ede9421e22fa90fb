/**
 * A link on the loopback address that can be cut, one way or both: what is sent while it is cut waits, as with TCP. It
 * can also be slow, reset what passes, or leave the connections that are open silent for good while new ones pass.
 */
import { createServer, type Server, Socket } from 'node:net';

/** Directions in which nothing passes. */
export type Cut = 'none' | 'toTarget' | 'fromTarget' | 'both';

/** The two sides of one connection that passes. */
interface Pair {
  near: Socket;
  far: Socket;
  /** True once nothing passes any more, not even an end. */
  isSilent: boolean;
  /** When the last part from the target passes, in milliseconds of the monotonic clock. */
  lastPartAt: number;
}

/** Parts in which data pass. */
export interface PartSize {
  bytes: number;
  /** Time between two parts, in milliseconds. */
  interval: number;
}

/** Time over which recent bytes are averaged, in milliseconds. */
const RECENT_TIME = 1_500;

/** A link from `address` to `target` (`host:port`). */
export class CuttableLink {
  readonly address: string;
  readonly target: string;
  readonly #pairs = new Set<Pair>();
  #server: Server | undefined;
  #cut: Cut = 'none';
  /** What passes is late by this, in milliseconds. */
  delay = 0;
  /** What comes from the target passes in parts; undefined: at once. */
  parts: PartSize | undefined;
  /** Bytes from the target, exponentially decayed, as of `#countedAt`. */
  #recentBytes = 0;
  #countedAt = 0;

  constructor(address: string, target: string) {
    this.address = address;
    this.target = target;
  }

  /** Bytes that have recently come from the target. */
  get recentBytes(): number {
    return this.#recentBytes * Math.exp((this.#countedAt - performance.now()) / RECENT_TIME);
  }

  async start(): Promise<void> {
    const [host, port] = this.address.split(':');
    const server = createServer((near) => this.#join(near));
    await new Promise<void>((resolve) => server.listen(Number(port), host, resolve));
    this.#server = server;
  }

  /** Cuts the link, or lets it pass again. */
  cut(cut: Cut): void {
    this.#cut = cut;
    for (const pair of this.#pairs) this.#apply(pair);
  }

  /** Resets all connections that pass here. */
  reset(): void {
    for (const { near, far } of this.#pairs) {
      near.resetAndDestroy();
      far.destroy();
    }
  }

  /** The connections that are open now go silent for good, without an end or a reset; new ones pass. */
  silence(): void {
    for (const pair of this.#pairs) {
      pair.isSilent = true;
      this.#apply(pair);
    }
  }

  stop(): void {
    this.#server?.close();
    for (const { near, far } of this.#pairs) {
      near.destroy();
      far.destroy();
    }
  }

  #join(near: Socket): void {
    const [host, port] = this.target.split(':');
    const far = new Socket();
    far.connect(Number(port), host);
    const pair: Pair = { near, far, isSilent: false, lastPartAt: 0 };
    this.#pairs.add(pair);
    for (const [from, to] of [
      [near, far],
      [far, near],
    ]) {
      // Without it the link itself would hold small messages back for tens of milliseconds.
      from.setNoDelay(true);
      from.on('data', (data) => (from === far ? this.#passFromTarget(data, pair) : this.#pass(data, to)));
      from.on('error', () => to.destroy());
      from.on('close', () => {
        to.destroy();
        this.#pairs.delete(pair);
      });
    }
    this.#apply(pair);
  }

  /** Timers of the same delay end in the order in which they began. */
  #pass(data: Buffer, to: Socket): void {
    if (this.delay === 0) to.write(data);
    else setTimeout(() => to.write(data), this.delay);
  }

  #passFromTarget(data: Buffer, pair: Pair): void {
    const now = performance.now();
    this.#recentBytes = this.recentBytes + data.byteLength;
    this.#countedAt = now;
    if (this.parts === undefined && pair.lastPartAt <= now) return this.#pass(data, pair.near);
    const { bytes, interval } = this.parts ?? { bytes: data.byteLength, interval: 0 };
    for (let from = 0; from < data.byteLength; from += bytes) {
      pair.lastPartAt = Math.max(pair.lastPartAt, now) + interval;
      setTimeout(() => pair.near.write(data.subarray(from, from + bytes)), pair.lastPartAt - now);
    }
  }

  #apply({ near, far, isSilent }: Pair): void {
    if (isSilent || this.#cut === 'toTarget' || this.#cut === 'both') near.pause();
    else near.resume();
    if (isSilent || this.#cut === 'fromTarget' || this.#cut === 'both') far.pause();
    else far.resume();
  }
}
