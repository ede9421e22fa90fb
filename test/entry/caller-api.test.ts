import { request as httpRequest } from 'node:http';
import Koa from 'koa';
import { afterEach, describe, expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import type { Row, TableService } from '../../src/clients/table-service.js';
import { Admission } from '../../src/entry/admission.js';
import type { CallRouter } from '../../src/entry/call-router.js';
import { CallerApi } from '../../src/entry/caller-api.js';
import { Configuration } from '../../src/entry/configuration.js';
import type { NonRepeatableRouter } from '../../src/entry/non-repeatable-router.js';
import { HybridClock } from '../../src/model/hybrid-clock.js';
import { seededRandom } from '../../src/model/random.js';
import type { Startable } from '../../src/model/startable.js';
import { Timeline } from '../../src/observability/timeline.js';
import { API_VERSION } from '../../src/resources/schemas.js';
import { httpServer } from '../../src/server/http-server.js';
import { DEFAULT_TENANT_LIMITS } from '../../src/systems/admission.js';
import { until } from '../support.js';

const SELF = {
  id: 'e',
  address: 'e',
  callerAddress: 'e',
  place: 'here',
  zone: 'z',
  leaving: false,
  sequence: 0,
};
const SERVICE: Row = {
  table: 'resources',
  key: 'Service/control',
  revision: 1,
  value: {
    apiVersion: API_VERSION,
    kind: 'Service',
    metadata: { name: 'control' },
    spec: { tenant: 't', places: ['elsewhere'], priority: 0, repeatable: [] },
  },
};

let server: Startable | undefined;
let api: CallerApi;
/** Whether the entry under test is leaving. */
let leaving = false;

afterEach(async () => server?.stop());

/** Serves the caller API with a configuration of these rows and without routers. */
async function startApi(rows: Row[]): Promise<string> {
  leaving = false;
  const timeline = new Timeline('e', new HybridClock());
  const configuration = new Configuration({ tables: {} as TableService, random: seededRandom(1), timeline });
  if (rows.length > 0) configuration.applyChanges(0, rows, 1);
  const limits = { inProgress: 1, queued: 0, queueTime: 0 };
  api = new CallerApi({
    configuration,
    router: {} as CallRouter,
    nonRepeatableRouter: {} as NonRepeatableRouter,
    self: () => ({ ...SELF, leaving }),
    entries: () => [SELF],
    addressLifetimeSeconds: 5,
    defaultDeadline: 1_000,
    admission: new Admission(limits, () => DEFAULT_TENANT_LIMITS),
  });
  const address = await freeAddress();
  const app = new Koa();
  app.use(api.routes().routes());
  server = httpServer(address, app.callback());
  await server.start();
  return `http://${address}`;
}

describe('CallerApi', () => {
  it.each(['/v1/entries', '/v1/models', '/services/control/look'])(
    'answers %s without a configuration as not run with a retry delay, never as "not found"',
    async (path) => {
      const answer = await fetch(`${await startApi([])}${path}`, { headers: { 'x-thistleway-tenant': 't' } });
      expect(answer.status).toBe(503);
      expect(answer.headers.get('retry-after')).toBe('1');
      expect(await answer.json()).toMatchObject({ error: { type: 'notConfigured', notRun: true } });
    },
  );

  it.each([
    ['a service that is not declared', 'other', 404, 'unknownService'],
    ['a service of another tenant', 'control', 404, 'unknownService', 'stranger'],
    ['a service whose answers may not be sent through this place', 'control', 421, 'placeNotAllowed'],
  ])('refuses %s as not run', async (_, name, status, type, tenant = 't') => {
    const base = await startApi([SERVICE]);
    const answer = await fetch(`${base}/services/${name}/look`, {
      headers: { 'x-thistleway-tenant': tenant },
    });
    expect(answer.status).toBe(status);
    expect(await answer.json()).toMatchObject({ error: { type, notRun: true } });
  });

  it('asks callers to close their connections once the entry is leaving', async () => {
    const base = await startApi([SERVICE]);
    const callService = () =>
      fetch(`${base}/services/control/look`, { headers: { 'x-thistleway-tenant': 't' } });
    expect((await callService()).headers.get('connection')).toBe('keep-alive');
    leaving = true;
    expect((await callService()).headers.get('connection')).toBe('close');
    expect((await fetch(`${base}/v1/entries`)).headers.get('connection')).toBe('close');
  });

  it('counts a request as in progress from its arrival until the end of its answer', async () => {
    const base = await startApi([SERVICE]);
    const sent = httpRequest(`${base}/services/control/look`, {
      method: 'POST',
      headers: { 'x-thistleway-tenant': 't', 'content-length': '4' },
    });
    const answered = new Promise((resolve) => sent.once('response', (answer) => resolve(answer.resume())));
    sent.write('bo');
    await until(() => api.inProgress === 1, 'the request whose body is being sent');
    sent.end('dy');
    await answered;
    await until(() => api.inProgress === 0, 'the end of its answer');
  });
});
