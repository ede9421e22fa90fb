/**
 * Sends messages as UDP datagrams, for content that is useless when it arrives late: datagrams may be lost and are not
 * retransmitted. With hundreds of entries and agents that all talk to one another, this avoids a connection with heartbeats
 * for each pair.
 */
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import { type Address, addressOf, parseAddress } from '../model/address.js';
import type { Startable } from '../model/startable.js';
import { decode, encode } from './codec.js';
import type { ConnectionContext } from './connection.js';
import type { Message } from './messages.js';

/** Bytes that UDP and IP headers add to a datagram. */
const DATAGRAM_OVERHEAD_BYTES = 28;
/** Destinations that are kept parsed: several times the agents of the largest deployment, whose addresses change with restarts. */
const MAX_DESTINATIONS = 10_000;

/** Handles a message; `from` is the `host:port` of its sender. */
export type DatagramHandler = (message: Message, from: string) => void;

/** Sends and receives messages at one address. */
export class DatagramEndpoint implements Startable {
  readonly #address: string;
  readonly #context: ConnectionContext;
  readonly #handler: DatagramHandler;
  #socket: Socket | undefined;
  /** Parsed destinations; undefined for what is no address. */
  readonly #destinations = new Map<string, Address | undefined>();
  /** Number of datagrams not yet handed to the operating system. */
  #unsent = 0;
  #onAllSent: (() => void) | undefined;

  /** @param address - `host:port` */
  constructor(address: string, context: ConnectionContext, handler: DatagramHandler) {
    this.#address = address;
    this.#context = context;
    this.#handler = handler;
  }

  /** Throws if the address cannot be bound. */
  async start(): Promise<void> {
    const { host: address, port } = addressOf(this.#address);
    const socket = createSocket('udp4');
    socket.on('message', (bytes, from) => this.#receive(bytes, from));
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.bind({ address, port, exclusive: true }, resolve);
    });
    socket.removeAllListeners('error');
    // A datagram that cannot be sent counts as lost; senders must cope with missing answers anyway.
    socket.on('error', () => {});
    this.#socket = socket;
  }

  /** Waits until queued datagrams are sent: the last message of an entry releases all slots that it had asked for. */
  async stop(): Promise<void> {
    const socket = this.#socket;
    this.#socket = undefined;
    if (this.#unsent > 0)
      await new Promise<void>((resolve) => {
        this.#onAllSent = resolve;
      });
    socket?.close();
  }

  /** Sends `message` to `host:port` without a delivery guarantee; what is no address gets nothing. */
  send(to: string, message: Message): void {
    const address = this.#destination(to);
    if (this.#socket === undefined || address === undefined) return;
    const { clock, counters } = this.#context;
    const bytes = encode(message, clock.next());
    counters.controlSent += bytes.byteLength + DATAGRAM_OVERHEAD_BYTES;
    this.#unsent++;
    this.#socket.send(bytes, address.port, address.host, () => this.#noteSent());
  }

  #destination(to: string): Address | undefined {
    if (!this.#destinations.has(to)) {
      if (this.#destinations.size >= MAX_DESTINATIONS) this.#destinations.clear();
      this.#destinations.set(to, parseAddress(to));
    }
    return this.#destinations.get(to);
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
