/**
 * Tests that crashes are attributed to the content that caused them even if they are hard to detect. In each of these
 * cases the content was previously sent to one back end after the other: the back end had restarted and accepted the
 * probe; the caller had left and its request had been withdrawn just before the crash; the content came with
 * different headers, keys or tenants.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { until } from '../support.js';
import { ENGINE_CONFIGURATION } from './engine-configuration.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import { reply, StandInBackEnd } from './stand-in-back-end.js';

/** Maximum number of crashes in total: three, and three more sends. */
const MAX_CRASHES = 6;
const SENDS = 10;
/** Crashes within this time of one another count as one wave, in milliseconds. */
const WAVE_TIME = 60;

const SERVICES = [{ name: 'billing', maxConnections: 0, engine: undefined }];
/** Time within which an entry notices that a back end is no longer listed, in milliseconds. */
const CHECK_TIME = 400;

let forwarding: ForwardingHarness;
let backEnds: StandInBackEnd[];
let ended: number;

beforeEach(async () => {
  ended = 0;
  forwarding = new ForwardingHarness('billing');
  const once = routeNamed('once', { repeatability: 'never', maxAttempts: 1, objective: 5_000 });
  await forwarding.start({ ...ENGINE_CONFIGURATION, routes: [once], services: SERVICES });
  backEnds = await Promise.all(
    Array.from({ length: SENDS }, () => new StandInBackEnd(reply(200, 'done')).start()),
  );
});

afterEach(async () => {
  await forwarding.stop();
  await Promise.all(backEnds.map((backEnd) => backEnd.stop()));
});

describe('a content whose crashes are not detected by probes', () => {
  it('is sent at most three more times after the third crash if each back end restarts before it is probed', async () => {
    const [backEnd] = backEnds;
    // The process ends and the next one listens at once: the connection breaks, and the port accepts the probe.
    backEnd.answer((request) => {
      ended++;
      request.socket.destroy();
    });
    for (let sent = 0; sent < SENDS; sent++) {
      forwarding.list(['engine', backEnd, { start: sent + 1 }]);
      await forwarding.send('/once/', { method: 'POST', body: 'deadly' });
      await pause(2 * WAVE_TIME);
    }
    expect(ended).toBeLessThanOrEqual(MAX_CRASHES);
  });

  it('is sent at most three more times after the third crash if each caller leaves before the crash', async () => {
    for (const [index, backEnd] of backEnds.entries()) {
      const neighbour = new Promise<void>((resolve) => {
        backEnd.answer((request) => {
          if (request.url?.endsWith('beside') === true) return resolve();
          ended++;
        });
      });
      forwarding.list([`b${index}`, backEnd]);
      const other = forwarding.send(`/once/${index}/beside`);
      await neighbour;
      const before = ended;
      const caller = forwarding.openRequest('/once/deadly');
      let refused = false;
      caller.on('response', () => {
        refused = true;
      });
      await until(() => ended > before || refused, 'the request to run or be refused');
      caller.destroy();
      await until(() => forwarding.active === 1, 'the request to end');
      await backEnd.stop();
      await other;
      await pause(2 * WAVE_TIME);
    }
    expect(ended).toBeLessThanOrEqual(MAX_CRASHES);
  });

  it('is sent at most three more times after the third crash if no other request runs and each caller leaves before the crash', async () => {
    for (const [index, backEnd] of backEnds.entries()) {
      const run = new Promise<void>((resolve) => {
        backEnd.answer(() => {
          ended++;
          resolve();
        });
      });
      forwarding.list([`b${index}`, backEnd]);
      const caller = forwarding.openRequest('/once/deadly');
      const refused = new Promise<void>((resolve) => caller.once('response', () => resolve()));
      await Promise.race([run, refused]);
      caller.destroy();
      await until(() => forwarding.active === 0, 'the request to end');
      await backEnd.stop();
      // Its record in the list expires.
      forwarding.list();
      await pause(CHECK_TIME);
    }
    expect(ended).toBeLessThanOrEqual(MAX_CRASHES);
  });
});

describe('a content that crashes back ends and comes with different headers, keys or tenants', () => {
  it('is sent at most three more times after the third crash with different headers', async () => {
    for (const [index, backEnd] of backEnds.entries()) {
      backEnd.answer(() => {
        ended++;
        void backEnd.stop();
      });
      forwarding.list([`b${index}`, backEnd]);
      const headers = { 'x-tokens': `10,${index}` };
      await forwarding.send('/once/', { method: 'POST', body: 'deadly', headers });
      await pause(2 * WAVE_TIME);
    }
    expect(ended).toBeLessThanOrEqual(MAX_CRASHES);
  });

  /** A tenant may replace its keys, and a key may pass to another tenant. */
  const changes: Array<[string, (index: number) => { key: string; tenant: string }]> = [
    ['keys of one tenant', (index) => ({ key: `key ${index}`, tenant: 'tenant' })],
    ['tenants of one key', (index) => ({ key: 'key', tenant: `tenant ${index}` })],
  ];
  it.each(changes)(
    'is sent at most three more times after the third crash with different %s',
    async (_name, callerOf) => {
      const [route] = forwarding.fleet.routes!.configuration.routes;
      for (const [index, backEnd] of backEnds.entries()) {
        backEnd.answer(() => {
          ended++;
          void backEnd.stop();
        });
        const { key, tenant } = callerOf(index);
        const tenants = [{ name: tenant, keys: [key], priority: undefined }];
        const routes = [{ ...route, isPublic: false }];
        const configuration = {
          ...ENGINE_CONFIGURATION,
          revision: index + 2,
          routes,
          services: SERVICES,
          tenants,
        };
        forwarding.fleet.applyConfiguration({ document: Buffer.from(''), configuration });
        forwarding.list([`b${index}`, backEnd]);
        await forwarding.send('/once/', { method: 'POST', body: 'deadly', headers: { 'x-key': key } });
        await pause(2 * WAVE_TIME);
      }
      expect(ended).toBeLessThanOrEqual(MAX_CRASHES);
    },
  );
});
