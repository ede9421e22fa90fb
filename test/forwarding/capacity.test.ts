/** Requests for engines when no engine can take them at once: which are held, which are refused, and with what `Retry-After`. */
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { EngineNews } from '../../src/forwarding/back-end-table.js';
import { until } from '../support.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from './engine-configuration.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { reply, StandInBackEnd } from './stand-in-back-end.js';

const LAYERS = ENGINE_LAYERS;
const TIMEOUT = STREAM_ROUTE.timeout;

const LISTED = { layers: { from: 0, end: LAYERS, version: 1 } };
/** A caller that gives two seconds less than the timeout of the route. */
const SHORT = { headers: { 'x-time-left': String(TIMEOUT - 2_000) } };
const WHOLE = { headers: { 'x-time-left': String(TIMEOUT) } };

let engine: StandInBackEnd;
let forwarding: ForwardingHarness;

/** Reports the current state of an engine as its agent does. */
function report(news: Partial<EngineNews>, of = engine): void {
  forwarding.reportEngine(of, news);
}

beforeEach(async () => {
  engine = await new StandInBackEnd(reply(200, 'served')).start();
  forwarding = new ForwardingHarness('engines');
  await forwarding.start(ENGINE_CONFIGURATION);
  forwarding.list(['one', engine, LISTED]);
});

afterEach(async () => {
  await forwarding.stop();
  await engine.stop();
});

describe('an engine that lost its weights', () => {
  it('gets no request although the list still has them', async () => {
    report({ version: 0 });
    expect((await forwarding.send('/write/', WHOLE)).status).toBe(503);
    expect(engine.requests).toHaveLength(0);
  });

  it('is judged by the list if its agent does not reach it', async () => {
    report({ version: 0, isReached: false });
    expect((await forwarding.send('/write/', WHOLE)).status).toBe(200);
  });

  it('is judged by the list once the last report of its agent is too old', async () => {
    report({ version: 0, reportedAt: performance.now() - 10_000 });
    expect((await forwarding.send('/write/', WHOLE)).status).toBe(200);
  });
});

describe('an engine that answers that it is not the expected one', () => {
  it('gets no request until its agent reports again', async () => {
    engine.answer(reply(421, '', { 'x-not-run': '1' }));
    expect((await forwarding.send('/write/', WHOLE)).status).toBe(503);
    expect((await forwarding.send('/write/', WHOLE)).status).toBe(503);
    expect(engine.requests).toHaveLength(1);
    engine.answer(reply(200, 'served'));
    report({ version: 1 });
    expect((await forwarding.send('/write/', WHOLE)).status).toBe(200);
  });
});

describe('a caller that states an infinite number of tokens', () => {
  it.each(['Infinity,1', '1,Infinity', '1e400,1e400', '-1e400,1'])(
    'does not affect other requests: %s',
    async (tokens) => {
      report({ version: 1, switchAt: performance.now() + 60_000 });
      const headers = { ...WHOLE.headers, 'x-tokens': tokens };
      expect((await forwarding.send('/write/', { headers })).status).toBe(200);
      expect((await forwarding.send('/write/', WHOLE)).status).toBe(200);
      forwarding.drain.begin(performance.now());
      expect((await forwarding.send('/write/', WHOLE)).status).toBe(200);
    },
  );
});

describe('while no engine serves', () => {
  it('a request beyond the places for its like is refused with a Retry-After at which one is expected', async () => {
    report({ switchAt: performance.now() + 700 });
    const waiting = [forwarding.send('/write/', WHOLE), forwarding.send('/write/', WHOLE)];
    await until(() => forwarding.active === 2, 'half of the places to be taken');
    const answer = await forwarding.send('/write/', WHOLE);
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThanOrEqual(1);
    report({ version: 1 });
    for (const one of waiting) expect((await one).status).toBe(200);
  });

  it.each([WHOLE, SHORT])(
    'a request waits for an engine that is expected in its time: %j',
    async (caller) => {
      report({ switchAt: performance.now() + 300 });
      const answer = forwarding.send('/write/', caller);
      setTimeout(() => report({ version: 1 }), 300);
      expect(await answer).toMatchObject({ status: 200, body: 'served' });
    },
  );

  it('a request is refused at once if none is expected before its deadline', async () => {
    report({ switchAt: performance.now() + TIMEOUT });
    expect((await forwarding.send('/write/', SHORT)).status).toBe(503);
  });

  it('no request waits for an engine that runs out of requests for a version which it will have too late', async () => {
    report({ isSwitching: true, switchAt: performance.now() + TIMEOUT });
    const ends = forwarding.send('/write/', SHORT).then(({ status }) => status);
    // An engine that has been ordered to load a version serves after 400 ms; the request would be held for that long.
    const stillHeld = new Promise((resolve) => setTimeout(() => resolve('held'), 350));
    expect(await Promise.race([ends, stillHeld])).toBe(503);
    await ends;
  });
});

