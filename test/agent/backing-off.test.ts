/** An agent keeps the back-off times for which its back end asks, and refuses calls as not run meanwhile. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import { serviceEmulator } from '../../emulator/service/service.js';
import { serviceBackEnd } from '../../src/agent/back-ends.js';
import { keepBackoffs } from '../../src/agent/backing-off.js';
import { type CallRequest, Calls } from '../../src/agent/calls.js';
import { BackEndBackoffs } from '../../src/forwarding/back-end-backoffs.js';
import type { Startable } from '../../src/model/startable.js';
import { silentLog } from '../../src/observability/log.js';
import { Metrics } from '../../src/observability/metrics.js';
import type { Message } from '../../src/protocol/messages.js';
import { serviceEmulatorSettings } from '../../src/settings/schemas.js';
import { until } from '../support.js';
import { connectionTo } from './fake-connection.js';

let emulator: Startable;
let address: string;
let calls: Calls;
let attempts: number;

async function start(shedShare: number, retryAfterSeconds: number): Promise<void> {
  address = await freeAddress();
  const settings = { listen: address, callMilliseconds: 0, shedShare, retryAfterSeconds };
  emulator = serviceEmulator(serviceEmulatorSettings.parse(settings));
  await emulator.start();
  const backoffs = new BackEndBackoffs(silentLog, new Metrics('test'));
  calls = new Calls(keepBackoffs(serviceBackEnd(`http://${address}`), backoffs), 4);
}

/** Sends one call; resolves with the first message of its outcome. */
async function send(): Promise<Message> {
  const sent: Message[] = [];
  const { connection, receive } = connectionTo(sent);
  calls.serve(connection);
  const call: CallRequest = {
    type: 'call',
    callId: 'c',
    attempt: ++attempts,
    version: '',
    method: 'POST',
    path: '/',
    contentType: 'application/json',
    body: Buffer.from('{}'),
    timeLeft: 10_000,
    once: undefined,
  };
  receive(call);
  const endings = ['callEnd', 'callRefused', 'callFailed'];
  await until(() => sent.some(({ type }) => endings.includes(type)), 'the end of a call');
  return sent[0];
}

async function audit(): Promise<{ runs: object[]; refused: number }> {
  return (await (await fetch(`http://${address}/audit`)).json()) as { runs: object[]; refused: number };
}

beforeEach(() => {
  attempts = 0;
});

afterEach(async () => {
  await emulator.stop();
});

it('a back end gets no call during the back-off for which it has asked', async () => {
  await start(1, 600);
  expect(await send()).toMatchObject({ type: 'callHead', status: 503 });
  const refusal = await send();
  expect(refusal).toMatchObject({ type: 'callRefused', reason: 'overloaded', notRun: true });
  expect((refusal as Message & { type: 'callRefused' }).retryAfter).toBeGreaterThan(500_000);
  expect(await audit()).toMatchObject({ runs: [], refused: 1 });
});

it('a call that is refused for another reason is not told to wait for the end of a back-off', async () => {
  await start(1, 600);
  await send();
  calls.leave();
  expect(await send()).toMatchObject({ type: 'callRefused', reason: 'leaving', retryAfter: 0 });
});

it('a back end gets calls again after its back-off', async () => {
  await start(0.5, 0.2);
  await send();
  expect(await send()).toMatchObject({ type: 'callHead', status: 503 });
  await until(async () => (await send()).type === 'callHead', 'the end of the back-off');
  expect(await audit()).toMatchObject({ refused: 1 });
  expect((await audit()).runs).toHaveLength(2);
});

it('a refusal without a time asks for no back-off', async () => {
  await start(1, 0);
  for (let sent = 0; sent < 3; sent++) expect(await send()).toMatchObject({ type: 'callHead', status: 503 });
});
