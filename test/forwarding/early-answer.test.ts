/**
 * Guards against a caller's connection that is paused for good: a back end answered a long body before reading it, and the
 * caller's next request on the kept connection was never read. Covers every way in which a request is answered before its body
 * has been read; whatever happens, the caller has the whole answer, and its connection serves the next request or is closed as
 * announced.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { until } from '../support.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { billingConfiguration, routeNamed } from './routes.js';
import type { StandInBackEnd } from './stand-in-back-end.js';

const LONG_BODY = 1_000_000;
const BODY_LIMIT = 2_000_000;
/** A caller sends this many bytes at a time, and pauses in between for this time in milliseconds. */
const PART = 20_000;
const PAUSE = 2;
/** Time-out of the route, and the time in which a kept connection must serve the next request, in milliseconds. */
const ROUTE_TIMEOUT = 1_000;
const NEXT_ANSWER = 500;
/** Time in which a connection closes after an answer that announces it, in milliseconds. */
const CLOSE_TIME = 2_000;

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

/** Answers short requests; long ones are left to `handler`, before their body has been read. */
class EarlyBackEnd {
  readonly targets: string[] = [];
  handler: Handler = () => {};
  #server: Server | undefined;

  get address(): string {
    return `127.0.0.1:${(this.#server!.address() as AddressInfo).port}`;
  }

  async start(): Promise<this> {
    const server = createServer((request, response) => {
      request.on('error', () => {});
      response.on('error', () => {});
      this.targets.push(`${request.method} ${request.url}`);
      if (request.method === 'POST') return this.handler(request, response);
      answer(200, 'next')(request, response);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    this.#server = server;
    return this;
  }

  async stop(): Promise<void> {
    this.#server?.closeAllConnections();
    await new Promise((resolve) => this.#server?.close(resolve));
  }
}

function answer(status: number, body: string, headers: Record<string, string> = {}): Handler {
  return (request, response) => {
    const id = String(request.headers['x-request']);
    response.writeHead(status, { 'x-request': id, 'content-length': String(body.length), ...headers });
    response.end(body);
  };
}

/** Answers, keeps the connection, and reads the body later. */
function answerAndReadLater(status: number, headers: Record<string, string> = {}): Handler {
  return (request, response) => {
    answer(status, 'early', headers)(request, response);
    setTimeout(() => request.resume(), 50);
  };
}

interface ReceivedAnswer {
  status: number;
  body: string;
  mustClose: boolean;
}

/** A caller with one kept connection; reads answers by their length. */
class Caller {
  readonly #socket: Socket;
  #received = '';
  isClosed = false;
  isReset = false;

  constructor(address: string) {
    const [host, port] = address.split(':');
    this.#socket = connect({ host, port: Number(port) });
    this.#socket.on('error', () => {
      this.isReset = true;
    });
    this.#socket.on('close', () => {
      this.isClosed = true;
    });
    this.#socket.on('data', (part) => {
      this.#received += part.toString('latin1');
    });
  }

  async sendLong(framing: Framing, size = LONG_BODY, path = '/save/a', sent = size): Promise<void> {
    const head = [`POST ${path} HTTP/1.1`, 'Host: api.example', 'x-request: long', 'x-key: key-a'];
    head.push(framing === 'chunked' ? 'Transfer-Encoding: chunked' : `Content-Length: ${size}`);
    if (framing === 'expected') head.push('Expect: 100-continue');
    this.#socket.write(`${head.join('\r\n')}\r\n\r\n`);
    // Looks like a request wherever it is cut.
    const text = 'GET /look/smuggled HTTP/1.1\r\nHost: api.example\r\nx-request: s\r\nx-key: key-a\r\n\r\n';
    const body = Buffer.from(text.repeat(Math.ceil(size / text.length)).slice(0, size));
    for (let from = 0; from < sent && !this.isClosed; from += PART) {
      const part = body.subarray(from, Math.min(sent, from + PART));
      if (framing === 'chunked') this.#socket.write(`${part.byteLength.toString(16)}\r\n`);
      this.#socket.write(part);
      if (framing === 'chunked') this.#socket.write('\r\n');
      await sleep(PAUSE);
    }
    if (framing === 'chunked' && sent === size) this.#socket.write('0\r\n\r\n');
  }

  sendShort(): void {
    const head = ['GET /look/b HTTP/1.1', 'Host: api.example', 'x-request: short', 'x-key: key-a'];
    this.#socket.write(`${head.join('\r\n')}\r\n\r\n`);
  }

  /** The next answer, without interim ones; undefined if it is not whole within `milliseconds`. */
  async answer(milliseconds: number): Promise<ReceivedAnswer | undefined> {
    const endsAt = performance.now() + milliseconds;
    for (;;) {
      const taken = this.#take();
      if (taken !== undefined && taken.status >= 200) return taken;
      if (taken === undefined && (this.isClosed || performance.now() > endsAt)) return undefined;
      if (taken === undefined) await sleep(5);
    }
  }

  #take(): ReceivedAnswer | undefined {
    const end = this.#received.indexOf('\r\n\r\n');
    if (end < 0) return undefined;
    const head = this.#received.slice(0, end);
    const length = Number(/content-length: *(\d+)/i.exec(head)?.[1] ?? 0);
    if (this.#received.length < end + 4 + length) return undefined;
    const body = this.#received.slice(end + 4, end + 4 + length);
    this.#received = this.#received.slice(end + 4 + length);
    return { status: Number(head.split(' ')[1]), body, mustClose: /connection: *close/i.test(head) };
  }

  close(): void {
    this.#socket.destroy();
  }
}

