/** Tests that the stand-in engine of the soak is as late and as slow as the users' protocol allows. */
import { createServer } from 'node:net';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { type EngineTraits, StandInEngine } from './soak/engine.js';
import { StandInStage } from './soak/engine-stage.js';
import { LAYERS, PIECES, pieceOf, RunLog } from './soak/workers.js';

const TRAITS: EngineTraits = { readsStage: 'accepted', requiresFencing: true, checksHeldFirst: false };
/** Delay of a late call, in milliseconds; longer than the calls that pass it take. */
const DELAY = 1_000;
/** Longer than any test takes, in milliseconds. */
const ENDLESS = 60_000;
const WAIT = { timeout: 5_000, interval: 5 };

let log: RunLog;
let engine: StandInEngine;
let url: string;

beforeEach(async () => {
  log = new RunLog();
  await start(TRAITS);
});

afterEach(() => engine.stop());

async function start(traits: EngineTraits, version = 1): Promise<void> {
  engine?.stop();
  const address = `127.0.0.1:${await freePort()}`;
  engine = new StandInEngine({ id: 'i-1', service: 'engines', address, log, version, traits });
  await engine.start();
  url = `http://${address}`;
}

function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const address = server.address();
      server.close(() => resolve(typeof address === 'object' && address !== null ? address.port : 0));
    });
  });
}

function stage(version: number): void {
  for (let index = 0; index < PIECES; index++) engine.stage.write(index, pieceOf(version, index));
}

async function order(version: number, more: object = {}, signal?: AbortSignal): Promise<number> {
  const body = JSON.stringify({ op: 'start', model: 'm', version, method: 'queue', fence: version, ...more });
  return (await fetch(`${url}/v1/order`, { method: 'POST', body, signal })).status;
}

const write = (index: number, body: Buffer, signal?: AbortSignal) =>
  fetch(`${url}/v1/stage-put/m?length=${index}`, { method: 'PUT', body: new Uint8Array(body), signal });

const generate = (events: number) =>
  fetch(`${url}/write/1?events=${events}`, {
    method: 'POST',
    headers: { 'Attempt-Id': 'r', 'Expect-Instance': 'i-1' },
  });

async function report(): Promise<{ seq: number; busy: boolean; layers: object }> {
  return (await fetch(`${url}/v1/report`)).json() as Promise<{ seq: number; busy: boolean; layers: object }>;
}

/** Sends a call whose sender gives up as soon as it has arrived. */
async function giveUp(send: (signal: AbortSignal) => Promise<unknown>): Promise<void> {
  const sender = new AbortController();
  const arrived = new Promise<void>((resolve) => engine.callListeners.add(() => resolve()));
  const sent = send(sender.signal);
  await arrived;
  sender.abort();
  await expect(sent).rejects.toThrow();
}

const untilIdle = (orders: number) =>
  vi.waitFor(async () => expect(await report()).toMatchObject({ seq: orders, busy: false }), WAIT);

describe('a late call', () => {
  it('is an order that is accepted although its sender has given up, while reports are answered', async () => {
    stage(2);
    engine.delayNextOrder(DELAY);
    await giveUp((signal) => order(2, { expected_rev: 0 }, signal));
    expect(await report()).toMatchObject({ seq: 0 });
    await untilIdle(1);
    expect(log.orders).toMatchObject([{ version: 2, isHeldBack: true, faults: [] }]);
  });

  it('is one that waits while the engine stands still, and is carried out in the order of arrival', async () => {
    stage(2);
    engine.standStill(ENDLESS);
    await giveUp((signal) => write(7, pieceOf(3, 7), signal));
    await giveUp((signal) => order(2, { expected_rev: 0 }, signal));
    await giveUp((signal) => order(2, { expected_rev: 0 }, signal));
    engine.endFaults();
    await untilIdle(1);
    const faults = [{ piece: 7, kind: 'other' }];
    expect(log.orders).toMatchObject([{ version: 2, isHeldBack: true, faults }]);
  });

  it('is a write that overwrites what is written after it', async () => {
    engine.delayNextWrite(DELAY);
    await giveUp((signal) => write(0, pieceOf(2, 0), signal));
    await write(0, pieceOf(3, 0));
    expect(engine.stage.read(0)).toEqual(pieceOf(3, 0));
    await vi.waitFor(() => expect(engine.stage.read(0)).toEqual(pieceOf(2, 0)), WAIT);
  });

  it('is none at an engine that has stopped meanwhile', async () => {
    engine.standStill(ENDLESS);
    await giveUp((signal) => order(2, {}, signal));
    engine.stop();
    engine.endFaults();
    const stopped = engine;
    await start(TRAITS);
    await new Promise((resolve) => setTimeout(resolve, DELAY / 10));
    expect(stopped.isBusy).toBe(false);
    expect(log.orders).toEqual([]);
  });
});

