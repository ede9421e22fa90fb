/**
 * Connections between the system's own processes: messages in WebSocket frames. Both sides send a hello first, and a
 * heartbeat closes a connection whose remote side has stopped sending.
 */
import { createServer, type RequestListener, type Server } from 'node:http';
import { type RawData, WebSocket, WebSocketServer } from 'ws';
import { parseAddress } from '../model/address.js';
import type { HybridClock, Stamp } from '../model/hybrid-clock.js';
import { failure, type Result, success } from '../model/result.js';
import type { Startable } from '../model/startable.js';
import { Ticker } from '../model/ticker.js';
import { startLimit } from '../model/time-limit.js';
import { closeIdleConnectionsOnceRead } from '../server/idle-connections.js';
import { listen } from '../server/listen.js';
import { decode, encode, type StampedMessage } from './codec.js';
import type { HelloMessage, Message } from './messages.js';

/** Interval between heartbeats, in milliseconds. */
const HEARTBEAT_INTERVAL = 1_000;
/**
 * Default idle time after which a ping is sent, in milliseconds. It is a little below the heartbeat interval because timers
 * may fire some milliseconds early.
 */
const PING_AFTER_IDLE = 900;
/**
 * Default time without received data, counting only time in which this process ran, after which a connection is closed, in
 * milliseconds.
 */
const RECEIVE_TIMEOUT = 3_500;
/** Time within which the remote hello must arrive, in milliseconds. */
const HELLO_TIMEOUT = 2_000;
/** Largest frame accepted, in bytes. */
const MAX_FRAME_BYTES = 80 * 2 ** 20;
/** Bytes that WebSocket, TCP and IP headers add to a frame. */
const FRAME_OVERHEAD_BYTES = 46;
/** Messages up to this size, in bytes, are batched into one frame with others of the same event loop iteration. */
const MAX_BATCHED_MESSAGE_BYTES = 16_384;

/** One ticker drives the heartbeats of all connections of this process. */
const heartbeats = new Ticker(HEARTBEAT_INTERVAL);

/** Why a connection could not be established. */
export type ConnectionError = { type: 'peerUnreachable'; address: string; reason: string };

/** Bytes sent and received by one process, by traffic class, and the number of malformed messages. */
export interface TrafficCounters {
  controlSent: number;
  controlReceived: number;
  chunksSent: number;
  chunksReceived: number;
  callsSent: number;
  callsReceived: number;
  malformedMessages: number;
}

/** What one process has sent to others over connections. */
export interface SendFigures {
  /** Bytes of messages by type, without framing; those on other connections count each time. */
  readonly bytesByType: Partial<Record<Message['type'], number>>;
  /**
   * Longest time from sending a frame until the operating system had taken its last byte, in milliseconds, by traffic class; frames
   * that are taken at once count as 0.
   */
  readonly longestWait: Partial<Record<TrafficClass, number>>;
}

type TrafficClass = 'control' | 'chunks' | 'calls';

/** A message that is encoded once and sent on several connections. */
export interface EncodedMessage {
  bytes: Buffer;
  type: Message['type'];
}

/** Encodes a message for several connections of one process. */
export function encodeForMany(message: Message, { clock }: ConnectionContext): EncodedMessage {
  return { bytes: encode(message, clock.next()), type: message.type };
}

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

/** State shared by all connections of a process. */
export interface ConnectionContext {
  clock: HybridClock;
  counters: TrafficCounters;
  /** Updated by all connections; nothing is recorded if it is absent. */
  sent?: SendFigures;
  /** Creates the hello of this process; called for each connection, as its content may change. */
  hello: () => HelloMessage;
}