describe('after a power loss', () => {
  it('nothing is sent to an engine at whose address another has started, although its record has weights', async () => {
    forwarding.list(
      ['one', engine, { ...LISTED, revision: 1 }],
      ['one again', engine, { revision: 2, address: engine.address }],
    );
    expect((await forwarding.send('/write/', WHOLE)).status).toBe(503);
    expect(engine.requests).toHaveLength(0);
  });

  it('an engine is used again once the record of its previous start is removed', async () => {
    forwarding.list(['one', engine, LISTED], ['one again', engine, LISTED]);
    forwarding.list(['one again', engine, LISTED]);
    expect((await forwarding.send('/write/', WHOLE)).status).toBe(200);
  });

  it('a request waits while a retry would come too early, and is refused with Retry-After after that', async () => {
    report({ switchAt: performance.now() + 3_800 });
    const sentAt = performance.now();
    const answer = await forwarding.send('/write/', WHOLE);
    expect(answer.status).toBe(503);
    expect(performance.now() - sentAt).toBeGreaterThan(300);
    expect(Number(answer.headers['retry-after'])).toBe(2);
  });

  it('a request that waits is served by an engine that becomes ready sooner than expected', async () => {
    report({ switchAt: performance.now() + 4_000 });
    const answer = forwarding.send('/write/', WHOLE);
    await sleep(300);
    report({ version: 1 });
    expect(await answer).toMatchObject({ status: 200, body: 'served' });
  });

  it('a request that has waited is not refused for a long queue after that', async () => {
    report({ switchAt: performance.now() + 4_000 });
    const answer = forwarding.send('/write/', WHOLE);
    await sleep(300);
    report({ version: 1, load: 5 });
    expect(await answer).toMatchObject({ status: 200, body: 'served' });
  });

  it('an entry that has just started, and knows only engines without weights, holds a request', async () => {
    forwarding.list(['one', engine]);
    const answer = forwarding.send('/write/', WHOLE);
    await sleep(300);
    report({ version: 1 });
    expect(await answer).toMatchObject({ status: 200, body: 'served' });
  });

  it('no request waits for an engine whose expected time is postponed repeatedly', async () => {
    const postpone = () => report({ switchAt: performance.now() + 1_000 });
    postpone();
    const postponing = setInterval(postpone, 50);
    const first = await forwarding.send('/write/', SHORT);
    // A request that is held waits for 1.7 s.
    const isHeld = sleep(1_500).then(() => 'held');
    const second = await Promise.race([
      forwarding.send('/write/', SHORT).then(({ status }) => status),
      isHeld,
    ]);
    clearInterval(postponing);
    expect([first.status, second]).toEqual([503, 503]);
  });

  it('no more requests wait for the first slots than there are slots', async () => {
    report({ switchAt: performance.now() + 1_000 });
    let refused = 0;
    const answers = Array.from({ length: 6 }, async () => {
      const answer = await forwarding.send('/write/', SHORT);
      if (answer.status === 503) refused++;
      return answer;
    });
    await until(() => refused === 2, 'two of them to be refused');
    expect(forwarding.active).toBe(4);
    report({ version: 1 });
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    expect(statuses.filter((status) => status === 200)).toHaveLength(4);
    report({ version: 0, switchAt: performance.now() + 300 });
    const next = forwarding.send('/write/', SHORT);
    setTimeout(() => report({ version: 1 }), 200);
    expect((await next).status).toBe(200);
  });

  it('a request without retry budget is refused with a Retry-After at which an engine is expected', async () => {
    engine.answer(reply(421, '', { 'x-not-run': '1' }));
    forwarding.budget.allows = () => false;
    const second = await new StandInBackEnd(reply(200, 'served')).start();
    try {
      forwarding.list(['one', engine, LISTED], ['two', second]);
      report({ switchAt: performance.now() + 1_200 }, second);
      const answer = await forwarding.send('/write/', WHOLE);
      expect(answer.status).toBe(503);
      expect(engine.requests).toHaveLength(1);
      expect(Number(answer.headers['retry-after'])).toBeGreaterThanOrEqual(1.2);
    } finally {
      await second.stop();
    }
  });
});

