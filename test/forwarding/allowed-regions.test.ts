/**
 * Tests that requests of routes and tenants that name regions reach back ends of these regions only, and that a request without
 * such a back end is refused at once.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { FleetConfiguration, Route } from '../../src/fleet/configuration.js';
import type { SlotAnswers } from '../../src/forwarding/engine-slots.js';
import { silentLog } from '../../src/observability/log.js';
import { until } from '../support.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from './engine-configuration.js';
import { type Answer, ForwardingHarness, NOOP_CLAIM } from './forwarding-harness.js';
import { billingConfiguration, routeNamed } from './routes.js';
import { events, reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

/** Enough requests that a choice among all back ends would take each of them. */
const REQUESTS = 12;
/** Interval between the parts of a stream, in milliseconds. */
const INTERVAL = 40;
const REGIONS = new Map([
  ['zone-a', 'region-a'],
  ['zone-b', 'region-b'],
]);
const NO_REGION = 'no back end in an allowed region';

let forwarding: ForwardingHarness;
let near: StandInBackEnd;
let far: StandInBackEnd;
let lines: Array<{ message: string; fields: Record<string, unknown> }>;

function apply(configuration: FleetConfiguration): void {
  const revision = forwarding.fleet.configurationRevision + 1;
  forwarding.fleet.applyConfiguration({
    document: Buffer.from(''),
    configuration: { ...configuration, revision },
  });
}

/** Begins to serve with one back end in each of two regions. */
async function serve(...routes: Route[]): Promise<void> {
  await forwarding.start(billingConfiguration(...routes));
  forwarding.list(['near', near], ['far', far, { zone: 'zone-b' }]);
}

/** Sends a request that no back end may get, and expects that it is refused at once and for good. */
async function expectRefused(path: string): Promise<void> {
  const { status, headers } = await forwarding.send(path);
  expect(status).toBe(503);
  expect(headers['retry-after']).toBeUndefined();
  expect(near.requests).toHaveLength(0);
  expect(far.requests).toHaveLength(0);
  expect(lines.filter(({ message }) => message === 'ended').map(({ fields }) => fields.reason)).toEqual([
    NO_REGION,
  ]);
  expect(lines.some(({ message }) => message === 'held')).toBe(false);
}

beforeEach(async () => {
  near = await new StandInBackEnd(reply(200, 'near')).start();
  far = await new StandInBackEnd(reply(200, 'far')).start();
  lines = [];
  forwarding = new ForwardingHarness('billing');
  forwarding.regionOf = (zone) => REGIONS.get(zone);
  const note = (message: string, fields: object = {}) =>
    void lines.push({ message, fields: fields as Record<string, unknown> });
  forwarding.log = { ...silentLog, info: note };
});

afterEach(async () => {
  await forwarding.stop();
  await near.stop();
  await far.stop();
});

describe('a route that names regions', () => {
  it('is served by back ends of these regions only, however near the others are', async () => {
    await serve(routeNamed('bound', { regions: ['region-b'] }));
    const answers = await Promise.all(Array.from({ length: REQUESTS }, () => forwarding.send('/bound/')));
    expect(answers.map(({ body }) => body)).toEqual(Array(REQUESTS).fill('far'));
    expect(near.requests).toHaveLength(0);
  });

  it('is refused at once where none of the regions has a back end', async () => {
    await serve(routeNamed('bound', { regions: ['region-c'] }));
    await expectRefused('/bound/');
    const line = lines.find(({ message }) => message === 'no back end');
    expect(line?.fields).toMatchObject({ excluded: { region: 2 }, regions: ['region-c'] });
    expect(await forwarding.metrics.registry.metrics()).toContain('outcome="regionNotServed"} 1');
  });

  it('is not served in a zone that the settings do not name, whatever the zone is called', async () => {
    await forwarding.start(billingConfiguration(routeNamed('bound', { regions: ['region-c'] })));
    forwarding.list(['near', near, { zone: 'region-c' }]);
    await expectRefused('/bound/');
  });

  it('leaves other routes as they are', async () => {
    await serve(routeNamed('bound', { regions: ['region-b'] }), routeNamed('free'));
    const answers = await Promise.all(Array.from({ length: REQUESTS }, () => forwarding.send('/free/')));
    expect(answers.map(({ body }) => body)).toContain('near');
  });

  it('is told to come back when a back end of its regions serves, not when another one does', async () => {
    const BACK_OFF = 3;
    far.answer(reply(503, '', { 'x-not-run': '1', 'retry-after': String(BACK_OFF) }));
    await serve(routeNamed('bound', { regions: ['region-b'], repeatability: 'never', timeout: 1_000 }));
    await forwarding.send('/bound/');
    await forwarding.send('/bound/');
    const { status, headers } = await forwarding.send('/bound/');
    expect(status).toBe(503);
    expect(Number(headers['retry-after'])).toBeGreaterThan(BACK_OFF - 1);
    expect(near.requests).toHaveLength(0);
  });
});

describe('a tenant that names regions', () => {
  const tenant = (regions: string[] | undefined) => ({
    name: 'tenant-a',
    keys: ['key-a'],
    priority: undefined,
    regions,
  });

  it('is served there on a route that allows any', async () => {
    await serve();
    const routes = [routeNamed('free', { isPublic: false })];
    apply({ ...billingConfiguration(...routes), tenants: [tenant(['region-b'])] });
    expect((await forwarding.send('/free/')).body).toBe('far');
    expect(near.requests).toHaveLength(0);
  });

  it('is refused at once on a route that has no region in common with it', async () => {
    await serve();
    const routes = [routeNamed('bound', { isPublic: false, regions: ['region-a'] })];
    apply({ ...billingConfiguration(...routes), tenants: [tenant(['region-b'])] });
    await expectRefused('/bound/');
  });
});

