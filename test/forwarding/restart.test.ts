/** Guards against using state of a back end's previous process start for the next one, which has the same id. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { BackEndSet } from '../../src/fleet/back-end-identity.js';
import { BackEndBackoffs } from '../../src/forwarding/back-end-backoffs.js';
import { BackEndLimits } from '../../src/forwarding/back-end-limits.js';
import { BackEndSelector } from '../../src/forwarding/back-end-selector.js';
import {
  type BackEndRow,
  completeVersion,
  type EngineNews,
  loadOf,
} from '../../src/forwarding/back-end-table.js';
import type { SlotAnswers } from '../../src/forwarding/engine-slots.js';
import { seededRandom } from '../../src/model/random.js';
import { silentLog } from '../../src/observability/log.js';
import { Metrics } from '../../src/observability/metrics.js';
import { SilentProxy } from '../silent-proxy.js';
import { until } from '../support.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from './engine-configuration.js';
import { ForwardingHarness, NOOP_CLAIM } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import { reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

const PREVIOUS_START = 100;
const NEXT_START = 200;
const LAYERS = { from: 0, end: ENGINE_LAYERS, version: 1 };
const silent: Script = () => {};

let backEnd: StandInBackEnd;
let forwarding: ForwardingHarness;

beforeEach(async () => {
  backEnd = await new StandInBackEnd(reply(200, 'done')).start();
  forwarding = new ForwardingHarness('engines');
  const once = routeNamed('once', { repeatability: 'never', targets: [{ service: 'engines', weight: 1 }] });
  const again = routeNamed('again', { maxAttempts: 2, targets: [{ service: 'engines', weight: 1 }] });
  const { routes } = ENGINE_CONFIGURATION;
  await forwarding.start({ ...ENGINE_CONFIGURATION, routes: [...routes, once, again] });
  start(PREVIOUS_START, true);
});

afterEach(async () => {
  await forwarding.stop();
  await backEnd.stop();
});

/** Lists the back end with this process start. */
function start(which: number, isLoaded: boolean): void {
  forwarding.list(['one', backEnd, { start: which, layers: isLoaded ? LAYERS : undefined }]);
}

function row(): BackEndRow {
  return forwarding.backEnds.rows.get('one')!;
}

/** Reports, as the agent, that the engine with this process start holds version 1 and has 3 requests. */
function tell(which: number | undefined): void {
  forwarding.backEnds.applyReport(backEnd.address, engineNews(which));
}

function engineNews(which: number | undefined): EngineNews {
  return {
    start: which,
    version: 1,
    isReached: true,
    isSwitching: true,
    slotAddress: '127.0.0.1:1',
    load: 3,
    reportedAt: performance.now(),
    switchAt: Number.POSITIVE_INFINITY,
  };
}

