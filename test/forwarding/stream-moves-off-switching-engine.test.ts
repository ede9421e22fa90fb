/**
 * Guards against cutting or delaying streams at an engine that switches to another version: they move to another engine
 * before the switch, or complete where they are.
 */
import type { ServerResponse } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { Route } from '../../src/fleet/configuration.js';
import { until } from '../support.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from './engine-configuration.js';
import { type Answer, ForwardingHarness } from './forwarding-harness.js';
import { events, reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

const EVENTS = 40;
const INTERVAL = 25;
/** Events that the first engine sends before it gives notice of its switch. */
const EVENTS_BEFORE_NOTICE = 3;
/** Time in which open attempts are checked several times, in milliseconds. */
const SEVERAL_CHECKS = 300;

const whole = { status: 200, whole: true, body: events(1, EVENTS) };
const notRun = reply(503, '', { 'x-not-run': '1' });

let forwarding: ForwardingHarness;
let switching: StandInBackEnd;
let other: StandInBackEnd;
/** Id of the last event that the switching engine has sent. */
let lastSent: number;
/** Events that the other engine was asked to resume after. */
let resumedAfter: number[];

/** Sends the events after `last-event-id` at intervals, from `firstAfter` milliseconds on. */
function stream(onEvent: (id: number) => void = () => {}, firstAfter = 0): Script {
  return (request, response) => {
    const head = { 'x-request': String(request.headers['x-request']), 'x-version': '1' };
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    setTimeout(() => {
      response.writeHead(200, { ...head, 'content-type': 'text/event-stream' });
      sendFrom(first, response, onEvent);
    }, firstAfter);
  };
}

function sendFrom(id: number, response: ServerResponse, onEvent: (id: number) => void): void {
  if (response.destroyed) return;
  if (id > EVENTS) return void response.end();
  response.write(events(id, id));
  onEvent(id);
  setTimeout(() => sendFrom(id + 1, response, onEvent), INTERVAL);
}

/** Answers each request that resumes a stream with `script`. */
const resumeWith = (script: Script) =>
  other.answer((request, response, body) => {
    resumedAfter.push(Number(request.headers['last-event-id']));
    script(request, response, body);
  });

async function serve(route: Partial<Route> = {}): Promise<void> {
  await forwarding.start({ ...ENGINE_CONFIGURATION, routes: [{ ...STREAM_ROUTE, ...route }] });
}

/** Lists both engines, the other one with this version. */
function listBoth(version = 1): void {
  const layersOf = (held: number) => ({ from: 0, end: ENGINE_LAYERS, version: held });
  forwarding.list(
    ['switching', switching, { layers: layersOf(1) }],
    ['other', other, { layers: layersOf(version) }],
  );
}

/** Begins a stream at the switching engine. */
async function beginStream(version = 1): Promise<{ answer: Promise<Answer> }> {
  forwarding.list(['switching', switching, { layers: { from: 0, end: ENGINE_LAYERS, version: 1 } }]);
  const answer = forwarding.send('/write/a');
  await until(() => lastSent >= EVENTS_BEFORE_NOTICE, 'the first events');
  listBoth(version);
  return { answer };
}

const giveNotice = () => forwarding.reportEngine(switching, { version: 1, isSwitching: true });

beforeEach(async () => {
  lastSent = 0;
  resumedAfter = [];
  switching = await new StandInBackEnd(
    stream((id) => {
      lastSent = id;
    }),
  ).start();
  other = await new StandInBackEnd(notRun).start();
  resumeWith(stream());
  forwarding = new ForwardingHarness('engines');
});

afterEach(async () => {
  await forwarding.stop();
  await Promise.all([switching.stop(), other.stop()]);
});

describe('a stream at an engine that is about to switch to another version', () => {
  it('is resumed at another engine, with each event once', async () => {
    await serve();
    const { answer } = await beginStream();
    giveNotice();
    await until(() => switching.open === 0, 'the end of the first attempt');
    expect(lastSent).toBeLessThan(EVENTS);
    expect(await answer).toMatchObject(whole);
    expect(resumedAfter).toHaveLength(1);
  });

  it('stays at its engine until the other one has sent an event', async () => {
    await serve({ longestPause: 2_000 });
    let isOpen: boolean | undefined;
    resumeWith(
      stream(() => {
        isOpen ??= switching.open === 1;
      }, SEVERAL_CHECKS),
    );
    const { answer } = await beginStream();
    giveNotice();
    expect(await answer).toMatchObject(whole);
    expect(isOpen).toBe(true);
    expect(switching.cancelled).toBe(1);
  });

  it.each<[string, Script]>([
    ['refuses it', notRun],
    ['fails before its first event', (_request, response) => response.destroy()],
    ['answers with an error', reply(500, 'mine')],
    ['sends nothing', () => {}],
  ])('completes at its engine if the other one %s', async (_how, script) => {
    await serve();
    resumeWith(script);
    const { answer } = await beginStream();
    giveNotice();
    expect(await answer).toMatchObject(whole);
    expect(resumedAfter.length).toBeGreaterThan(0);
    expect(switching.cancelled).toBe(0);
  });

  it('is not delayed by an engine that is slow to resume it', async () => {
    await serve({ longestPause: 150 });
    resumeWith(() => {});
    const { answer } = await beginStream();
    giveNotice();
    await until(() => resumedAfter.length > 0, 'the move');
    await until(() => other.open === 0, 'the end of the move');
    expect(lastSent).toBeLessThan(EVENTS);
    expect(await answer).toMatchObject(whole);
  });

  it('is resumed at the other engine if its own fails during the move', async () => {
    await serve({ longestPause: 2_000 });
    resumeWith(stream(undefined, SEVERAL_CHECKS));
    const { answer } = await beginStream();
    giveNotice();
    await until(() => resumedAfter.length > 0, 'the move');
    forwarding.list(['other', other, { layers: { from: 0, end: ENGINE_LAYERS, version: 1 } }]);
    await switching.stop();
    expect(await answer).toMatchObject(whole);
  });

  it.each<[string, Partial<Route>, number]>([
    ['may not be sent again', { maxAttempts: 1 }, 1],
    ['may not be resumed', { repeatability: 'never' }, 1],
    ['has no other engine of its version', {}, 2],
  ])('completes at its engine if it %s', async (_why, route, version) => {
    await serve(route);
    const { answer } = await beginStream(version);
    giveNotice();
    expect(await answer).toMatchObject(whole);
    expect(resumedAfter).toEqual([]);
    expect(switching.cancelled).toBe(0);
  });

  it('completes at its engine if the retry budget is used up', async () => {
    await serve();
    forwarding.budget.spend = () => false;
    const { answer } = await beginStream();
    giveNotice();
    expect(await answer).toMatchObject(whole);
    expect(resumedAfter).toEqual([]);
  });
});
