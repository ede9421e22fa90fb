/** Guards against an answer that looks complete although the rest of it was dropped, unread by its caller, as the entry stopped. */
import { connect } from 'node:net';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { looksComplete, type ReceivedBytes } from '../cut-answers.js';
import { until } from '../support.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { billingConfiguration, routeNamed } from './routes.js';
import { type Script, StandInBackEnd } from './stand-in-back-end.js';

const MIB = 1_048_576;
/** From what the buffers of a connection take to more than an entry holds of an answer. */
const SIZES = Array.from({ length: 24 }, (_, index) => (index + 1) * (MIB / 3));
const TIMEOUT = 20_000;
/** Time in which the entry passes on what the buffers take, in milliseconds. */
const FILLING_TIME = 1_500;

const FRAMINGS: Array<[name: string, script: Script]> = [
  ['a length', answer((response, size) => response.setHeader('content-length', size))],
  ['chunks', answer(() => {})],
  ['its connection', answer((response) => Object.assign(response, { useChunkedEncodingByDefault: false }))],
];

/** Answers with as many bytes as the path tells. */
function answer(frame: (response: Parameters<Script>[1], size: number) => void): Script {
  return (request, response) => {
    const size = Number(request.url?.split('/').pop());
    frame(response, size);
    response.writeHead(200, { 'x-request': String(request.headers['x-request']) });
    response.end(Buffer.alloc(size, 'b'));
  };
}

let forwarding: ForwardingHarness;
let backEnd: StandInBackEnd;

beforeEach(async () => {
  backEnd = await new StandInBackEnd(() => {}).start();
  forwarding = new ForwardingHarness('billing');
  await forwarding.start(billingConfiguration(routeNamed('long', { timeout: TIMEOUT })));
  forwarding.list(['one', backEnd, { slots: SIZES.length }]);
});

afterEach(() => backEnd.stop());

/** Sends a request and reads only once `mayRead` resolves. */
function askAndReadLate(size: number, mayRead: Promise<void>): Promise<ReceivedBytes & { size: number }> {
  const [host, port] = forwarding.address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port), allowHalfOpen: true });
    let text = '';
    let wasReset = false;
    socket.pause();
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
    });
    socket.on('end', () => {
      wasReset ||= socket.remoteAddress === undefined;
      socket.end();
    });
    socket.on('error', () => {
      wasReset = true;
    });
    socket.on('close', () => resolve({ text, wasReset, size }));
    socket.write(`GET /long/${size} HTTP/1.1\r\nhost: api.example\r\nx-request: r${size}\r\n\r\n`);
    void mayRead.then(() => socket.resume());
  });
}

it.each(FRAMINGS)(
  'an answer that ends with %s is whole, or its connection is reset',
  async (_name, script) => {
    backEnd.answer(script);
    let read = () => {};
    const mayRead = new Promise<void>((resolve) => {
      read = resolve;
    });
    const answers = SIZES.map((size) => askAndReadLate(Math.round(size), mayRead));
    await until(() => backEnd.requests.length === SIZES.length, 'all requests');
    await new Promise((resolve) => setTimeout(resolve, FILLING_TIME));
    await forwarding.stop();
    read();
    let whole = 0;
    for (const received of await Promise.all(answers)) {
      const bodyBytes = received.text.split('b').length - 1;
      const isWhole = looksComplete(received) && bodyBytes >= received.size;
      if (isWhole) whole++;
      expect(isWhole || received.wasReset, `${bodyBytes} of ${received.size} bytes`).toBe(true);
    }
    expect(whole).toBeGreaterThan(0);
    expect(whole).toBeLessThan(SIZES.length);
  },
);
