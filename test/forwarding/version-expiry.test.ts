/** Tests that no request starts at an engine after the expiry of its version. */
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
/** Callbacks of the latest request for a slot. */
let asked: SlotAnswers | undefined;

/** Applies a newer configuration with `changes`. */
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
  forwarding.reportEngine(engine, { version: 1 });
});

afterEach(async () => {
  await forwarding.stop();
  await engine.stop();
  await next.stop();
});

describe('the version expiry metrics', () => {
  it('count a withdrawn request', async () => {
    forwarding.expireIn(1_000);
    const answer = forwarding.send('/write/');
    await until(() => engine.requests.length === 1, 'the request at the engine');
    forwarding.list(['one', engine, LISTED], ['two', next, LISTED_NEXT]);
    expect(await answer).toMatchObject({ status: 200, body: 'served by the next' });
    const text = await forwarding.metrics.text();
    expect(text).toMatch(/thistleway_version_withdrawals\{[^}]*\} 1/);
    expect(text).toMatch(/thistleway_version_late_begins\{[^}]*\} 0/);
  });

  it('count an answer on an expired version, from an engine that holds a different version than reported', async () => {
    engine.answer(reply(200, 'late', { 'x-version': '1' }));
    forwarding.list(['one', engine, LISTED_NEXT]);
    forwarding.reportEngine(engine, { version: 2 });
    forwarding.expireIn(0);
    expect((await forwarding.send('/write/')).body).toBe('late');
    expect(await forwarding.metrics.text()).toMatch(/thistleway_version_late_begins\{[^}]*\} 1/);
  });
});

describe('a request is withdrawn according to the engine and version assumed when it was sent, if it waits at an engine', () => {
  const [service] = ENGINE_CONFIGURATION.services;
  /** Sends a request, calls `change` once it waits at the engine, and expects the request to be withdrawn. */
  async function expectWithdrawal(change: () => void): Promise<void> {
    forwarding.expireIn(1_000);
    const answer = forwarding.send('/write/');
    await until(() => engine.open === 1, 'the request at the engine');
    change();
    expect((await answer).status).toBe(502);
    expect(await forwarding.metrics.text()).toMatch(/thistleway_version_withdrawals\{[^}]*\} 1/);
    await until(() => engine.open === 0, 'the withdrawal');
  }
  it('whose service was removed from the configuration', () =>
    expectWithdrawal(() => configure({ services: [] })));

  it('whose service no longer declares engines', () =>
    expectWithdrawal(() => configure({ services: [{ ...service, engine: undefined }] })));

  it('whose model was removed from the configuration', () =>
    expectWithdrawal(() =>
      configure({ services: [{ ...service, engine: { ...service.engine!, models: [{ name: 'other' }] } }] }),
    ));

  it('whose model now has more layers', () =>
    expectWithdrawal(() => {
      configure({ services: [{ ...service, engine: { ...service.engine!, layers: 2 * ENGINE_LAYERS } }] });
      forwarding.reportEngine(engine, { version: 0 });
    }));

  it('that reports that it holds no version', () =>
    expectWithdrawal(() => forwarding.reportEngine(engine, { version: 0 })));

  it('that reported so and has since been removed from the list', () =>
    expectWithdrawal(() => {
      forwarding.reportEngine(engine, { version: 0 });
      forwarding.list(['two', next, { ...LISTED_NEXT, leaving: true }]);
    }));

  it('but not if the engine has switched to the next version, on which the request starts', async () => {
    // The request is not aborted for silence; it reaches its timeout 0.2 s after the version has expired.
    configure({ routes: [{ ...STREAM_ROUTE, repeatability: 'never', timeout: 1_200 }] });
    forwarding.expireIn(1_000);
    const answer = forwarding.send('/write/');
    await until(() => engine.open === 1, 'the request at the engine');
    forwarding.reportEngine(engine, { version: 2 });
    expect((await answer).status).toBe(504);
    expect(await forwarding.metrics.text()).toMatch(/thistleway_version_withdrawals\{[^}]*\} 0/);
  });
});

describe('a withdrawn request', () => {
  const [service] = ENGINE_CONFIGURATION.services;
  it.each([
    ['its model was removed from the configuration', { ...service.engine!, models: [{ name: 'other' }] }],
    ['its service no longer declares engines', undefined],
  ])('is not sent to another engine with the same version, although %s', async (_change, declared) => {
    const other = await new StandInBackEnd(reply(200, 'late', { 'x-version': '1' })).start();
    try {
      forwarding.expireIn(1_000);
      const answer = forwarding.send('/write/');
      await until(() => engine.open === 1, 'the request at the engine');
      configure({ services: [{ ...service, engine: declared }] });
      forwarding.list(['one', engine, LISTED], ['two', other, LISTED]);
      forwarding.reportEngine(other, { version: 1 });
      expect((await answer).status).toBe(502);
      expect(other.requests).toHaveLength(0);
    } finally {
      await other.stop();
    }
  });
});

describe('a request that waits for a slot', () => {
  it('is not sent to an engine whose version has expired, although its service was removed from the configuration', async () => {
    forwarding.reportEngine(engine, { version: 1, slotAddress: '127.0.0.1:1' });
    const answer = forwarding.send('/write/');
    await until(() => asked !== undefined, 'a request for a slot');
    configure({ services: [] });
    forwarding.expireIn(0);
    asked!.onGranted();
    expect((await answer).status).toBe(503);
    expect(engine.requests).toHaveLength(0);
  });
});