describe('a back end that restarts with the same id', () => {
  it('has no requests in flight, no failures, and no other state of the previous start', async () => {
    await forwarding.send('/again/');
    tell(PREVIOUS_START);
    forwarding.backEnds.applyLoads('other', [{ id: 'one', start: PREVIOUS_START, inFlight: 7 }]);
    const previous = row();
    previous.health.note('silent', performance.now(), 0);
    previous.health.note('silent', performance.now(), 0);
    expect(loadOf(previous)).toBe(7);
    start(NEXT_START, false);
    expect(row()).not.toBe(previous);
    expect(row()).toMatchObject({
      inFlight: 0,
      pendingPromptTokens: 0,
      inFlightElsewhere: 0,
      firstAnswerTime: 0,
      duration: 0,
      news: undefined,
      agent: undefined,
    });
    expect(row().health.suspended).toBe(false);
    expect(loadOf(row())).toBe(0);
    expect(completeVersion(row(), ENGINE_LAYERS)).toBe(0);
    expect([...forwarding.backEnds.ofService('engines')]).toEqual([row()]);
  });

  it('that has not restarted is still suspended after its record was lost and has come back', () => {
    row().health.noteCrashed(performance.now());
    forwarding.list();
    start(PREVIOUS_START, true);
    expect(row().health.suspended).toBe(true);
    forwarding.list();
    start(NEXT_START, true);
    expect(row().health.suspended).toBe(false);
  });

  it('gets its requests over new connections, and kept-alive ones to the previous start are closed', async () => {
    const proxy = await new SilentProxy(backEnd.address).start();
    const listed = { address: proxy.address, layers: LAYERS };
    forwarding.list(['one', backEnd, { ...listed, start: PREVIOUS_START + 1 }]);
    await forwarding.send('/again/');
    expect(proxy.open).toBe(1);
    // Data on a kept-alive connection to the previous start does not reach the next one.
    proxy.silence();
    forwarding.list(['one', backEnd, { ...listed, start: NEXT_START }]);
    expect((await forwarding.send('/again/')).status).toBe(200);
    expect(forwarding.backEnds.silentConnections).toBe(0);
    await proxy.stop();
  });

  it('ignores late reports on the previous start, from its agent or from other entries', () => {
    start(NEXT_START, false);
    tell(PREVIOUS_START);
    expect(row().news).toBeUndefined();
    forwarding.backEnds.applyLoads('other', [{ id: 'one', start: PREVIOUS_START, inFlight: 7 }]);
    expect(row().inFlightElsewhere).toBe(0);
    tell(NEXT_START);
    forwarding.backEnds.applyLoads('other', [{ id: 'one', start: NEXT_START, inFlight: 2 }]);
    expect(row()).toMatchObject({ inFlightElsewhere: 2, news: { load: 3 } });
  });

  it('is recognized by the report of its agent before the store lists it', () => {
    const previous = row();
    forwarding.reportEngineStart(backEnd.address, NEXT_START);
    tell(NEXT_START);
    expect(row()).not.toBe(previous);
    expect(row().record).toMatchObject({ start: NEXT_START, layers: undefined });
    expect(row().news).toMatchObject({ start: NEXT_START });
    start(PREVIOUS_START, true);
    expect(row().record).toMatchObject({ start: NEXT_START, layers: undefined });
  });

  it('does not make connections to others suspect because of those to its previous start', () => {
    const two = ['two', backEnd, { address: '127.0.0.1:1' }] as const;
    const three = ['three', backEnd, { address: '127.0.0.1:2' }] as const;
    const listWith = (which: number) =>
      forwarding.list(['one', backEnd, { start: which }], [...two], [...three]);
    listWith(PREVIOUS_START);
    const { backEnds } = forwarding;
    const previous = row();
    backEnds.noteSilentConnection(previous, performance.now());
    listWith(NEXT_START);
    backEnds.noteSilentConnection(previous, performance.now());
    const closes = vi.spyOn(backEnds.rows.get('three')!.connections, 'closeIdleSince');
    backEnds.noteSilentConnection(backEnds.rows.get('two')!, performance.now());
    expect(closes).not.toHaveBeenCalled();
    backEnds.noteSilentConnection(row(), performance.now());
    expect(closes).toHaveBeenCalled();
  });

  it('is reported to other entries with its start', async () => {
    backEnd.answer(silent);
    const sent = forwarding.openRequest('/again/');
    await until(() => row().inFlight === 1, 'the request there');
    expect(forwarding.backEnds.loads()).toEqual([{ id: 'one', start: PREVIOUS_START, inFlight: 1 }]);
    start(NEXT_START, true);
    expect(forwarding.backEnds.loads()).toEqual([]);
    sent.destroy();
  });

  it('may get a request that the previous start refused', () => {
    const { fleet, backEnds } = forwarding;
    const selector = new BackEndSelector({
      fleet,
      table: backEnds,
      random: seededRandom(3),
      self: { zone: 'zone-a', region: 'region-a' },
      regionOf: () => 'region-a',
      versionBound: 8_000,
      entryCount: () => 1,
      limits: new BackEndLimits(silentLog, new Metrics('test')),
      backoffs: new BackEndBackoffs(silentLog, new Metrics('test')),
      permits: { mayClaim: () => true },
    });
    const tried = new BackEndSet();
    tried.add(row().record);
    const requirements = {
      service: 'engines',
      regions: undefined,
      isRepeatable: true,
      mayQueue: true,
      engine: undefined,
      answerTokens: 0,
      isContinuation: false,
      isLastResort: false,
      version: undefined,
      tried,
    };
    expect(selector.select(requirements)).toBeUndefined();
    start(NEXT_START, true);
    expect(selector.select(requirements)?.row).toBe(row());
  });

  it('does not get a request that may run only once and was sent to the previous start', async () => {
    let cut = () => {};
    backEnd.answer((request) => {
      cut = () => request.socket.destroy();
    });
    const answering = forwarding.send('/once/', { method: 'POST', body: 'pay' });
    await until(() => backEnd.requests.length === 1, 'the request there');
    start(NEXT_START, true);
    backEnd.answer(reply(200, 'done'));
    cut();
    // 502 and not 503, as the request may have run before the restart.
    expect((await answering).status).toBe(502);
    expect(backEnd.requests).toHaveLength(1);
  });

  it('gets a request that may run more than once, and its health does not include the failure at the previous start', async () => {
    let cut = () => {};
    backEnd.answer((request) => {
      cut = () => request.socket.destroy();
    });
    const answering = forwarding.send('/again/');
    await until(() => backEnd.requests.length === 1, 'the request there');
    start(NEXT_START, true);
    backEnd.answer(reply(200, 'done'));
    cut();
    expect((await answering).status).toBe(200);
    expect(row().health.failureShare).toBe(0);
  });

  it('may refuse a request that was sent to the previous start, which still may have run it', async () => {
    let cut = () => {};
    backEnd.answer((request) => {
      cut = () => request.socket.destroy();
    });
    const answering = forwarding.send('/again/');
    await until(() => backEnd.requests.length === 1, 'the request there');
    start(NEXT_START, true);
    backEnd.answer(reply(503, '', { 'x-not-run': '1' }));
    cut();
    expect((await answering).status).toBe(502);
    expect(backEnd.requests).toHaveLength(2);
  });

  it('gets no request for a slot that its previous start granted', async () => {
    const asked: SlotAnswers[] = [];
    const release = vi.fn();
    const other = new ForwardingHarness('engines');
    other.slots = {
      ask: (_agent, _wish, answers) => {
        asked.push(answers);
        return { ...NOOP_CLAIM, release };
      },
    };
    await other.start(ENGINE_CONFIGURATION);
    const listed = (which: number) => other.list(['one', backEnd, { start: which, layers: LAYERS }]);
    listed(PREVIOUS_START);
    other.backEnds.applyReport(backEnd.address, { ...engineNews(PREVIOUS_START), isSwitching: false });
    const answering = other.send('/write/');
    await until(() => asked.length === 1, 'the question');
    const dispatches = vi.spyOn(other.backEnds.rows.get('one')!.connections, 'dispatch');
    listed(NEXT_START);
    asked[0].onGranted();
    expect(release).toHaveBeenCalled();
    expect((await answering).status).toBe(200);
    expect(dispatches).not.toHaveBeenCalled();
    await other.stop();
  });

  it('is considered the same if no start is stated', () => {
    forwarding.list(['plain', backEnd, { layers: LAYERS }]);
    const known = forwarding.backEnds.rows.get('plain');
    forwarding.list(['plain', backEnd, { layers: LAYERS, slots: 8 }]);
    expect(forwarding.backEnds.rows.get('plain')).toBe(known);
    tell(undefined);
    expect(known?.news).toMatchObject({ load: 3 });
    // `undefined` becomes `null` when it is encoded in a message.
    forwarding.backEnds.applyLoads('other', [
      { id: 'plain', start: null as unknown as undefined, inFlight: 2 },
    ]);
    expect(known?.inFlightElsewhere).toBe(2);
  });
});
