/**
 * Two requests began on a version 194 and 232 ms after it had expired. Each had lost its first engine, which closed the
 * connection without an answer, and waited 1.7 s in the queue of a second one. An entry takes back what has not begun 250 ms before
 * the bound, but it asked first whether the request may run once more; on a route that allows two engines it may not, as the
 * one that broke off counts as a run, and so the request was left where it was, to begin whenever its turn came.
 *
 * What settled it, from the entry's log of such a request, whose second engine came to it 194 ms after the bound:
 *
 *     attempt failed                type=broken reason=ECONNRESET ageMs=13
 *     sent again                    reason=ECONNRESET sends=1
 *     sent                          send=2 version=1
 *     began on an expired version   version=1 expiredMs=198 send=2 sentMsAgo=1175
 *
 * Nothing was withdrawn in between, while first sends at the same moment were.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import { silentLog } from '../../src/observability/log.js';
import { until } from '../support.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from './engine-configuration.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { raw, reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

/** Time from the naming to the expiry of the version that engines hold, in milliseconds: enough for a request to go there. */
const EXPIRES_IN = 1_000;
const LISTED = { layers: { from: 0, end: ENGINE_LAYERS, version: 1 } };
/** Time from the expiry to the start of the late requests, in milliseconds. */
const LATE = 194;
const silent: Script = () => {};
const breaksOff = raw((socket) => socket.resetAndDestroy());

let engines: StandInBackEnd[];
let forwarding: ForwardingHarness;
/** Messages of the entry's log, with what became of attempts. */
let logged: string[];
let namedAt: number;

/** Begins with a request `milliseconds` after the next version was told. */
function beginsAt(milliseconds: number): Script {
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
  for (const engine of engines) forwarding.tell(engine, { version: 1 });
  namedAt = performance.now();
  forwarding.expireIn(EXPIRES_IN);
}

/** Checks that requests were withdrawn, and that none waits at an engine any more. */
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

describe('a request that has not begun as the version of its engine expires is taken back', () => {
  it('on the last send that its route allows', async () => {
    // Whichever engine gets it first breaks off; the other one comes to it after the bound.
    let arrivals = 0;
    const script: Script = (...call) => (++arrivals === 1 ? breaksOff : beginsAt(EXPIRES_IN + LATE))(...call);
    await serve([script, script]);
    expect((await forwarding.send('/write/')).status).toBe(502);
    expect(arrivals).toBe(2);
    await expectWithdrawn();
    expect(logged).toContain('attempt failed: withdrawn');
    expect(logged).not.toContain('began on an expired version');
  });

  it('where its route allows no second send', async () => {
    await serve([silent], { repeatability: 'never', maxAttempts: 1 });
    expect((await forwarding.send('/write/')).status).toBe(502);
    await expectWithdrawn();
  });

  it('where its body is not kept', async () => {
    await serve([silent]);
    const body = Buffer.alloc(100_000, 'x');
    expect((await forwarding.send('/write/', { method: 'POST', body })).status).toBe(502);
    await expectWithdrawn();
  });

  it('where the budget has no repetition left', async () => {
    await serve([silent, silent]);
    while (forwarding.budget.spend(performance.now()));
    expect((await forwarding.send('/write/')).status).toBe(502);
    await expectWithdrawn();
  });

  it('though the head of an answer has come: a request begins with its first token', async () => {
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