type Framing = 'length' | 'chunked' | 'expected';
const FRAMINGS: readonly Framing[] = ['length', 'chunked', 'expected'];

let backEnd: EarlyBackEnd;
let forwarding: ForwardingHarness;
let caller: Caller;

beforeEach(async () => {
  backEnd = await new EarlyBackEnd().start();
  forwarding = new ForwardingHarness('billing');
  const timeout = ROUTE_TIMEOUT;
  const configuration = billingConfiguration(
    routeNamed('save', { timeout }),
    routeNamed('look', { timeout }),
  );
  await forwarding.start({ ...configuration, limits: { ...configuration.limits, bodyBytes: BODY_LIMIT } });
  forwarding.list(['one', backEnd as unknown as StandInBackEnd]);
  caller = new Caller(forwarding.address);
});

afterEach(async () => {
  caller.close();
  await forwarding.stop();
  await backEnd.stop();
});

/** Checks the answer to a long request, and that its connection serves the next one or closes as announced. */
async function expectUsableConnection(statuses: readonly number[], body?: string): Promise<void> {
  const first = await caller.answer(2 * ROUTE_TIMEOUT);
  expect(first?.status).toBeOneOf([...statuses]);
  if (body !== undefined) expect(first!.body).toBe(body);
  if (first!.mustClose) {
    const answeredAt = performance.now();
    await until(() => caller.isClosed, 'the end of the connection');
    expect(performance.now() - answeredAt).toBeLessThan(CLOSE_TIME);
    expect(caller.isReset).toBe(false);
    return;
  }
  caller.sendShort();
  const next = await caller.answer(NEXT_ANSWER);
  expect(next).toEqual({ status: 200, body: 'next', mustClose: false });
}

/** Nothing of a body may be taken for a request. */
function expectNoOtherRequests(): void {
  expect(backEnd.targets.filter((target) => !['POST /save/a', 'GET /look/b'].includes(target))).toEqual([]);
}

describe.each(FRAMINGS)('after an early answer to a body sent by %s,', (framing) => {
  it.each([200, 413, 500])('the connection serves the next request (status %i)', async (status) => {
    backEnd.handler = answerAndReadLater(status);
    await caller.sendLong(framing);
    await expectUsableConnection([status], 'early');
    expect(backEnd.targets.filter((target) => target === 'GET /look/b')).toHaveLength(1);
    expectNoOtherRequests();
  });

  it('the connection serves the next request if the back end closes its own', async () => {
    backEnd.handler = answer(200, 'early', { connection: 'close' });
    await caller.sendLong(framing);
    await expectUsableConnection([200, 502]);
    expectNoOtherRequests();
  });

  it('an answer that breaks off is cut or replaced by an error, and the connection closes', async () => {
    backEnd.handler = (request, response) => {
      answer(200, 'early', { 'content-length': '100000' })(request, response);
      setTimeout(() => request.socket.destroy(), 20);
    };
    await caller.sendLong(framing);
    // An answer of which a part has been passed on is cut.
    const first = await caller.answer(2 * ROUTE_TIMEOUT);
    expect(first?.status ?? 502).toBe(502);
    await until(() => caller.isClosed, 'the end of the connection');
    expectNoOtherRequests();
  });

  it('a refusal of the back end leaves a connection that can be used or closes', async () => {
    backEnd.handler = answerAndReadLater(503, { 'x-not-run': '1' });
    await caller.sendLong(framing);
    await expectUsableConnection([503]);
    expectNoOtherRequests();
  });
});

describe.each(FRAMINGS)(
  'an error of the system that comes before a body sent by %s has been read',
  (framing) => {
    it('reaches the caller if no back end can take the request', async () => {
      forwarding.list();
      await caller.sendLong(framing);
      await expectUsableConnection([503]);
    });

    it('reaches the caller if there is no route', async () => {
      await caller.sendLong(framing, LONG_BODY, '/none/a');
      await expectUsableConnection([404]);
    });

    it('reaches the caller if the back end neither reads nor answers', async () => {
      await caller.sendLong(framing);
      await expectUsableConnection([504]);
    });

    it('is 413 if the body exceeds the limit', async () => {
      backEnd.handler = (request) => request.resume();
      await caller.sendLong(framing, BODY_LIMIT + LONG_BODY);
      await expectUsableConnection([413]);
      expectNoOtherRequests();
    });
  },
);

it('a caller that stops in the midst of its body after an early answer is not kept', async () => {
  backEnd.handler = answerAndReadLater(200);
  await caller.sendLong('length', LONG_BODY, '/save/a', LONG_BODY / 2);
  expect((await caller.answer(ROUTE_TIMEOUT))?.status).toBe(200);
  caller.close();
  await until(() => forwarding.active === 0, 'the end of the request');
  expectNoOtherRequests();
});

it('a body that exceeds its limit says nothing about the health of the back end', async () => {
  backEnd.handler = (request) => request.resume();
  await caller.sendLong('chunked', BODY_LIMIT + LONG_BODY);
  await caller.answer(2 * ROUTE_TIMEOUT);
  expect(forwarding.backEnds.rows.get('one')!.health.failureShare).toBe(0);
});
