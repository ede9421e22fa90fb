/**
 * Guards against requests that start on an expired version: two did, 194 and 232 ms after the expiry. Each had lost its first
 * engine, which closed the connection without an answer, and had waited 1.7 s in the queue of a second one.
 *
 * An entry withdraws requests that have not started 250 ms before the expiry. The fault was to check first whether the
 * request may be sent again. On a route with two attempts it may not, as the broken attempt counts, so the request was not
 * withdrawn. Log of such a request; first sends at the same time were withdrawn:
 *
 *     attempt failed                type=broken reason=ECONNRESET ageMs=13
 *     sent again                    reason=ECONNRESET sends=1
 *     sent                          send=2 version=1
 *     began on an expired version   version=1 expiredMs=198 send=2 sentMsAgo=1175
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import { silentLog } from '../../src/observability/log.js';
import { until } from '../support.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from './engine-configuration.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { raw, reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

/**
 * Time from the naming of the next version to the expiry of the one that the engines hold, in milliseconds; long enough for a
 * request to be sent there.
 */
const EXPIRES_IN = 1_000;
const LISTED = { layers: { from: 0, end: ENGINE_LAYERS, version: 1 } };
/** Time from the expiry to the start of the late requests, in milliseconds. */
const LATE = 194;
const silent: Script = () => {};
const breaksConnection = raw((socket) => socket.resetAndDestroy());

let engines: StandInBackEnd[];
let forwarding: ForwardingHarness;
/** Messages of the entry's log; those of failed attempts with the type of the failure. */
let logged: string[];
let namedAt: number;

/** Answers a request `milliseconds` after the next version was named. */
function answersAt(milliseconds: number): Script {
  return (...call) => {
    const served = reply(200, 'served', { 'x-version': '1' });
    setTimeout(() => served(...call), namedAt + milliseconds - performance.now());
  };
}

/** Starts `scripts.length` engines on the first version and names the next one. */
async function serve(scripts: Script[], route: Partial<typeof STREAM_ROUTE> = {}): Promise<void> {
  engines = await Promise.all(scripts.map((script) => new StandInBackEnd(script).start()));
  await forwarding.start({ ...ENGINE_CONFIGURATION, routes: [{ ...STREAM_ROUTE, ...route }] });
  forwarding.list(
    ...engines.map((engine, index): Parameters<typeof forwarding.list>[0] => [`e${index}`, engine, LISTED]),
  );
  for (const engine of engines) forwarding.reportEngine(engine, { version: 1 });
  namedAt = performance.now();
  forwarding.expireIn(EXPIRES_IN);
}

/** Checks that requests were withdrawn, and that none is left at an engine. */
async function expectWithdrawn(): Promise<void> {
  const text = await forwarding.metrics.text();
  expect(text).toMatch(/thistleway_version_withdrawals\{[^}]*\} [1-9]/);
  await until(() => engines.every(({ open }) => open === 0), 'no request at an engine');
}

beforeEach(() => {
  forwarding = new ForwardingHarness('engines');
  logged = [];
  const info = (message: string, fields: { type?: string } = {}) => {
    logged.push(message === 'attempt failed' ? `${message}: ${fields.type}` : message);
  };
  forwarding.log = { ...silentLog, info };
});

afterEach(async () => {
  await forwarding.stop();
  await Promise.all(engines.map((engine) => engine.stop()));
});

describe('a request that has not started when the version of its engine expires is withdrawn', () => {
  it('on the last send that its route allows', async () => {
    // The engine that gets the request first breaks the connection; the other one starts it after the expiry.
    let arrivals = 0;
    const script: Script = (...call) =>
      (++arrivals === 1 ? breaksConnection : answersAt(EXPIRES_IN + LATE))(...call);
    await serve([script, script]);
    expect((await forwarding.send('/write/')).status).toBe(502);
    expect(arrivals).toBe(2);
    await expectWithdrawn();
    expect(logged).toContain('attempt failed: withdrawn');
    expect(logged).not.toContain('began on an expired version');
  });

  it('if its route allows no second send', async () => {
    await serve([silent], { repeatability: 'never', maxAttempts: 1 });
    expect((await forwarding.send('/write/')).status).toBe(502);
    await expectWithdrawn();
  });

  it('if its body is not buffered', async () => {
    await serve([silent]);
    const body = Buffer.alloc(100_000, 'x');
    expect((await forwarding.send('/write/', { method: 'POST', body })).status).toBe(502);
    await expectWithdrawn();
  });

  it('if the retry budget is used up', async () => {
    await serve([silent, silent]);
    while (forwarding.budget.spend(performance.now()));
    expect((await forwarding.send('/write/')).status).toBe(502);
    await expectWithdrawn();
  });

  it('even if the head of an answer has arrived, as a request starts with its first token', async () => {
    const head: Script = (request, response) => {
      response.writeHead(200, {
        'x-request': String(request.headers['x-request']),
        'content-type': 'text/event-stream',
        'x-version': '1',
      });
      response.flushHeaders();
    };
    await serve([head]);
    expect((await forwarding.send('/write/')).status).toBe(502);
    await expectWithdrawn();
  });
});