/** A connection on which both hellos have been exchanged. */
export class Connection {
  /** The hello of the remote side. */
  readonly remote: HelloMessage;
  /** Idle time in either direction after which a ping is sent, in milliseconds. */
  pingAfterIdle = PING_AFTER_IDLE;
  /** Time without received data, counting only time in which this process ran, after which the connection is closed, in ms. */
  receiveTimeout = RECEIVE_TIMEOUT;
  onClose: () => void = () => {};
  /** Called when a pong arrives, with the time at which its ping was sent. */
  onPong: (sentAt: number) => void = () => {};
  readonly #socket: WebSocket;
  readonly #context: ConnectionContext;
  readonly #stopHeartbeat: () => void;
  readonly #dialled: boolean;
  #lastReceivedAt = performance.now();
  #lastSentAt = performance.now();
  #lastPingAt = performance.now();
  #open = true;
  #handler: ((message: Message, stamp: Stamp) => void) | undefined;
  /** Encoded messages to be sent in the next frame. */
  #outgoing: Buffer[] = [];
  /** Traffic class to which the overhead of the next frame is counted. */
  #frameClass: TrafficClass = 'control';
  /** Messages received before a handler was set. */
  #pending: StampedMessage[] = [];

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
   * Time since data was last received, counting only time in which this process ran, in milliseconds. It stays bounded on a
   * healthy connection, because the dialling side sends a ping after `pingAfterIdle`.
   */
  get receiveIdleTime(): number {
    return heartbeats.runningTime(this.#lastReceivedAt, performance.now());
  }

  /** Sets the message handler and passes it the messages received so far, each with the stamp of the sender's clock. */
  handleMessages(handler: (message: Message, stamp: Stamp) => void): void {
    this.#handler = handler;
    for (const { message, stamp } of this.#pending.splice(0)) this.#handle(handler, message, stamp);
  }

  /** Bytes queued for sending that the operating system has not accepted yet. */
  get bufferedBytes(): number {
    return this.#outgoing.reduce((sum, { byteLength }) => sum + byteLength, this.#socket.bufferedAmount);
  }

  /**
   * Sends a message. Messages of the same event loop iteration are batched into one frame, because each frame costs both
   * sides an iteration. Returns false if the connection is closed.
   */
  send(message: Message): boolean {
    if (!this.#open) return false;
    return this.#enqueue(encode(message, this.#context.clock.next()), message.type);
  }

  /** Sends an encoded message; returns false if the connection is closed. */
  sendEncoded({ bytes, type }: EncodedMessage): boolean {
    return this.#open && this.#enqueue(bytes, type);
  }

  #enqueue(encoded: Buffer, type: Message['type']): true {
    const trafficClass = trafficClassOf(type);
    const { sent } = this.#context;
    if (sent !== undefined) sent.bytesByType[type] = (sent.bytesByType[type] ?? 0) + encoded.byteLength;
    this.#context.counters[`${trafficClass}Sent`] += encoded.byteLength;
    if (encoded.byteLength > MAX_BATCHED_MESSAGE_BYTES) this.#flush();
    if (this.#outgoing.push(encoded) === 1) {
      this.#frameClass = trafficClass;
      setImmediate(() => this.#flush());
    }
    if (encoded.byteLength > MAX_BATCHED_MESSAGE_BYTES) this.#flush();
    return true;
  }

  /** Flushes batched messages and terminates the connection without a closing handshake. */
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
    this.#socket.send(encoded.length === 1 ? encoded[0] : Buffer.concat(encoded), this.#waitRecorder());
    this.#context.counters[`${this.#frameClass}Sent`] += FRAME_OVERHEAD_BYTES;
    this.#lastSentAt = performance.now();
  }

  /** Records how long the frame that is being sent has waited once the operating system has taken it. */
  #waitRecorder(): (() => void) | undefined {
    const { sent } = this.#context;
    if (sent === undefined) return undefined;
    const sentAt = performance.now();
    const trafficClass = this.#frameClass;
    return () => {
      const waited = performance.now() - sentAt;
      sent.longestWait[trafficClass] = Math.max(sent.longestWait[trafficClass] ?? 0, waited);
    };
  }

  #receive(data: RawData): void {
    this.#noteReceived();
    const { clock, counters } = this.#context;
    const decoded = decode(data as Buffer);
    if (!decoded.ok) {
      counters.malformedMessages++;
      return this.close();
    }
    // The bytes of the frame are divided equally among its messages.
    const frameBytes = (data as Buffer).byteLength + FRAME_OVERHEAD_BYTES;
    const bytes = Math.round(frameBytes / decoded.messages.length);
    for (const { message, stamp } of decoded.messages) {
      clock.observe(stamp);
      counters[`${trafficClassOf(message.type)}Received`] += bytes;
      if (this.#handler === undefined) this.#pending.push({ message, stamp });
      else this.#handle(this.#handler, message, stamp);
    }
  }

  /** Closes the connection if the handler throws, so that a bad message cannot end the process. */
  #handle(handler: (message: Message, stamp: Stamp) => void, message: Message, stamp: Stamp): void {
    try {
      handler(message, stamp);
    } catch {
      this.#context.counters.malformedMessages++;
      this.close();
    }
  }

  #noteReceived(): void {
    this.#lastReceivedAt = performance.now();
  }

  /**
   * Runs at each heartbeat. The dialling side sends a ping if either direction has been idle; an agent always pings its home
   * entry, because it must know that the entry still considers it connected.
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

  /** Closes the connection unless data is waiting to be read: timers run before sockets are read. */
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

  /** Counts a ping and its pong, which the WebSocket library sends by itself. */
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

/** What is used of a connection; implemented by {@link Connection}. */
export type PeerConnection = Pick<Connection, keyof Connection>;

/** Opens a connection to `address` (`host:port`). */
export type Connect = (
  address: string,
  context: ConnectionContext,
  signal: AbortSignal,
) => Promise<Result<PeerConnection, ConnectionError>>;

/** Opens a connection to `address` (`host:port`). */
export function connect(
  address: string,
  context: ConnectionContext,
  signal: AbortSignal,
): Promise<Result<Connection, ConnectionError>> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve(unreachable(address, 'aborted'));
    if (parseAddress(address) === undefined) return resolve(unreachable(address, 'not an address'));
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

/** Accepts connections at `address` (`host:port`). */
export class ConnectionListener implements Startable {
  readonly #address: string;
  readonly #context: ConnectionContext;
  readonly #onConnection: (connection: Connection) => void;
  readonly #onRequest: RequestListener | undefined;
  #http: Server | undefined;
  #sockets: WebSocketServer | undefined;

  /** @param onRequest - handles plain HTTP requests at the same address */
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
    const http = this.#onRequest === undefined ? createServer() : createServer(this.#onRequest);
    closeIdleConnectionsOnceRead(http);
    const options = { server: http, perMessageDeflate: false, maxPayload: MAX_FRAME_BYTES };
    const sockets = new WebSocketServer(options);
    sockets.on('connection', (socket) => this.#accept(socket));
    // The WebSocket server repeats the errors of the HTTP server, which are handled there.
    sockets.on('error', () => {});
    await listen(http, this.#address);
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

/** Waits for the first message, which must be a hello; calls `done` with the connection or the reason for the failure. */
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
  // Sockets are read before the immediate runs, so a hello that has arrived by then is still accepted.
  const limit = startLimit(HELLO_TIMEOUT, () => setImmediate(() => fail('no hello within the time limit')));
  socket.on('error', (cause) => fail(String(cause)));
  socket.once('close', () => fail('connection closed before the hello'));
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

function trafficClassOf(type: Message['type']): TrafficClass {
  if (type === 'chunk') return 'chunks';
  return type.startsWith('call') ? 'calls' : 'control';
}
