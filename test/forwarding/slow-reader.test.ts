/**
 * Callers that read slowly or not at all. A back end breaks off an answer that is left unread for some seconds, and its slot is
 * taken until then, so an entry reads on and holds what its caller has not read yet, up to a bound.
 */
import { request as httpRequest, type IncomingMessage } from 'node:http';
import { afterEach, expect, it } from 'vitest';
import { ForwardingHarness } from './forwarding-harness.js';
import { billingConfiguration, routeNamed } from './routes.js';
import { StandInBackEnd } from './stand-in-back-end.js';

const EVENT = (id: number, bytes: number) => `id: ${id}\ndata: ${'x'.repeat(bytes)}\n\n`;
/** More than the buffers of a loopback connection hold whose reader does not read. */
const FILLING_EVENTS = 64;
const EVENT_BYTES = 65_536;

let forwarding: ForwardingHarness;
let backEnd: StandInBackEnd;

/** Starts an entry before a back end that sends a stream of `events`, one each turn, and notes when all are sent. */
async function startWith(events: readonly string[], changes = {}): Promise<{ hasSentAll: () => boolean }> {
  let sentAll = false;
  backEnd = await new StandInBackEnd((request, response) => {
    response.writeHead(200, {
      'x-request': String(request.headers['x-request']),
      'content-type': 'text/event-stream',
    });
    const send = (index: number): void => {
      if (index === events.length) return void response.end(() => (sentAll = true));
      if (response.write(events[index])) setImmediate(() => send(index + 1));
      else response.once('drain', () => send(index + 1));
    };
    send(0);
  }).start();
  forwarding = new ForwardingHarness('billing');
  await forwarding.start(billingConfiguration(routeNamed('r', { isStream: true, ...changes })));
  forwarding.list(['b1', backEnd]);
  return { hasSentAll: () => sentAll };
}

/** Sends a request and returns its answer, of which nothing is read yet. */
function openUnread(): Promise<IncomingMessage> {
  const [host, port] = forwarding.address.split(':');
  const headers = { host: 'api.example', 'x-request': 'slow' };
  return new Promise((resolve, reject) => {
    const sent = httpRequest({ host, port, path: '/r/', headers }, (response) => resolve(response.pause()));
    sent.on('error', reject);
    sent.end();
  });
}

/** Reads the answer to its end; returns the number of bytes, or undefined if it was cut. */
async function readAll(answer: IncomingMessage): Promise<number | undefined> {
  let bytes = 0;
  try {
    for await (const chunk of answer) bytes += (chunk as Buffer).byteLength;
  } catch {
    return undefined;
  }
  return answer.complete ? bytes : undefined;
}

async function until(condition: () => boolean, limit = 2_000): Promise<boolean> {
  const end = performance.now() + limit;
  while (!condition() && performance.now() < end) await new Promise((resolve) => setTimeout(resolve, 20));
  return condition();
}

async function metric(name: string): Promise<number> {
  const text = await forwarding.metrics.registry.metrics();
  return Number(new RegExp(`^thistleway_${name}\\S* (\\S+)$`, 'm').exec(text)?.[1]);
}

afterEach(async () => {
  await forwarding.stop();
  await backEnd.stop();
});

it('does not hold more than a bound for one caller: the back end waits beyond it, and the answer stays whole', async () => {
  const events = Array.from({ length: 4 * FILLING_EVENTS }, (_, index) => EVENT(index + 1, EVENT_BYTES));
  const { hasSentAll } = await startWith(events);
  const answer = await openUnread();
  expect(await until(hasSentAll, 500)).toBe(false);
  expect(await metric('unread_answer_bytes')).toBeLessThan(262_144 + 4 * EVENT_BYTES);
  expect(await readAll(answer)).toBe(events.join('').length);
});
