/**
 * Back ends ended under one content, and the entry did not take them for crashes that it had a part in: the process was back and
 * accepted the call that was to show its end; the caller had left, so that its request had been taken back, just before the end; the content
 * came with other headers. In each case it was sent on as if nothing had been, to one back end after the other.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { until } from '../support.js';
import { ENGINE_CONFIGURATION } from './engine-configuration.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import { reply, StandInBackEnd } from './stand-in-back-end.js';

/** Ends that are allowed in all: three, and three more sends. */
const MOST_ENDED = 6;
const SENDS = 10;
/** Ends within this of one another count as one wave, in milliseconds. */
const SAME_MOMENT = 60;

const SERVICES = [{ name: 'billing', maxConnections: 0, engine: undefined }];
/** Time in which an entry notices that a back end is listed no more, in milliseconds. */
const LOOK = 400;

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

describe('a content under which back ends crash unseen', () => {
  it('is sent at most three times more after the third where each is back before it can be called', async () => {
    const [backEnd] = backEnds;
    // Its process ends and the next one listens at once: the connection is lost, and the port accepts.
    backEnd.answer((request) => {
      ended++;
      request.socket.destroy();
    });
    for (let sent = 0; sent < SENDS; sent++) {
      forwarding.list(['engine', backEnd, { start: sent + 1 }]);
      await forwarding.send('/once/', { method: 'POST', body: 'deadly' });
      await pause(2 * SAME_MOMENT);
    }
    expect(ended).toBeLessThanOrEqual(MOST_ENDED);
  });

  it('is sent at most three times more after the third where each caller leaves before the end', async () => {
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
      const caller = forwarding.open('/once/deadly');
      let refused = false;
      caller.on('response', () => {
        refused = true;
      });
      await until(() => ended > before || refused, 'its run or its refusal');
      caller.destroy();
      await until(() => forwarding.active === 1, 'its end');
      await backEnd.stop();
      await other;
      await pause(2 * SAME_MOMENT);
    }
    expect(ended).toBeLessThanOrEqual(MOST_ENDED);
  });

  it('is sent at most three times more after the third where it is alone at each and its caller leaves before the end', async () => {
    for (const [index, backEnd] of backEnds.entries()) {
      const run = new Promise<void>((resolve) => {
        backEnd.answer(() => {
          ended++;
          resolve();
        });
      });
      forwarding.list([`b${index}`, backEnd]);
      const caller = forwarding.open('/once/deadly');
      const refused = new Promise<void>((resolve) => caller.once('response', () => resolve()));
      await Promise.race([run, refused]);
      caller.destroy();
      await until(() => forwarding.active === 0, 'its end');
      await backEnd.stop();
      // Its entry in the list lapses.
      forwarding.list();
      await pause(LOOK);
    }
    expect(ended).toBeLessThanOrEqual(MOST_ENDED);
  });
});

describe('a content under which back ends crash, in another guise each time', () => {
  it('is sent at most three times more after the third whatever headers it comes with', async () => {
    for (const [index, backEnd] of backEnds.entries()) {
      backEnd.answer(() => {
        ended++;
        void backEnd.stop();
      });
      forwarding.list([`b${index}`, backEnd]);
      const headers = { 'x-tokens': `10,${index}` };
      await forwarding.send('/once/', { method: 'POST', body: 'deadly', headers });
      await pause(2 * SAME_MOMENT);
    }
    expect(ended).toBeLessThanOrEqual(MOST_ENDED);
  });

  /** A tenant may replace its keys, and a key may pass to another tenant. */
  const changes: Array<[string, (index: number) => { key: string; tenant: string }]> = [
    ['key of its tenant', (index) => ({ key: `key ${index}`, tenant: 'tenant' })],
    ['tenant its key belongs to', (index) => ({ key: 'key', tenant: `tenant ${index}` })],
  ];
  it.each(changes)(
    'is sent at most three times more after the third whatever %s',
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
        await pause(2 * SAME_MOMENT);
      }
      expect(ended).toBeLessThanOrEqual(MOST_ENDED);
    },
  );
});
