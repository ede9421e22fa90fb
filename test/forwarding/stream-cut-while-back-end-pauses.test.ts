/** Guards against cutting or failing an answer because its back end pauses before another one has taken over. */
import type { ServerResponse } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import type { SlotAnswers } from '../../src/forwarding/engine-slots.js';
import { seededRandom } from '../../src/model/random.js';
import { until } from '../support.js';
import { ForwardingHarness, NOOP_CLAIM } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import { events, reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

const EVENTS = 6;
const EVENTS_BEFORE_PAUSE = 2;
/** Longer than the silence threshold and shorter than the request timeout, in milliseconds. */
const PAUSE = 1_000;
/** Time by which a pause outlasts the condition that it waits for, in milliseconds. */
const PAUSE_REST = 150;
/** Interval between two events after the pause, in milliseconds. */
const EVENT_INTERVAL = 15;
const SEED = 43;

const CONFIGURATION: FleetConfiguration = {
  revision: 1,
  routes: [
    routeNamed('write', { isStream: true, repeatability: 'resumable', longestPause: 100 }),
    routeNamed('read', { timeout: 3_000 }),
  ],
  services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: undefined,
};

const notRun = reply(503, '', { 'x-not-run': '1' });
let one: StandInBackEnd;
let two: StandInBackEnd;
let forwarding: ForwardingHarness;
let askForSlot: (answers: SlotAnswers) => void;

/**
 * Streams the events after `last-event-id`, with a pause in the middle of the stream.
 * @param pause - its length in milliseconds, or a condition: the pause ends `PAUSE_REST` after it holds
 */
function pausingStream(pause: number | (() => boolean), firstAfter = 0): Script {
  return (request, response) => {
    const from = Number(request.headers['last-event-id'] ?? 0) + 1;
    const head = { 'x-request': String(request.headers['x-request']), 'content-type': 'text/event-stream' };
    setTimeout(() => {
      response.writeHead(200, head);
      if (from <= EVENTS_BEFORE_PAUSE) response.write(events(from, EVENTS_BEFORE_PAUSE));
      const writeRest = () => writeEventsFrom(response, Math.max(from, EVENTS_BEFORE_PAUSE + 1));
      if (from > EVENTS_BEFORE_PAUSE) writeRest();
      else if (typeof pause === 'number') setTimeout(writeRest, pause);
      else void until(pause, 'the end of the pause').then(() => setTimeout(writeRest, PAUSE_REST), writeRest);
    }, firstAfter);
  };
}

/** Writes the events from `id` on at intervals, and ends the response. */
function writeEventsFrom(response: ServerResponse, id: number): void {
  if (id > EVENTS) return void response.end();
  response.write(events(id, id));
  setTimeout(() => writeEventsFrom(response, id + 1), EVENT_INTERVAL);
}

/** Answers the first request to either back end with `first`, and later ones with `others`. */
function answerFirstWith(first: Script, others: Script): void {
  let requests = 0;
  const script: Script = (...call) => (requests++ === 0 ? first : others)(...call);
  one.answer(script);
  two.answer(script);
}

const requestCount = () => one.requests.length + two.requests.length;
const isOtherTried = () => requestCount() > 1;
const whole = { status: 200, whole: true, body: events(1, EVENTS) };

beforeEach(async () => {
  one = await new StandInBackEnd(pausingStream(PAUSE)).start();
  two = await new StandInBackEnd(pausingStream(PAUSE)).start();
  forwarding = new ForwardingHarness('billing');
  askForSlot = () => {};
  forwarding.slots = {
    ask: (_agent, _wish, answers) => {
      askForSlot(answers);
      return NOOP_CLAIM;
    },
  };
  await forwarding.start(CONFIGURATION);
  forwarding.list(['one', one], ['two', two]);
});

afterEach(async () => {
  await forwarding.stop();
  await Promise.all([one.stop(), two.stop()]);
});

describe('a stream whose back end pauses', () => {
  it('is not cut where there is no other back end', async () => {
    forwarding.list(['one', one]);
    expect(await forwarding.send('/write/a')).toMatchObject(whole);
    expect(one.requests).toHaveLength(1);
  });

  it('is not cut where the other back end refuses it', async () => {
    answerFirstWith(pausingStream(isOtherTried), notRun);
    expect(await forwarding.send('/write/a')).toMatchObject(whole);
  });

  it('is not cut where the other back end fails before its first event', async () => {
    answerFirstWith(pausingStream(isOtherTried), (_request, response) => response.destroy());
    expect(await forwarding.send('/write/a')).toMatchObject(whole);
    expect(requestCount()).toBe(2);
  });

  it('is not cut where the other back end answers with an error', async () => {
    answerFirstWith(pausingStream(isOtherTried), reply(500, 'mine'));
    expect(await forwarding.send('/write/a')).toMatchObject(whole);
  });

  it('is not cut where the other back end answers with something that is no stream', async () => {
    answerFirstWith(pausingStream(isOtherTried), reply(200, 'x'.repeat(100_000)));
    expect(await forwarding.send('/write/a')).toMatchObject(whole);
  });

  it('is not cut where the other back end sends nothing', async () => {
    answerFirstWith(pausingStream(isOtherTried), () => {});
    expect(await forwarding.send('/write/a')).toMatchObject(whole);
    await until(() => one.cancelled + two.cancelled === 1, 'the other back end is cancelled');
  });

  it('is not cut where a configuration drops its route and service meanwhile', async () => {
    const answering = forwarding.send('/write/a');
    await until(() => requestCount() === 1, 'the request has arrived');
    forwarding.fleet.applyConfiguration({
      document: Buffer.from(''),
      configuration: { ...CONFIGURATION, revision: 2, routes: [], services: [] },
    });
    expect(await answering).toMatchObject(whole);
  });

  it('is not cut where no engine has a slot for it', async () => {
    let refusals = 0;
    answerFirstWith(
      pausingStream(() => refusals > 0),
      () => {},
    );
    askForSlot = (answers) => {
      refusals++;
      setTimeout(() => answers.onRefused(), 0);
    };
    const answering = forwarding.send('/write/a');
    await until(() => requestCount() === 1, 'the request has arrived');
    const other = one.requests.length === 1 ? two : one;
    forwarding.reportEngine(other, { slotAddress: '127.0.0.1:9' });
    expect(await answering).toMatchObject(whole);
    expect(refusals).toBeGreaterThan(0);
  });

  it('resumes at the other back end where its own stays silent, which is cancelled', async () => {
    answerFirstWith((request, response) => {
      response.writeHead(200, {
        'x-request': String(request.headers['x-request']),
        'content-type': 'text/event-stream',
      });
      response.write(`${events(1, EVENTS_BEFORE_PAUSE)}id: 3\ndata: wo`);
    }, pausingStream(0));
    expect(await forwarding.send('/write/a')).toMatchObject(whole);
    await until(() => one.cancelled + two.cancelled === 1, 'the silent back end is cancelled');
  });

  it('is cancelled at its own silent back end as soon as the other goes on, not when the answer ends', async () => {
    let finish: () => void = () => {};
    answerFirstWith(pausingStream(60_000), (request, response) => {
      response.writeHead(200, {
        'x-request': String(request.headers['x-request']),
        'content-type': 'text/event-stream',
      });
      const next = EVENTS_BEFORE_PAUSE + 1;
      response.write(events(next, next));
      finish = () => writeEventsFrom(response, next + 1);
    });
    const answer = forwarding.send('/write/a');
    await until(() => one.cancelled + two.cancelled === 1, 'the silent back end is cancelled');
    finish();
    expect(await answer).toMatchObject(whole);
  });

  it('resumes at the other back end where its own fails after the other received the request', async () => {
    let first: ServerResponse | undefined;
    answerFirstWith(
      (request, response, body) => {
        first = response;
        pausingStream(60_000)(request, response, body);
      },
      (request, response, body) => {
        first?.destroy();
        pausingStream(0, 100)(request, response, body);
      },
    );
    expect(await forwarding.send('/write/a')).toMatchObject(whole);
  });

  it('is not cut where many pause at once, and has no duplicate or missing event', async () => {
    const random = seededRandom(SEED);
    const around = (milliseconds: number) => milliseconds + random.below(120) - 60;
    // Requests that resume a stream also wait before their first event.
    const script: Script = (request, response, body) => {
      const isContinuation = request.headers['last-event-id'] !== undefined;
      pausingStream(around(700), isContinuation ? around(60) : 0)(request, response, body);
    };
    one.answer(script);
    two.answer(script);
    forwarding.list(['one', one, { slots: 64 }], ['two', two, { slots: 64 }]);
    const answers = await Promise.all(Array.from({ length: 40 }, () => forwarding.send('/write/a')));
    for (const answer of answers) expect(answer).toMatchObject(whole);
    await until(() => one.open + two.open === 0, 'all back end streams are closed');
  });

  it('is sent to no more back ends than its route allows', async () => {
    const three = await new StandInBackEnd(() => {}).start();
    const isAnyOtherTried = () => requestCount() + three.requests.length > 1;
    answerFirstWith(pausingStream(isAnyOtherTried), () => {});
    forwarding.list(['one', one], ['two', two], ['three', three]);
    expect(await forwarding.send('/write/a')).toMatchObject(whole);
    expect(requestCount() + three.requests.length).toBe(2);
    await three.stop();
  });

  it('is cancelled at both back ends when its caller leaves', async () => {
    answerFirstWith(pausingStream(60_000), () => {});
    const sent = forwarding.openRequest('/write/a');
    await until(() => requestCount() === 2, 'the other back end has the request');
    sent.destroy();
    await until(() => one.cancelled + two.cancelled === 2, 'both back ends are cancelled');
    expect(forwarding.backEnds.loads()).toEqual([]);
  });
});

describe('a request that waits for its answer', () => {
  it('is not failed where its back end pauses and there is no other', async () => {
    one.answer((...call) => void setTimeout(() => reply(200, 'late')(...call), PAUSE));
    forwarding.list(['one', one]);
    expect(await forwarding.send('/read/a')).toMatchObject({ status: 200, body: 'late', whole: true });
  });

  it('is answered by whichever back end answers first', async () => {
    answerFirstWith(() => {}, reply(200, 'other'));
    expect(await forwarding.send('/read/a')).toMatchObject({ status: 200, body: 'other', whole: true });
    await until(() => one.cancelled + two.cancelled === 1, 'the silent back end is cancelled');
  });

  it('gets the error of the other back end where its own is silent', async () => {
    answerFirstWith(() => {}, reply(500, 'mine'));
    expect(await forwarding.send('/read/a')).toMatchObject({ status: 500, body: 'mine', whole: true });
  });
});