describe('a configuration that changes the regions of a route', () => {
  it('binds a second attempt beside the one under which the request was admitted', async () => {
    const failAndMove: Script = (request, response, body) => {
      apply(billingConfiguration(routeNamed('bound', { regions: ['region-a'] })));
      reply(500, 'failed')(request, response, body);
    };
    far.answer(failAndMove);
    await serve(routeNamed('bound', { regions: ['region-b'] }));
    const other = await new StandInBackEnd(failAndMove).start();
    forwarding.list(['near', near], ['far', far, { zone: 'zone-b' }], ['other', other, { zone: 'zone-b' }]);
    expect((await forwarding.send('/bound/')).status).toBe(500);
    expect(near.requests).toHaveLength(0);
    expect(far.requests.length + other.requests.length).toBe(1);
    await other.stop();
  });

  it('withdraws a request that has not gone out yet', async () => {
    const { log } = forwarding;
    forwarding.log = {
      ...log,
      info: (message, fields) => {
        log.info(message, fields);
        if (message === 'sent') apply(billingConfiguration(routeNamed('bound', { regions: ['region-b'] })));
      },
    };
    await serve(routeNamed('bound'));
    const { body } = await forwarding.send('/bound/');
    expect(body).toBe('far');
    expect(near.requests).toHaveLength(0);
  });

  it('lets an answer end where it runs, and does not resume it elsewhere', async () => {
    const SENT = 3;
    near.answer((request, response) => {
      const head = { 'x-request': String(request.headers['x-request']), 'x-version': '1' };
      response.writeHead(200, { ...head, 'content-type': 'text/event-stream' });
      response.write(events(1, SENT));
      setTimeout(() => {
        apply({ ...ENGINE_CONFIGURATION, routes: [{ ...STREAM_ROUTE, regions: ['region-a'] }] });
        response.write(events(SENT + 1, SENT + 1));
        setTimeout(() => response.destroy(), INTERVAL);
      }, INTERVAL);
    });
    far.answer(reply(200, events(SENT + 2, SENT + 2), { 'content-type': 'text/event-stream' }));
    forwarding = replaceHarness('engines');
    await forwarding.start(ENGINE_CONFIGURATION);
    const layers = { from: 0, end: ENGINE_LAYERS, version: 1 };
    forwarding.list(['near', near, { layers }], ['far', far, { layers, zone: 'zone-b' }]);
    const { body, whole } = await forwarding.send('/write/');
    expect({ body, whole }).toEqual({ body: events(1, SENT + 1), whole: false });
    expect(far.requests).toHaveLength(0);
  });
});

describe('a slot', () => {
  let asked: Array<{ agent: string; answers: SlotAnswers; released: boolean[] }>;

  /** Serves with an engine and its agent in each of two regions, and sends a request, for which both are asked. */
  async function askBoth(): Promise<readonly [answer: Promise<Answer>]> {
    asked = [];
    forwarding = replaceHarness('engines');
    forwarding.slots = {
      ask: (agent, _request, answers) => {
        const released: boolean[] = [];
        asked.push({ agent, answers, released });
        return {
          ...NOOP_CLAIM,
          release: (wasUsed) => void released.push(wasUsed),
        };
      },
    };
    await forwarding.start(ENGINE_CONFIGURATION);
    const layers = { from: 0, end: ENGINE_LAYERS, version: 1 };
    forwarding.list(['near', near, { layers }], ['far', far, { layers, zone: 'zone-b' }]);
    forwarding.reportEngine(near, { version: 1, slotAddress: 'agent-near' });
    forwarding.reportEngine(far, { version: 1, slotAddress: 'agent-far' });
    return [forwarding.send('/write/')] as const;
  }

  it('that is waited for is given up if its engine is no longer in an allowed region', async () => {
    const [answer] = await askBoth();
    await until(() => asked.length === 2, 'both agents');
    for (const { answers } of asked) answers.onQueued();
    apply({ ...ENGINE_CONFIGURATION, routes: [{ ...STREAM_ROUTE, regions: ['region-b'] }] });
    const ofNear = asked.find(({ agent }) => agent === 'agent-near')!;
    await until(() => ofNear.released.length > 0, 'the release');
    expect(ofNear.released).toEqual([false]);
    asked.find(({ agent }) => agent === 'agent-far')!.answers.onGranted();
    expect((await answer).body).toBe('far');
  });

  it('that is granted is returned unused if its engine is no longer in an allowed region', async () => {
    const [answer] = await askBoth();
    await until(() => asked.length === 2, 'both agents');
    apply({ ...ENGINE_CONFIGURATION, routes: [{ ...STREAM_ROUTE, regions: ['region-b'] }] });
    const ofNear = asked.find(({ agent }) => agent === 'agent-near')!;
    ofNear.answers.onGranted();
    expect(ofNear.released).toEqual([false]);
    asked.find(({ agent }) => agent === 'agent-far')!.answers.onGranted();
    expect((await answer).body).toBe('far');
    expect(near.requests).toHaveLength(0);
  });
});

/** A harness for the back ends of `service` with the settings and the log of the present one. */
function replaceHarness(service: string): ForwardingHarness {
  const { regionOf, log } = forwarding;
  return Object.assign(new ForwardingHarness(service), { regionOf, log });
}