describe('a corrupt piece', () => {
  it('keeps the time since which it has been corrupt until it is written', () => {
    const staged = new StandInStage(1);
    staged.corrupt(1, 1_000);
    staged.corrupt(1, 5_000);
    expect(staged.faultsOf(1, 0, 6_000)).toEqual([{ piece: 1, kind: 'corrupt', age: 5_000 }]);
    expect(staged.read(1)).not.toEqual(pieceOf(1, 1));
    staged.write(1, pieceOf(1, 1));
    expect(staged.faultsOf(1, 0, 6_000)).toEqual([]);
  });

  it('is of another version, whatever its age, if that was written', () => {
    const staged = new StandInStage(1);
    staged.corrupt(1, 1_000);
    const [fault] = staged.faultsOf(2, 0, 1_000).filter(({ piece }) => piece === 1);
    expect(fault).toEqual({ piece: 1, kind: 'other', age: Number.POSITIVE_INFINITY });
  });

  it('outlasts the engine', () => {
    engine.corruptPiece(0);
    const options = { id: 'i-1', service: 'engines', address: 'none', log, version: 0 };
    const next = new StandInEngine({ ...options, stage: engine.stage });
    expect(next.record()).toMatchObject({ layers: undefined });
    expect(next.stage.faultsOf(1, 0, performance.now())).toMatchObject([{ piece: 0, kind: 'corrupt' }]);
  });
});

describe('an order', () => {
  it('for some layers leaves the engine with these, and without requests until it holds all again', async () => {
    expect(await order(1, { from: 4 })).toBe(202);
    await untilIdle(1);
    expect(await report()).toMatchObject({ layers: { from: 4, target_version: LAYERS, version: 1 } });
    expect((await generate(1)).status).toBe(421);
    expect(await order(1, { from: 0, target_version: LAYERS })).toBe(202);
    await untilIdle(2);
    expect(await (await generate(1)).text()).toContain('id: 1');
    // The layers given up were loaded anew, the others were kept.
    const [{ layers }] = log.runs;
    expect(new Set(layers.slice(0, 4).map(({ load }) => load)).size).toBe(1);
    expect(layers[0].load).not.toBe(layers[4].load);
    expect(layers[4].load).toBe(layers[LAYERS - 1].load);
  });

  it('gets 200 for what is held, 409 for another count of orders, 412 for a lower token, 400 for no layers', async () => {
    expect(await order(1)).toBe(200);
    expect(await order(1, { expected_rev: 5 })).toBe(409);
    expect(await order(2, { expected_rev: 5 })).toBe(409);
    expect(await order(1)).toBe(412);
    expect(await order(2, { from: 3, target_version: 3 })).toBe(400);
    expect(log.orders).toEqual([]);
  });

  it('gets 409 while another is carried out', async () => {
    const stream = await generate(20);
    expect(await order(2)).toBe(202);
    expect(await order(3)).toBe(409);
    await stream.text();
    await untilIdle(1);
  });

  it.each([
    ['accepted', []],
    ['idle', [{ piece: 0, kind: 'other' }]],
  ] as const)('has the stage read once it is %s', async (readsStage, faults) => {
    await start({ ...TRAITS, readsStage });
    const stream = await generate(20);
    stage(2);
    expect(await order(2)).toBe(202);
    engine.stage.write(0, pieceOf(3, 0));
    await stream.text();
    await untilIdle(1);
    await (await generate(1)).text();
    expect(log.runs[1].layers[0].load.faults.get(0)).toMatchObject(faults);
  });
});
