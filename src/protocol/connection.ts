/**
 * Connections between the system's own processes: messages over WebSocket frames, a hello in both directions
 * first, and a heartbeat that ends a connection whose other side has gone silent.
 */
import { createServer, type RequestListener, type Server } from 'node:http';
import { type RawData, WebSocket, WebSocketServer } from 'ws';
import type { HybridClock } from '../model/hybrid-clock.js';
import { failure, type Result, success } from '../model/result.js';
import type { Startable } from '../model/startable.js';
import { Ticker } from '../model/ticker.js';
import { startLimit } from '../model/time-limit.js';
import { closeIdleConnectionsOnceRead } from '../server/idle-connections.js';
import { decode, encode } from './codec.js';
import type { HelloMessage, Message } from './messages.js';

/** Time between two heartbeats, in milliseconds. */
const HEARTBEAT_INTERVAL = 1_000;
/** A sign of life is asked for after this long without one, in milliseconds: timers may be early by some milliseconds. */
const PING_AFTER_IDLE = 900;
/** A connection on which nothing came for this long while this process ran is ended, unless its owner says otherwise, in
 * milliseconds. */
const RECEIVE_TIMEOUT = 3_500;
/** Time for the other side's hello, in milliseconds. */
const HELLO_TIMEOUT = 2_000;
/** Largest frame accepted, in bytes. */
const MAX_FRAME_BYTES = 80 * 2 ** 20;
/** Bytes that WebSocket and TCP/IP add to a frame. */
const FRAME_OVERHEAD_BYTES = 46;
/** Messages up to this size wait for others of the same turn of the event loop, to go in one frame, in bytes. */
const MAX_BATCHED_MESSAGE_BYTES = 16_384;

/** The heartbeats of all connections of this process. */
const heartbeats = new Ticker(HEARTBEAT_INTERVAL);

/** Why there is no connection. */
export type ConnectionError = { type: 'peerUnreachable'; address: string; reason: string };

/** Bytes sent and received by one process, as it counts them. */
export interface TrafficCounters {
  controlSent: number;
  controlReceived: number;
  chunksSent: number;
  chunksReceived: number;
  callsSent: number;
  callsReceived: number;
  malformedMessages: number;
}

type TrafficClass = 'control' | 'chunks' | 'calls';

/** A message as it goes to several connections: encoding it once costs less than once for each. */
export interface EncodedMessage {
  bytes: Buffer;
  trafficClass: TrafficClass;
}

/** Encodes a message for several connections of one process. */
export function encodeForMany(message: Message, { clock }: ConnectionContext): EncodedMessage {
  return { bytes: encode(message, clock.next()), trafficClass: trafficClassOf(message) };
}

/** Counters at zero. */
export function createTrafficCounters(): TrafficCounters {
  return {
    controlSent: 0,
    controlReceived: 0,
    chunksSent: 0,
    chunksReceived: 0,
    callsSent: 0,
    callsReceived: 0,
    malformedMessages: 0,
  };
}

/** What every connection of a process shares. */
export interface ConnectionContext {
  clock: HybridClock;
  counters: TrafficCounters;
  /** What this process says of itself; read anew for each connection. */
  hello: () => HelloMessage;
}

/** An open connection after both hellos. */
export class Connection {
  /** What the other side said of itself. */
  readonly remote: HelloMessage;
  /** A sign of life is asked for after this long without one, in milliseconds. */
  pingAfterIdle = PING_AFTER_IDLE;
  /** It is ended after this long without anything from the other side while this process ran, in milliseconds. */
  receiveTimeout = RECEIVE_TIMEOUT;
  onClose: () => void = () => {};
  /** Called when the other side has answered a sign of life that was sent at the given time. */
  onPong: (sentAt: number) => void = () => {};
  readonly #socket: WebSocket;
  readonly #context: ConnectionContext;
  readonly #stopHeartbeat: () => void;
  readonly #dialled: boolean;
  #lastReceivedAt = performance.now();
  #lastSentAt = performance.now();
  #lastPingAt = performance.now();
  #open = true;
  #handler: ((message: Message) => void) | undefined;
  /** Encoded messages that go in the next frame. */
  #outgoing: Buffer[] = [];
  /** What the next frame's overhead counts as. */
  #frameClass: TrafficClass = 'control';
  /** Messages that came before there was a handler. */
  #pending: Message[] = [];