describe('while all engines back off', () => {
  const refuse = (seconds: string) => reply(503, '', { 'x-not-run': '1', 'retry-after': seconds });

  it('a request is refused with a Retry-After at which the first back-off has ended', async () => {
    engine.answer(refuse('30'));
    report({ version: 1 });
    const answer = await forwarding.send('/write/', WHOLE);
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(29);
  });

  it('a request waits for the end of a back-off that comes in its time', async () => {
    engine.answer((request, response, body) => {
      refuse('0.4')(request, response, body);
      engine.answer(reply(200, 'served'));
    });
    report({ version: 1 });
    expect(await forwarding.send('/write/', WHOLE)).toMatchObject({ status: 200, body: 'served' });
    expect(engine.requests).toHaveLength(2);
  });
});

describe('a request that an engine has refused', () => {
  it('is charged as a repetition when it is sent again, not while it waits for capacity', async () => {
    engine.answer(reply(503, '', { 'x-not-run': '1' }));
    report({ version: 1 });
    const second = await new StandInBackEnd(reply(200, 'served')).start();
    try {
      forwarding.list(['one', engine, LISTED], ['two', second]);
      report({ switchAt: performance.now() + 300 }, second);
      const answer = forwarding.send('/write/', SHORT);
      await until(() => engine.requests.length === 1, 'the first engine to refuse it');
      await sleep(200);
      expect(forwarding.budget.granted).toBe(0);
      report({ version: 1 }, second);
      expect(await answer).toMatchObject({ status: 200, body: 'served' });
      expect(forwarding.budget.granted).toBe(1);
    } finally {
      await second.stop();
    }
  });

  it('is not charged if no engine takes it in the end', async () => {
    engine.answer(reply(503, '', { 'x-not-run': '1' }));
    report({ version: 1 });
    expect((await forwarding.send('/write/', WHOLE)).status).toBe(503);
    expect(engine.requests).toHaveLength(1);
    expect(forwarding.budget.granted).toBe(0);
  });
});

describe('an engine whose version expires', () => {
  it('gets requests while they can start before the expiry, even if others overtake them', async () => {
    report({ version: 1 });
    forwarding.expireIn(3_000);
    expect((await forwarding.send('/write/', WHOLE)).status).toBe(200);
    expect((await forwarding.send('/write/', SHORT)).status).toBe(200);
  });

  it('gets no request that might start too late: if its queue is long, or its load unknown', async () => {
    forwarding.expireIn(2_000);
    report({ version: 1, load: 12 });
    expect((await forwarding.send('/write/', WHOLE)).status).toBe(503);
    report({ version: 1, reportedAt: performance.now() - 1_000 });
    expect((await forwarding.send('/write/', WHOLE)).status).toBe(503);
    expect(engine.requests).toHaveLength(0);
    report({ version: 1 });
    expect((await forwarding.send('/write/', WHOLE)).status).toBe(200);
  });

  it('has requests withdrawn that have not started in time, which another engine then serves', async () => {
    const next = await new StandInBackEnd(reply(200, 'served by the next')).start();
    engine.answer(() => {});
    report({ version: 1 });
    forwarding.expireIn(1_000);
    const answer = forwarding.send('/write/', WHOLE);
    await until(() => engine.requests.length === 1, 'the request there');
    forwarding.list(['one', engine, LISTED], ['two', next, { layers: { from: 0, end: LAYERS, version: 2 } }]);
    expect(await answer).toMatchObject({ status: 200, body: 'served by the next' });
    expect(engine.cancelled).toBe(1);
    await next.stop();
  });
});

describe('while every slot is taken', () => {
  it('a request is refused at once if it could not meet its objective', async () => {
    report({ version: 1, load: 40 });
    for (const caller of [WHOLE, SHORT]) expect((await forwarding.send('/write/', caller)).status).toBe(503);
    expect(engine.requests).toHaveLength(0);
  });
});
