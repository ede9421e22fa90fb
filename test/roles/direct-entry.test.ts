/** Complete entries with an in-memory store and scripted back ends. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { connect } from '../../src/protocol/connection.js';
import { reply, StandInBackEnd } from '../forwarding/stand-in-back-end.js';
import { SilentProxy } from '../silent-proxy.js';
import { createConnectionContext, until } from '../support.js';
import {
  BOUND_REVISION,
  COLD_RATE,
  FEW_CONNECTIONS,
  type Received,
  send,
  startEntry,
  stopEntries,
  writeRecords,
} from './running-entry.js';

/** Requests at a back end with one slot behind which a stream would miss its objective. */
const LONG_QUEUE = 4;
/** Time that it takes for an answer then, in milliseconds. */
const ANSWER_TIME = 150;

/** A report of an engine, without its address and start. */
const ENGINE_REPORT = {
  slotAddress: '',
  version: 0,
  isReached: true,
  isSwitching: false,
  load: 0,
  switchesIn: undefined,
  held: [],
};

let backEnd: StandInBackEnd;

beforeEach(async () => {
  backEnd = await new StandInBackEnd(reply(200, 'done')).start();
});

afterEach(async () => {
  await stopEntries();
  await backEnd.stop();
});

describe('an entry', () => {
  it('answers 503 without a configuration, and serves as soon as it has one', async () => {
    const one = await startEntry('one', []);
    expect((await send(one, '/1/')).status).toBe(503);
    expect(one.entry.isReady).toBe(false);
    writeRecords(one.store, 1, backEnd);
    await until(() => one.entry.isReady, 'the configuration');
    expect((await send(one, '/1/')).status).toBe(200);
    expect(one.entry.addresses('zone-a', 'region-a')).toEqual([one.settings.callers]);
  });

  it('gets the configuration and the back ends from a peer if the store is unavailable to it', async () => {
    const one = await startEntry('one', []);
    writeRecords(one.store, 1, backEnd);
    await until(() => one.entry.isReady, 'the configuration');
    const two = await startEntry('two', [one.settings.peers]);
    two.store.faults.down = true;
    await until(() => two.entry.isReady, 'what the other knows');
    expect((await send(two, '/1/')).status).toBe(200);
    writeRecords(one.store, 4, backEnd);
    await until(async () => (await send(two, '/4/')).status === 200, 'the next configuration');
    expect((await send(two, '/1/')).status).toBe(404);
    // The other entry's readiness arrives with its next periodic report.
    await until(() => one.entry.addresses('zone-a', 'region-a').length === 2, 'both in the directory');
    expect(one.entry.addresses('zone-a', 'region-a').sort()).toEqual(
      [one.settings.callers, two.settings.callers].sort(),
    );
  });

  it('drops the load that another entry reported once that entry is gone', async () => {
    const one = await startEntry('one', []);
    const two = await startEntry('two', [one.settings.peers]);
    for (const { store } of [one, two]) writeRecords(store, 1, backEnd, 1);
    await until(() => one.entry.addresses('zone-a', 'region-a').length === 2, 'both entries');
    backEnd.answer(() => {});
    const cut = Array.from({ length: LONG_QUEUE }, () => send(one, '/1/').catch(() => {}));
    await until(() => backEnd.requests.length === LONG_QUEUE, 'the requests of the other');
    backEnd.answer((...exchange) => setTimeout(() => reply(200, 'done')(...exchange), ANSWER_TIME));
    // A stream is refused where it would miss its objective in the queue.
    const streamStatus = async () => (await send(two, '/stream/')).status;
    await until(async () => (await streamStatus()) === 503, 'the load of the other');
    await one.entry.stop();
    await Promise.all(cut);
    await until(() => two.entry.addresses('zone-a', 'region-a').length === 1, 'the other is gone');
    await until(async () => (await streamStatus()) === 200, 'the end of its load');
  });

  it('keeps only its share of the connections that a back end accepts from all entries together', async () => {
    const proxy = await new SilentProxy(backEnd.address).start();
    const one = await startEntry('one', []);
    const two = await startEntry('two', [one.settings.peers]);
    for (const { store } of [one, two]) writeRecords(store, 1, proxy, 4, 'few');
    await until(() => one.entry.addresses('zone-a', 'region-a').length === 2, 'the other, to the first');
    await until(() => two.entry.addresses('zone-a', 'region-a').length === 2, 'the other, to the second');
    let releases: Array<() => void> = [];
    backEnd.answer((request, response, body) => {
      releases.push(() => reply(200, 'done')(request, response, body));
    });
    const sent = [one, one, two, two].map((entry) => send(entry, '/few/'));
    await until(() => releases.length === sent.length, 'all requests');
    for (const release of releases) release();
    const statuses = (await Promise.all(sent)).map(({ status }) => status);
    expect(statuses).toEqual([200, 200, 200, 200]);
    await until(() => proxy.open === FEW_CONNECTIONS, 'the end of the others');
    // The connections that were kept still work.
    releases = [];
    const next = [one, two].map((entry) => send(entry, '/few/'));
    await until(() => releases.length === next.length, 'the next requests');
    for (const release of releases) release();
    await Promise.all(next);
    expect(proxy.accepted).toBe(sent.length);
    await proxy.stop();
  });

  it('learns of a restart from an agent, informs its peers, and ignores a delayed report of the former start', async () => {
    const proxy = await new SilentProxy(backEnd.address).start();
    const one = await startEntry('one', []);
    const two = await startEntry('two', [one.settings.peers]);
    for (const { store } of [one, two]) writeRecords(store, 1, proxy, 4, 'billing', 100);
    await until(() => one.entry.addresses('zone-a', 'region-a').length === 2, 'the other, to the first');
    await until(() => two.entry.addresses('zone-a', 'region-a').length === 2, 'the other, to the second');
    const { context } = await createConnectionContext('agent');
    const connected = await connect(one.settings.peers, context, AbortSignal.timeout(5_000));
    if (!connected.ok) throw new Error('no connection to the entry');
    const agent = connected.value;
    agent.handleMessages(() => {});
    const report = (start: number) =>
      agent.send({ type: 'engineReport', report: { ...ENGINE_REPORT, address: proxy.address, start } });
    const sendToBoth = () => Promise.all([one, two].map((entry) => send(entry, '/1/')));
    report(100);
    await sendToBoth();
    expect(proxy.accepted).toBe(2);
    report(200);
    // Connections to the former start are not used again, but they are in use and so not closed as idle.
    await until(async () => {
      await sendToBoth();
      return proxy.accepted === 4;
    }, 'a new connection of both');
    report(100);
    report(200);
    // Entries exchange engine reports several times a second.
    await new Promise((resolve) => setTimeout(resolve, 700));
    await sendToBoth();
    expect(proxy.accepted).toBe(4);
    agent.close();
    await proxy.stop();
  });

  it('serves a route in its regions only, and names itself alone to callers of its region', async () => {
    const regions = { 'zone-a': 'region-a', 'zone-b': 'region-b' };
    const one = await startEntry('one', [], { regions });
    const place = { zone: 'zone-b', region: 'region-b', regions };
    const two = await startEntry('two', [one.settings.peers], place);
    for (const { store } of [one, two]) writeRecords(store, BOUND_REVISION, backEnd);
    // Callers of unknown regions are sent to the region of the bound route.
    const ofOther = JSON.stringify([two.settings.callers]);
    await until(() => JSON.stringify(one.entry.addresses('', '')) === ofOther, 'the other');
    expect(one.entry.addresses('zone-a', 'region-a', 'api.example')).toEqual([one.settings.callers]);
    expect(one.entry.addresses('zone-a', 'region-a', 'other.example')).toHaveLength(2);
    const refused = await send(one, `/${BOUND_REVISION}/`);
    expect(refused).toMatchObject({ status: 503, retryAfter: undefined });
    expect((await send(one, '/stream/')).status).toBe(200);
    expect(backEnd.requests).toHaveLength(1);
  });

  it('limits a back end of which an agent of another entry says that it is cold', async () => {
    const one = await startEntry('one', []);
    const two = await startEntry('two', [one.settings.peers], {}, undefined, one.store);
    writeRecords(one.store, BOUND_REVISION, backEnd, 4, 'billing', 100);
    for (const { entry } of [one, two])
      await until(() => entry.addresses('zone-a', 'region-a').length === 2, 'the other');
    const { context } = await createConnectionContext('agent');
    const connected = await connect(one.settings.peers, context, AbortSignal.timeout(5_000));
    if (!connected.ok) throw new Error('no connection to the entry');
    const agent = connected.value;
    agent.handleMessages(() => {});
    const report = { ...ENGINE_REPORT, address: backEnd.address, start: 100, coldLeft: 60_000 };
    agent.send({ type: 'engineReport', report });
    await until(async () => (await send(two, '/stream/')).status === 503, 'the limit at the other entry');
    const before = backEnd.requests.length;
    const begun = performance.now();
    while (performance.now() < begun + 1_000)
      await Promise.all([one, one, two, two].map((entry) => send(entry, '/stream/')));
    expect(backEnd.requests.length - before).toBeLessThanOrEqual(1.5 * COLD_RATE + 5);
    agent.close();
  });

  it('is removed from the directory when it drains, but serves on and finishes requests in progress', async () => {
    const one = await startEntry('one', []);
    const two = await startEntry('two', [one.settings.peers]);
    for (const { store } of [one, two]) writeRecords(store, 1, backEnd);
    await until(() => one.entry.addresses('zone-a', 'region-a').length === 2, 'both entries');
    let release: () => void = () => {};
    backEnd.answer((request, response, body) => {
      release = () => reply(200, 'late')(request, response, body);
    });
    const slow = send(one, '/1/');
    await until(() => backEnd.requests.length === 1, 'the slow request');
    const left = one.entry.leave();
    expect(one.entry.isReady).toBe(false);
    await until(() => two.entry.addresses('zone-a', 'region-a').length === 1, 'the other hears of it');
    backEnd.answer(reply(200, 'done'));
    expect(await send(one, '/1/')).toMatchObject({ status: 200, close: true });
    release();
    expect(await slow).toMatchObject({ status: 200, isComplete: true });
    await left;
    await expect(send(one, '/1/')).rejects.toThrow();
  });

  it('accepts nothing while draining that could not finish before it stops', async () => {
    const LONG_ANSWER = 2_600;
    const one = await startEntry('one', []);
    writeRecords(one.store, 1, backEnd);
    await until(() => one.entry.isReady, 'the configuration');
    backEnd.answer((request, response, body) => {
      setTimeout(() => reply(200, 'long')(request, response, body), LONG_ANSWER);
    });
    const left = one.entry.leave();
    const sent: Array<Promise<Received>> = [];
    const isOpen = { value: true };
    while (isOpen.value) {
      const answer = send(one, '/1/');
      answer.catch(() => {
        isOpen.value = false;
      });
      sent.push(answer);
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    await left;
    const outcomes = await Promise.allSettled(sent);
    const taken = outcomes.flatMap((outcome) => (outcome.status === 'fulfilled' ? [outcome.value] : []));
    const refused = outcomes.flatMap((outcome) =>
      outcome.status === 'rejected' ? [outcome.reason.code] : [],
    );
    const served = taken.filter(({ status, isComplete }) => status === 200 && isComplete);
    expect(served.length).toBeGreaterThan(0);
    // Every forwarded request was served, and the callers of all others were refused with an answer.
    expect(backEnd.requests.length).toBe(served.length);
    const others = taken.filter((answer) => !served.includes(answer));
    expect(others.every(({ status, isComplete, close }) => status === 503 && isComplete && close)).toBe(true);
    // Later callers got no connection, so they know that nothing was read.
    expect(new Set(refused)).toEqual(new Set(['ECONNREFUSED']));
  });
});