  constructor(socket: WebSocket, remote: HelloMessage, context: ConnectionContext, dialled: boolean) {
    this.#dialled = dialled;
    this.#socket = socket;
    this.#context = context;
    this.remote = remote;
    socket.on('message', (data) => this.#receive(data));
    socket.on('pong', () => this.#handlePong());
    socket.on('ping', () => this.#handlePing());
    socket.on('close', () => this.#handleClose());
    socket.on('error', () => socket.terminate());
    this.#stopHeartbeat = heartbeats.add(() => this.#sendHeartbeat());
  }

  get open(): boolean {
    return this.#open;
  }

  /**
   * Time since anything came in which this process ran, in milliseconds; the side that dialled sees to it that something
   * does whenever it has been quiet for `pingAfterIdle`.
   */
  get receiveIdleTime(): number {
    return heartbeats.runningTime(this.#lastReceivedAt, performance.now());
  }

  /** Sets who handles messages; those that came before are handled at once. */
  handleMessages(handler: (message: Message) => void): void {
    this.#handler = handler;
    for (const message of this.#pending.splice(0)) this.#handle(handler, message);
  }

  /** Bytes handed over and not yet taken by the operating system. */
  get bufferedBytes(): number {
    return this.#outgoing.reduce((sum, { byteLength }) => sum + byteLength, this.#socket.bufferedAmount);
  }

  /**
   * Sends a message, in one frame with the others of this turn of the event loop: each frame costs both sides a turn.
   * Returns false when the connection is gone.
   */
  send(message: Message): boolean {
    if (!this.#open) return false;
    return this.#enqueue(encode(message, this.#context.clock.next()), trafficClassOf(message));
  }

  /** Sends a message that is encoded already; returns false when the connection is gone. */
  sendEncoded({ bytes, trafficClass }: EncodedMessage): boolean {
    return this.#open && this.#enqueue(bytes, trafficClass);
  }

  #enqueue(encoded: Buffer, trafficClass: TrafficClass): true {
    this.#context.counters[`${trafficClass}Sent`] += encoded.byteLength;
    if (encoded.byteLength > MAX_BATCHED_MESSAGE_BYTES) this.#flush();
    if (this.#outgoing.push(encoded) === 1) {
      this.#frameClass = trafficClass;
      setImmediate(() => this.#flush());
    }
    if (encoded.byteLength > MAX_BATCHED_MESSAGE_BYTES) this.#flush();
    return true;
  }

  /** Ends the connection at once. */
  close(): void {
    this.#flush();
    this.#socket.terminate();
    this.#handleClose();
  }

  #flush(): void {
    const encoded = this.#outgoing;
    if (encoded.length === 0) return;
    this.#outgoing = [];
    if (this.#socket.readyState !== WebSocket.OPEN) return;
    this.#socket.send(encoded.length === 1 ? encoded[0] : Buffer.concat(encoded));
    this.#context.counters[`${this.#frameClass}Sent`] += FRAME_OVERHEAD_BYTES;
    this.#lastSentAt = performance.now();
  }

  #receive(data: RawData): void {
    this.#noteReceived();
    const { clock, counters } = this.#context;
    const decoded = decode(data as Buffer);
    if (!decoded.ok) {
      counters.malformedMessages++;
      return this.close();
    }
    // Messages of one frame share its bytes.
    const frameBytes = (data as Buffer).byteLength + FRAME_OVERHEAD_BYTES;
    const bytes = Math.round(frameBytes / decoded.messages.length);
    for (const { message, stamp } of decoded.messages) {
      clock.observe(stamp);
      counters[`${trafficClassOf(message)}Received`] += bytes;
      if (this.#handler === undefined) this.#pending.push(message);
      else this.#handle(this.#handler, message);
    }
  }

  /** A message that its handler cannot take ends the connection, never the process. */
  #handle(handler: (message: Message) => void, message: Message): void {
    try {
      handler(message);
    } catch {
      this.#context.counters.malformedMessages++;
      this.close();
    }
  }

  #noteReceived(): void {
    this.#lastReceivedAt = performance.now();
  }

  /**
   * The side that dialled asks for a sign of life when either direction has been quiet; an agent always asks its
   * entry, since it must know that it is still known there.
   */
  #sendHeartbeat(): void {
    const now = performance.now();
    if (this.#isTimedOut(now)) return this.#closeIfTimedOut();
    const isIdle = now - Math.min(this.#lastReceivedAt, this.#lastSentAt) >= this.pingAfterIdle;
    const isHome = this.remote.role === 'entry' && this.#context.hello().role === 'agent';
    const isDue = isIdle || isHome;
    if (!this.#dialled || !isDue || this.#socket.readyState !== WebSocket.OPEN) return;
    this.#socket.ping();
    this.#lastSentAt = now;
    this.#lastPingAt = now;
    this.#context.counters.controlSent += FRAME_OVERHEAD_BYTES;
  }

  #isTimedOut(now: number): boolean {
    return heartbeats.runningTime(this.#lastReceivedAt, now) > this.receiveTimeout;
  }

  /** Ends the connection unless something waits to be read: timers come before what has arrived meanwhile. */
  #closeIfTimedOut(): void {
    setImmediate(() => {
      if (this.#open && this.#isTimedOut(performance.now())) this.close();
    });
  }

  #handlePong(): void {
    this.#noteReceived();
    this.onPong(this.#lastPingAt);
    this.#context.counters.controlReceived += FRAME_OVERHEAD_BYTES;
  }

  /** The WebSocket library answers each ping by itself. */
  #handlePing(): void {
    this.#noteReceived();
    this.#context.counters.controlReceived += FRAME_OVERHEAD_BYTES;
    this.#context.counters.controlSent += FRAME_OVERHEAD_BYTES;
  }

  #handleClose(): void {
    if (!this.#open) return;
    this.#open = false;
    this.#stopHeartbeat();
    this.onClose();
  }
}

/** Opens a connection to `address` (`host:port`). */
export function connect(
  address: string,
  context: ConnectionContext,
  signal: AbortSignal,
): Promise<Result<Connection, ConnectionError>> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve(unreachable(address, 'aborted'));
    const socket = new WebSocket(`ws://${address}`, {
      perMessageDeflate: false,
      maxPayload: MAX_FRAME_BYTES,
    });
    const abort = () => socket.terminate();
    signal.addEventListener('abort', abort, { once: true });
    socket.once('open', () => socket.send(encode(context.hello(), context.clock.next())));
    awaitHello(socket, context, true, (outcome) => {
      signal.removeEventListener('abort', abort);
      resolve(typeof outcome === 'string' ? unreachable(address, outcome) : success(outcome));
    });
  });
}

/** Accepts connections at `address`. */
export class ConnectionListener implements Startable {
  readonly #address: string;
  readonly #context: ConnectionContext;
  readonly #onConnection: (connection: Connection) => void;
  readonly #onRequest: RequestListener | undefined;
  #http: Server | undefined;
  #sockets: WebSocketServer | undefined;

  /** @param onRequest - answers plain HTTP requests at the same address */
  constructor(
    address: string,
    context: ConnectionContext,
    onConnection: (connection: Connection) => void,
    onRequest?: RequestListener,
  ) {
    this.#onRequest = onRequest;
    this.#address = address;
    this.#context = context;
    this.#onConnection = onConnection;
  }

  async start(): Promise<void> {
    const [host, port] = this.#address.split(':');
    const http = this.#onRequest === undefined ? createServer() : createServer(this.#onRequest);
    closeIdleConnectionsOnceRead(http);
    const options = { server: http, perMessageDeflate: false, maxPayload: MAX_FRAME_BYTES };
    const sockets = new WebSocketServer(options);
    sockets.on('connection', (socket) => this.#accept(socket));
    await new Promise<void>((resolve, reject) => {
      sockets.once('error', reject);
      http.listen(Number(port), host, resolve);
    });
    this.#http = http;
    this.#sockets = sockets;
  }

  async stop(): Promise<void> {
    for (const socket of this.#sockets?.clients ?? []) socket.terminate();
    this.#sockets?.close();
    this.#http?.closeAllConnections();
    await new Promise<void>((resolve) =>
      this.#http === undefined ? resolve() : this.#http.close(() => resolve()),
    );
    this.#http = undefined;
  }

  #accept(socket: WebSocket): void {
    awaitHello(socket, this.#context, false, (outcome) => {
      if (typeof outcome === 'string') return;
      socket.send(encode(this.#context.hello(), this.#context.clock.next()));
      this.#onConnection(outcome);
    });
  }
}

/** Takes the first message, which must be a hello; reports a connection or the reason for none. */
function awaitHello(
  socket: WebSocket,
  context: ConnectionContext,
  dialled: boolean,
  done: (outcome: Connection | string) => void,
): void {
  let settled = false;
  const fail = (reason: string) => {
    if (settled) return;
    settled = true;
    limit.cancel();
    socket.terminate();
    done(reason);
  };
  // A hello that has arrived by then is read first.
  const limit = startLimit(HELLO_TIMEOUT, () => setImmediate(() => fail('no hello in time')));
  socket.on('error', (cause) => fail(String(cause)));
  socket.once('close', () => fail('closed before the hello'));
  socket.once('message', (data) => {
    const decoded = decode(data as Buffer);
    const first = decoded.ok ? decoded.messages[0] : undefined;
    if (first?.message.type !== 'hello') return fail('the first message is not a hello');
    settled = true;
    limit.cancel();
    context.clock.observe(first.stamp);
    done(new Connection(socket, first.message, context, dialled));
  });
}

function unreachable(address: string, reason: string): { ok: false; error: ConnectionError } {
  return failure({ type: 'peerUnreachable', address, reason });
}

function trafficClassOf(message: Message): TrafficClass {
  if (message.type === 'chunk') return 'chunks';
  return message.type.startsWith('call') ? 'calls' : 'control';
}
