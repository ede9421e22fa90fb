/** Guards against cutting a stream whose back end fails while no other one is free at that moment. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import type { SlotAnswers } from '../../src/forwarding/engine-slots.js';
import { until } from '../support.js';
import { ForwardingHarness, NOOP_CLAIM } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import { events, reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

const EVENTS = 6;
const EVENTS_BEFORE_FAILURE = 2;
/** Time until another back end is free, in milliseconds; much shorter than a caller's patience. */
const BUSY = 250;

const CONFIGURATION: FleetConfiguration = {
  revision: 1,
  routes: [
    routeNamed('write', { isStream: true, repeatability: 'resumable', longestPause: 500, maxAttempts: 3 }),
  ],
  services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: undefined,
};

const refusal = reply(503, '', { 'x-not-run': '1' });
const whole = { status: 200, whole: true, body: events(1, EVENTS) };
let one: StandInBackEnd;
let others: StandInBackEnd[];
let forwarding: ForwardingHarness;
let askForSlot: (answers: SlotAnswers) => void;

const head = (request: { headers: Record<string, unknown> }) => ({
  'x-request': String(request.headers['x-request']),
  'content-type': 'text/event-stream',
});

/** Writes the beginning of a stream and closes the connection. */
const breaking: Script = (request, response) => {
  response.writeHead(200, head(request));
  response.write(events(1, EVENTS_BEFORE_FAILURE));
  setTimeout(() => response.destroy(), 50);
};

/** Resumes a stream and writes all that is left of it. */
const resuming: Script = (request, response) => {
  response.writeHead(200, head(request));
  response.end(events(Number(request.headers['last-event-id'] ?? 0) + 1, EVENTS));
};

beforeEach(async () => {
  one = await new StandInBackEnd(breaking).start();
  others = [];
  for (let count = 0; count < 3; count++) others.push(await new StandInBackEnd(resuming).start());
  forwarding = new ForwardingHarness('billing');
  askForSlot = () => {};
  forwarding.slots = {
    ask: (_agent, _wish, answers) => {
      // Answers asynchronously, as agents answer by datagrams.
      setTimeout(() => askForSlot(answers), 1);
      return NOOP_CLAIM;
    },
  };
  await forwarding.start(CONFIGURATION);
  forwarding.list(['one', one]);
});

afterEach(async () => {
  await forwarding.stop();
  for (const backEnd of [one, ...others]) await backEnd.stop();
});

/** Answers with `first` during `BUSY` from now on, and resumes streams after that. */
function busyAtFirst(backEnd: StandInBackEnd, first: Script): void {
  const freeAt = performance.now() + BUSY;
  backEnd.answer((...call) => (performance.now() < freeAt ? first : resuming)(...call));
}

describe('a stream whose back end fails after its first events', () => {
  it('is not cut if the other back end is full for a moment', async () => {
    const answering = forwarding.send('/write/a');
    await until(() => one.requests.length === 1, 'the request');
    busyAtFirst(others[0], refusal);
    forwarding.list(['one', one], ['other', others[0]]);
    expect(await answering).toMatchObject(whole);
  });

  it('is not cut if all other back ends are full for a moment', async () => {
    const answering = forwarding.send('/write/a');
    await until(() => one.requests.length === 1, 'the request');
    for (const other of others) busyAtFirst(other, refusal);
    forwarding.list(
      ['one', one],
      ...others.map((other, index) => [`other-${index}`, other] as [string, typeof other]),
    );
    expect(await answering).toMatchObject(whole);
  });

  it('is not cut if the agent of the other back end has no slot for a moment', async () => {
    const answering = forwarding.send('/write/a');
    await until(() => one.requests.length === 1, 'the request');
    const freeAt = performance.now() + BUSY;
    askForSlot = (answers) => (performance.now() < freeAt ? answers.onRefused() : answers.onGranted());
    forwarding.list(['one', one], ['other', others[0]]);
    forwarding.reportEngine(others[0], { slotAddress: '127.0.0.1:9' });
    expect(await answering).toMatchObject(whole);
  });

  it('is resumed at another one that is free', async () => {
    const answering = forwarding.send('/write/a');
    await until(() => one.requests.length === 1, 'the request');
    forwarding.list(['one', one], ['other', others[0]]);
    expect(await answering).toMatchObject(whole);
  });
});
