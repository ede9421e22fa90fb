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
}

/** A link from `address` to `target` (`host:port`). */
export class CuttableLink {
  readonly address: string;
  readonly target: string;
  readonly #pairs = new Set<Pair>();
  #server: Server | undefined;
  #cut: Cut = 'none';
  /** What passes is late by this, in milliseconds. */
  delay = 0;

  constructor(address: string, target: string) {
    this.address = address;
    this.target = target;
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
    const pair: Pair = { near, far, isSilent: false };
    this.#pairs.add(pair);
    for (const [from, to] of [
      [near, far],
      [far, near],
    ]) {
      // Without it the link itself would hold small messages back for tens of milliseconds.
      from.setNoDelay(true);
      from.on('data', (data) => this.#pass(data, to));
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

  #apply({ near, far, isSilent }: Pair): void {
    if (isSilent || this.#cut === 'toTarget' || this.#cut === 'both') near.pause();
    else near.resume();
    if (isSilent || this.#cut === 'fromTarget' || this.#cut === 'both') far.pause();
    else far.resume();
  }
}
