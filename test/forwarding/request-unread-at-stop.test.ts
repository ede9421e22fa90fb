/**
 * Guards against closing connections at the end of a stop while requests on them have not been read, so that they got no
 * answer. This happens if the process is stalled when they arrive: its timers then fire before its sockets are read.
 */
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import { blockEventLoop, until } from '../support.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { events, StandInBackEnd } from './stand-in-back-end.js';

/** Longer than the time for which connections stay open after the last answer. */
const STANDSTILL = 600;
/** Time from the stop signal at which little of the grace time is left, in milliseconds. */
const LATE_IN_STOP = 7_000;

let backEnd: StandInBackEnd;
let forwarding: ForwardingHarness;
/** Ends the stream that the back end began last. */
let endStream: () => void;
let callers: Caller[];

/** A caller that keeps its connection. */
class Caller {
  readonly #socket: Socket;
  #received = '';

  constructor(address: string) {
    const [host, port] = address.split(':');
    this.#socket = connect({ host, port: Number(port) });
    this.#socket.on('error', () => {});
    this.#socket.on('data', (bytes) => {
      this.#received += bytes.toString('latin1');
    });
    callers.push(this);
  }

  /** Number of answers of which the head has been received. */
  get answers(): number {
    return this.#received.split('HTTP/1.1 ').length - 1;
  }

  /** Number of answers that have been received to their end. */
  get wholeAnswers(): number {
    return this.#received.split(/\r\n0\r\n\r\n|content-length: 0\r\n(?:.+\r\n)*\r\n/i).length - 1;
  }

  get isClosed(): boolean {
    return this.#socket.closed;
  }

  send(id: string, body = ''): void {
    const head = ['POST /write/a HTTP/1.1', 'Host: api.example', `X-Request: ${id}`, 'x-key: key-a'];
    this.#socket.write(`${[...head, `Content-Length: ${body.length}`].join('\r\n')}\r\n\r\n${body}`);
  }

  close(): void {
    this.#socket.destroy();
  }
}

beforeEach(async () => {
  callers = [];
  backEnd = await new StandInBackEnd((request, response) => {
    const headers = {
      'x-request': String(request.headers['x-request']),
      'content-type': 'text/event-stream',
    };
    response.writeHead(200, headers);
    response.write(events(1, 1));
    endStream = () => response.end(events(2, 2));
  }).start();
  forwarding = new ForwardingHarness('billing');
  await forwarding.start({
    revision: 1,
    routes: [{ ...STREAM_ROUTE, targets: [{ service: 'billing', weight: 1 }] }],
    services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
    origin: undefined,
    limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
    tenants: undefined,
  });
  forwarding.list(['one', backEnd]);
});

afterEach(async () => {
  for (const caller of callers) caller.close();
  await forwarding.stop();
  await backEnd.stop();
});

/** A caller whose stream has begun, so that it has not been told to close its connection. */
async function callerWithStream(): Promise<Caller> {
  const caller = new Caller(forwarding.address);
  caller.send('first');
  await until(() => caller.answers === 1, 'the head of the stream');
  return caller;
}

/** Sends a request, and stalls the process until its timers are due; they fire before its sockets are read. */
async function sendDuringStandstill(caller: Caller, body?: string): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
  caller.send('second', body);
  blockEventLoop(STANDSTILL);
}

describe('a request that arrives during a standstill at the end of a stop is answered', () => {
  it('on a connection whose stream has just ended', async () => {
    const caller = await callerWithStream();
    forwarding.drain.begin(performance.now());
    const left = forwarding.leave();
    await sleep(100);
    endStream();
    await until(() => caller.wholeAnswers === 1, 'the end of the stream');
    await sendDuringStandstill(caller);
    await until(() => caller.isClosed || caller.answers === 2, 'the second answer');
    expect(caller.answers).toBe(2);
    endStream();
    await left;
    await until(() => caller.isClosed, 'the end of the connection');
    expect(caller.wholeAnswers).toBe(2);
  });

  it('with a body', async () => {
    const caller = await callerWithStream();
    forwarding.drain.begin(performance.now());
    const left = forwarding.leave();
    await sleep(100);
    endStream();
    await until(() => caller.wholeAnswers === 1, 'the end of the stream');
    await sendDuringStandstill(caller, 'b'.repeat(100_000));
    await until(() => caller.isClosed || caller.answers === 2, 'the second answer');
    expect(caller.answers).toBe(2);
    endStream();
    await left;
    await until(() => caller.isClosed, 'the end of the connection');
    expect(caller.wholeAnswers).toBe(2);
  });

  it('as the time of grace ends beside a stream that goes on', async () => {
    const caller = await callerWithStream();
    endStream();
    await until(() => caller.wholeAnswers === 1, 'the end of the stream');
    const other = await callerWithStream();
    forwarding.drain.begin(performance.now() - LATE_IN_STOP);
    const left = forwarding.leave();
    await sleep(100);
    await sendDuringStandstill(caller);
    await left;
    await until(() => caller.isClosed && other.isClosed, 'the end of the connections');
    expect(caller.wholeAnswers).toBe(2);
    expect(other.wholeAnswers).toBe(0);
  });
});
