/** Requests at engines whose version expires: none may begin there from then on. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import type { SlotAnswers } from '../../src/forwarding/engine-slots.js';
import { until } from '../support.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from './engine-configuration.js';
import { ForwardingHarness, NOOP_CLAIM } from './forwarding-harness.js';
import { reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

const LISTED = { layers: { from: 0, end: ENGINE_LAYERS, version: 1 } };
const LISTED_NEXT = { layers: { from: 0, end: ENGINE_LAYERS, version: 2 } };
const silent: Script = () => {};

let engine: StandInBackEnd;
let next: StandInBackEnd;
let forwarding: ForwardingHarness;
/** Answers of the agent that was asked for a slot last. */
let asked: SlotAnswers | undefined;

/** A newer configuration with `changes` comes into force. */
function configure(changes: Partial<FleetConfiguration>): void {
  const configuration = { ...ENGINE_CONFIGURATION, revision: 2, ...changes };
  forwarding.fleet.applyConfiguration({ document: Buffer.from(''), configuration });
}

beforeEach(async () => {
  engine = await new StandInBackEnd(silent).start();
  next = await new StandInBackEnd(reply(200, 'served by the next', { 'x-version': '2' })).start();
  asked = undefined;
  forwarding = new ForwardingHarness('engines');
  forwarding.slots = {
    ask: (_agent, _wish, answers) => {
      asked = answers;
      return NOOP_CLAIM;
    },
  };
  await forwarding.start(ENGINE_CONFIGURATION);
  forwarding.list(['one', engine, LISTED]);
  forwarding.tell(engine, { version: 1 });
});

afterEach(async () => {
  await forwarding.stop();
  await engine.stop();
  await next.stop();
});

describe('figures of versions that expire', () => {
  it('tell of a request that was taken back', async () => {
    forwarding.expireIn(1_000);
    const answer = forwarding.send('/write/');
    await until(() => engine.requests.length === 1, 'the request there');
    forwarding.list(['one', engine, LISTED], ['two', next, LISTED_NEXT]);
    expect(await answer).toMatchObject({ status: 200, body: 'served by the next' });
    const text = await forwarding.metrics.text();
    expect(text).toMatch(/thistleway_version_withdrawals\{[^}]*\} 1/);
    expect(text).toMatch(/thistleway_version_late_begins\{[^}]*\} 0/);
  });

  it('tell of an answer on a version that had expired, as of an engine that holds another one than it told', async () => {
    engine.answer(reply(200, 'late', { 'x-version': '1' }));
    forwarding.list(['one', engine, LISTED_NEXT]);
    forwarding.tell(engine, { version: 2 });
    forwarding.expireIn(0);
    expect((await forwarding.send('/write/')).body).toBe('late');
    expect(await forwarding.metrics.text()).toMatch(/thistleway_version_late_begins\{[^}]*\} 1/);
  });
});

describe('a request is taken back by what it was sent for, where it waits at an engine', () => {
  const [service] = ENGINE_CONFIGURATION.services;
  /** Sends a request, lets `happen` once it waits at the engine, and resolves when nothing waits there any more. */
  async function withdrawnThough(happen: () => void): Promise<void> {
    forwarding.expireIn(1_000);
    const answer = forwarding.send('/write/');
    await until(() => engine.open === 1, 'the request there');
    happen();
    expect((await answer).status).toBe(502);
    expect(await forwarding.metrics.text()).toMatch(/thistleway_version_withdrawals\{[^}]*\} 1/);
    await until(() => engine.open === 0, 'no request there');
  }
  it('whose service has left the configuration', () => withdrawnThough(() => configure({ services: [] })));

  it('whose service is no service of engines any more', () =>
    withdrawnThough(() => configure({ services: [{ ...service, engine: undefined }] })));

  it('whose model has left the configuration', () =>
    withdrawnThough(() =>
      configure({ services: [{ ...service, engine: { ...service.engine!, models: [{ name: 'other' }] } }] }),
    ));

  it('whose model has got more layers', () =>
    withdrawnThough(() => {
      configure({ services: [{ ...service, engine: { ...service.engine!, layers: 2 * ENGINE_LAYERS } }] });
      forwarding.tell(engine, { version: 0 });
    }));

  it('that tells that it holds no version', () =>
    withdrawnThough(() => forwarding.tell(engine, { version: 0 })));

  it('that told so and has left the list since', () =>
    withdrawnThough(() => {
      forwarding.tell(engine, { version: 0 });
      forwarding.list(['two', next, { ...LISTED_NEXT, leaving: true }]);
    }));

  it('but not where it has gone over to the next version: it begins on that one', async () => {
    // It is not given up for its silence, but at its time-out, 0.2 s after the version has expired.
    configure({ routes: [{ ...STREAM_ROUTE, repeatability: 'never', timeout: 1_200 }] });
    forwarding.expireIn(1_000);
    const answer = forwarding.send('/write/');
    await until(() => engine.open === 1, 'the request there');
    forwarding.tell(engine, { version: 2 });
    expect((await answer).status).toBe(504);
    expect(await forwarding.metrics.text()).toMatch(/thistleway_version_withdrawals\{[^}]*\} 0/);
  });
});

describe('a request that was taken back', () => {
  const [service] = ENGINE_CONFIGURATION.services;
  it.each([
    ['its model has left the configuration', { ...service.engine!, models: [{ name: 'other' }] }],
    ['its service is no service of engines any more', undefined],
  ])('does not go to another engine on the same version, though %s', async (_change, declared) => {
    const other = await new StandInBackEnd(reply(200, 'late', { 'x-version': '1' })).start();
    try {
      forwarding.expireIn(1_000);
      const answer = forwarding.send('/write/');
      await until(() => engine.open === 1, 'the request there');
      configure({ services: [{ ...service, engine: declared }] });
      forwarding.list(['one', engine, LISTED], ['two', other, LISTED]);
      forwarding.tell(other, { version: 1 });
      expect((await answer).status).toBe(502);
      expect(other.requests).toHaveLength(0);
    } finally {
      await other.stop();
    }
  });
});

describe('a request that waits for a slot', () => {
  it('does not go to an engine whose version has expired, though its service has left the configuration', async () => {
    forwarding.tell(engine, { version: 1, slotAddress: '127.0.0.1:1' });
    const answer = forwarding.send('/write/');
    await until(() => asked !== undefined, 'an agent asked');
    configure({ services: [] });
    forwarding.expireIn(0);
    asked!.onGranted();
    expect((await answer).status).toBe(503);
    expect(engine.requests).toHaveLength(0);
  });
});
