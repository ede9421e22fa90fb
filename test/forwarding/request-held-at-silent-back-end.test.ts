/** Guards against waiting for a silent back end while another one could answer, or until the caller has no time to retry. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import { events, reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

const EVENTS = 6;
const SILENT: Script = () => {};
const notRun = reply(503, '', { 'x-not-run': '1' });
const ok = reply(200, 'ok');

const CONFIGURATION: FleetConfiguration = {
  revision: 1,
  routes: [
    routeNamed('read', { timeout: 3_000, maxAttempts: 3 }),
    routeNamed('write', { isStream: true, repeatability: 'resumable', longestPause: 100, maxAttempts: 3 }),
    routeNamed('ping'),
  ],
  services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: undefined,
};

let backEnds: StandInBackEnd[];
let forwarding: ForwardingHarness;

beforeEach(async () => {
  backEnds = [];
  for (let count = 0; count < 3; count++) backEnds.push(await new StandInBackEnd(SILENT).start());
  forwarding = new ForwardingHarness('billing');
  await forwarding.start(CONFIGURATION);
});

afterEach(async () => {
  await forwarding.stop();
  for (const backEnd of backEnds) await backEnd.stop();
});

/** Lists the first `count` back ends. */
function list(count: number): void {
  const listed = backEnds.slice(0, count);
  forwarding.list(
    ...listed.map((backEnd, index): [string, StandInBackEnd] => [`back-end-${index}`, backEnd]),
  );
}

/** Answers requests for `path` at any back end by these scripts in turn; the last script answers all further ones. */
function answerInTurn(path: string, ...scripts: Script[]): void {
  let requests = 0;
  for (const backEnd of backEnds) {
    backEnd.answer((request, response, body) => {
      if (!request.url?.startsWith(path)) return void setTimeout(() => ok(request, response, body), 60);
      const script = scripts[Math.min(requests++, scripts.length - 1)];
      script(request, response, body);
    });
  }
}

/** Writes the rest of a stream up to the event `last`, and leaves the answer open if more events would follow. */
function stream(last: number): Script {
  return (request, response) => {
    const from = Number(request.headers['last-event-id'] ?? 0) + 1;
    response.writeHead(200, {
      'x-request': String(request.headers['x-request']),
      'content-type': 'text/event-stream',
    });
    response.write(events(from, last));
    if (last === EVENTS) response.end();
  };
}

it('a back end that refused once while another one is silent is tried again', async () => {
  list(2);
  answerInTurn('/read/', SILENT, notRun, ok);
  expect(await forwarding.send('/read/a')).toMatchObject({ status: 200, body: 'ok' });
});

it('a silent back end is tried over another connection if no other one can take the request', async () => {
  const seen = new Set<unknown>();
  const [one, two] = backEnds;
  one.answer((request, response, body) => {
    if (seen.has(request.socket)) return;
    seen.add(request.socket);
    ok(request, response, body);
  });
  two.answer(notRun);
  list(1);
  await forwarding.send('/read/a');
  forwarding.list(['back-end-0', one, { slots: 64 }], ['back-end-1', two, { slots: 1, zone: 'zone-b' }]);
  expect(await forwarding.send('/read/a')).toMatchObject({ status: 200, body: 'ok' });
});

it('the error response of a back end is forwarded if all others are silent', async () => {
  list(2);
  answerInTurn('/read/', SILENT, reply(500, 'mine'));
  expect(await forwarding.send('/read/a')).toMatchObject({ status: 500, body: 'mine' });
});

it('a caller without a part of the answer has time left to retry its request', async () => {
  list(1);
  const answer = await forwarding.send('/read/a', { headers: { 'x-time-left': '2000' } });
  expect(answer.status).toBe(502);
});

it('a request does not run twice at once at a back end that is slow on a kept-alive connection', async () => {
  list(1);
  const [one] = backEnds;
  one.answer(ok);
  await forwarding.send('/read/a');
  let mostAtOnce = 0;
  one.answer((...call) => {
    mostAtOnce = Math.max(mostAtOnce, one.open);
    setTimeout(() => ok(...call), 900);
  });
  expect(await forwarding.send('/read/a')).toMatchObject({ status: 200 });
  expect(mostAtOnce).toBe(1);
});

it('a stream that has begun is resumed at a third back end if the second one answers only other requests', async () => {
  list(3);
  answerInTurn('/write/', stream(2), SILENT, stream(EVENTS));
  const pings = setInterval(() => void forwarding.send('/ping/a').catch(() => {}), 8);
  const answer = await forwarding.send('/write/a');
  clearInterval(pings);
  expect(answer).toMatchObject({ whole: true, body: events(1, EVENTS) });
});
