/** Guards against requests to an engine that may hold weights which are not proven, because its agent has ended during a switch. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { EngineNews } from '../../src/forwarding/back-end-table.js';
import { silentLog } from '../../src/observability/log.js';
import { until } from '../support.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from './engine-configuration.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { reply, StandInBackEnd } from './stand-in-back-end.js';

/** Requests enough that each of two eligible engines gets some of them. */
const MANY = 20;
const layersOf = (version: number) => ({ layers: { from: 0, end: ENGINE_LAYERS, version } });

let switching: StandInBackEnd;
let other: StandInBackEnd;
let forwarding: ForwardingHarness;
let stamp: number;
/** Called when a request is about to be sent, before a connection is open for it. */
let onSent: () => void;

/** Lists both engines; the one that switches has this version and start. */
function listBoth(version = 1, start = 100): void {
  forwarding.list(['one', switching, { ...layersOf(version), start }], ['two', other, layersOf(1)]);
}

/** Reports the switching engine as the agent process `agent` does. */
function report(agent: string, news: Partial<EngineNews>): void {
  forwarding.reportEngine(switching, { agent, stamp: ++stamp, start: 100, isProven: false, ...news });
}

const announce = () => report('first', { version: 1, isSwitching: true });

/** Whether the switching engine gets requests. */
async function isUsed(): Promise<boolean> {
  const before = switching.requests.length;
  for (let sent = 0; sent < MANY; sent++) expect((await forwarding.send('/write/')).status).toBe(200);
  return switching.requests.length > before;
}

beforeEach(async () => {
  stamp = 0;
  switching = await new StandInBackEnd(reply(200, 'one', { 'x-version': '2' })).start();
  other = await new StandInBackEnd(reply(200, 'two', { 'x-version': '1' })).start();
  onSent = () => {};
  forwarding = new ForwardingHarness('engines');
  forwarding.log = { ...silentLog, info: (message) => (message === 'sent' ? onSent() : undefined) };
  await forwarding.start(ENGINE_CONFIGURATION);
  listBoth();
  report('first', { version: 1, isProven: true });
  await until(isUsed, 'requests to the engine');
});

afterEach(async () => {
  await forwarding.stop();
  await Promise.all([switching.stop(), other.stop()]);
});

/** Expects no requests to the engine until its second agent reports a proof of version 2. */
async function expectUseOnceProven(): Promise<void> {
  report('second', { version: 2 });
  expect(await isUsed()).toBe(false);
  report('second', { version: 2, isSwitching: true });
  expect(await isUsed()).toBe(false);
  report('second', { version: 2, isProven: true });
  await until(isUsed, 'requests to the engine');
}

describe('an engine whose agent has ended during a switch gets no requests', () => {
  it('while no agent is heard, though the list shows the new version complete', async () => {
    announce();
    listBoth(2);
    expect(await isUsed()).toBe(false);
  });

  it('while the next agent has not proven the weights', async () => {
    announce();
    listBoth(2);
    report('second', { version: 0, isReached: false });
    expect(await isUsed()).toBe(false);
    await expectUseOnceProven();
  });

  it('until it restarts', async () => {
    announce();
    listBoth(1, 200);
    await until(isUsed, 'requests to the engine');
  });

  it('after its record was lost for a time', async () => {
    announce();
    forwarding.list(['two', other, layersOf(1)]);
    listBoth(2);
    expect(await isUsed()).toBe(false);
  });

  it('if that was announced while its record was lost', async () => {
    forwarding.list(['two', other, layersOf(1)]);
    announce();
    report('second', { version: 0, isReached: false });
    listBoth(2);
    expect(await isUsed()).toBe(false);
  });

  it('if its first record appears beside that of an earlier start to which its reports were attributed', async () => {
    forwarding.reportEngineStart(switching.address, 200);
    report('first', { version: 0, start: 200, isSwitching: true });
    report('second', { version: 0, start: 200, isReached: false });
    forwarding.list(
      ['one', switching, { ...layersOf(1), start: 100 }],
      ['next', switching, { ...layersOf(2), start: 200 }],
      ['two', other, layersOf(1)],
    );
    expect(await isUsed()).toBe(false);
  });

  it('if that was announced while the list still showed an earlier start', async () => {
    report('first', { version: 0, start: 300, isSwitching: true });
    report('second', { version: 0, start: 300, isReached: false });
    listBoth(1, 200);
    listBoth(2, 300);
    expect(await isUsed()).toBe(false);
  });

  it('if another entry knows of the switch, before or after the engine is listed', async () => {
    const unfinished = { id: 'one', start: 200, agent: 'first', stamp: 1 };
    forwarding.backEnds.applyUnfinishedSwitch(unfinished);
    listBoth(1, 200);
    expect(await isUsed()).toBe(false);
    listBoth(1, 300);
    await until(isUsed, 'requests to the engine');
    forwarding.backEnds.applyUnfinishedSwitch({ ...unfinished, start: 300 });
    expect(await isUsed()).toBe(false);
  });
});

describe('an engine that has loaded a version of which no agent has told', () => {
  it('gets no requests until an agent has proven it', async () => {
    listBoth(2);
    expect(await isUsed()).toBe(false);
    await expectUseOnceProven();
  });

  it('gets requests if the agent is of an earlier release', async () => {
    report('first', { version: 1, isProven: undefined });
    listBoth(2);
    await until(isUsed, 'requests to the engine');
  });
});

it('an agent is told of a switch that another process has left unfinished at its engine', () => {
  const isTold = (agent: string, start = 100) =>
    forwarding.backEnds.hasUnfinishedSwitch(switching.address, start, agent);
  expect(isTold('second')).toBe(false);
  announce();
  expect(isTold('first')).toBe(false);
  expect(isTold('second')).toBe(true);
  expect(isTold('second', 200)).toBe(false);
  report('second', { version: 2, isSwitching: true });
  expect(isTold('second')).toBe(true);
  report('second', { version: 2, isProven: true });
  expect(isTold('second')).toBe(false);
  listBoth(3);
  expect(isTold('second')).toBe(true);
});

describe('a request that is under way to an engine when its agent announces a switch', () => {
  it('is sent to another one if its connection opens after that', async () => {
    const before = switching.requests.length;
    forwarding.list(['one', switching, { ...layersOf(1), start: 100 }]);
    onSent = () => {
      onSent = () => {};
      listBoth();
      announce();
    };
    expect(await forwarding.send('/write/')).toMatchObject({ status: 200, body: 'two' });
    expect(switching.requests).toHaveLength(before);
  });
});
