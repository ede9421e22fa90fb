/**
 * Tests back ends whose records were written by another system, have become invalid, or name another service or
 * address.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { until } from '../support.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from './engine-configuration.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { reply, StandInBackEnd } from './stand-in-back-end.js';

const LISTED = { layers: { from: 0, end: ENGINE_LAYERS, version: 1 } };

let engine: StandInBackEnd;
let forwarding: ForwardingHarness;

beforeEach(async () => {
  engine = await new StandInBackEnd(reply(200, 'served')).start();
  forwarding = new ForwardingHarness('engines');
  await forwarding.start(ENGINE_CONFIGURATION);
});

afterEach(async () => {
  await forwarding.stop();
  await engine.stop();
});

describe('a back end of a service that the configuration does not declare', () => {
  it('gets no requests, although a route targets the service', async () => {
    const [route] = ENGINE_CONFIGURATION.routes;
    const routes = [{ ...route, targets: [{ service: 'unnamed', weight: 1 }] }];
    const configuration = { ...ENGINE_CONFIGURATION, revision: 2, routes };
    forwarding.fleet.applyConfiguration({ document: Buffer.from(''), configuration });
    forwarding.list(['one', engine, { ...LISTED, service: 'unnamed' }]);
    expect((await forwarding.send('/write/')).status).toBe(503);
    expect(engine.requests).toHaveLength(0);
  });

  it('does not supersede a back end of a declared service at the same address', async () => {
    forwarding.list(
      ['one', engine, { ...LISTED, revision: 1 }],
      ['foreign', engine, { revision: 2, service: 'unnamed' }],
    );
    expect((await forwarding.send('/write/')).status).toBe(200);
    expect(engine.requests.map(({ headers }) => headers['x-back-end'])).toEqual(['one']);
  });
});

describe('an engine that states more layers than its model has', () => {
  it('gets no requests', async () => {
    forwarding.list(['one', engine, { layers: { from: 0, end: ENGINE_LAYERS + 1, version: 1 } }]);
    expect((await forwarding.send('/write/')).status).toBe(503);
    expect(engine.requests).toHaveLength(0);
  });
});

describe('an engine whose record becomes invalid', () => {
  it('completes its running request and gets no others', async () => {
    let finish = () => {};
    engine.answer((request, response) => {
      response.writeHead(200, { 'x-request': String(request.headers['x-request']) });
      response.write('begun, ');
      finish = () => response.end('ended');
    });
    forwarding.list(['one', engine, LISTED]);
    const running = forwarding.send('/write/');
    await until(() => engine.requests.length === 1, 'the request');
    forwarding.list();
    expect((await forwarding.send('/write/')).status).toBe(503);
    finish();
    expect(await running).toMatchObject({ status: 200, body: 'begun, ended', whole: true });
    expect(engine.requests).toHaveLength(1);
  });
});

describe('a back end whose record changes its service or address', () => {
  it('gets no more requests of its previous service', async () => {
    const services = [
      ...ENGINE_CONFIGURATION.services,
      { name: 'plain', maxConnections: 0, engine: undefined },
    ];
    const configuration = { ...ENGINE_CONFIGURATION, revision: 2, services };
    forwarding.fleet.applyConfiguration({ document: Buffer.from(''), configuration });
    forwarding.list(['one', engine, LISTED]);
    expect((await forwarding.send('/write/')).status).toBe(200);
    forwarding.list(['one', engine, { ...LISTED, service: 'plain' }]);
    expect((await forwarding.send('/write/')).status).toBe(503);
    expect(engine.requests).toHaveLength(1);
  });

  it('gets requests at its new address', async () => {
    const moved = await new StandInBackEnd(reply(200, 'moved')).start();
    forwarding.list(['one', engine, LISTED]);
    expect((await forwarding.send('/write/')).body).toBe('served');
    forwarding.list(['one', moved, LISTED]);
    expect((await forwarding.send('/write/')).body).toBe('moved');
    await moved.stop();
  });
});
