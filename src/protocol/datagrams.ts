/**
 * Messages as datagrams, for what is worth nothing when it is late: they may be lost, and are not sent again. Between
 * hundreds of entries and agents that each speak to every other one, they spare a connection and its heartbeats a pair.
 */
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import type { Startable } from '../model/startable.js';
import { decode, encode } from './codec.js';
import type { ConnectionContext } from './connection.js';
import type { Message } from './messages.js';

/** Bytes that UDP and IP add to a datagram. */
const DATAGRAM_OVERHEAD_BYTES = 28;

/** Takes a message and `host:port` of its sender. */
export type DatagramHandler = (message: Message, from: string) => void;

/** Sends and receives messages at one address. */
export class DatagramEndpoint implements Startable {
  readonly #address: string;
  readonly #context: ConnectionContext;
  readonly #handler: DatagramHandler;
  #socket: Socket | undefined;
  /** Datagrams that have not been handed to the system yet. */
  #unsent = 0;
  #onAllSent: (() => void) | undefined;

  /** @param address - `host:port` */
  constructor(address: string, context: ConnectionContext, handler: DatagramHandler) {
    this.#address = address;
    this.#context = context;
    this.#handler = handler;
  }

  /** Throws where the address cannot be had. */
  async start(): Promise<void> {
    const [address, port] = this.#address.split(':');
    const socket = createSocket('udp4');
    socket.on('message', (bytes, from) => this.#receive(bytes, from));
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.bind({ address, port: Number(port), exclusive: true }, resolve);
    });
    socket.removeAllListeners('error');
    // A datagram that could not be sent is lost, as others are: whoever waits for an answer goes without.
    socket.on('error', () => {});
    this.#socket = socket;
  }

  /** Sends what was to be sent before: what an entry says last gives back all that it had asked for. */
  async stop(): Promise<void> {
    const socket = this.#socket;
    this.#socket = undefined;
    if (this.#unsent > 0)
      await new Promise<void>((resolve) => {
        this.#onAllSent = resolve;
      });
    socket?.close();
  }

  /** Sends `message` to `host:port`; it may be lost. */
  send(to: string, message: Message): void {
    if (this.#socket === undefined) return;
    const { clock, counters } = this.#context;
    const bytes = encode(message, clock.next());
    const [address, port] = to.split(':');
    counters.controlSent += bytes.byteLength + DATAGRAM_OVERHEAD_BYTES;
    this.#unsent++;
    this.#socket.send(bytes, Number(port), address, () => this.#noteSent());
  }

  #noteSent(): void {
    if (--this.#unsent === 0) this.#onAllSent?.();
  }

  #receive(bytes: Buffer, { address, port }: RemoteInfo): void {
    const { clock, counters } = this.#context;
    counters.controlReceived += bytes.byteLength + DATAGRAM_OVERHEAD_BYTES;
    const decoded = decode(bytes);
    if (!decoded.ok) {
      counters.malformedMessages++;
      return;
    }
    for (const { message, stamp } of decoded.messages) {
      clock.observe(stamp);
      this.#handler(message, `${address}:${port}`);
    }
  }
}
