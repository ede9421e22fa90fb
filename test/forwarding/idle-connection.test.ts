/**
 * Guards against closing a connection as idle while a request on it has not been read yet, so that the request got no answer.
 * This happens if the process is stalled when the request arrives.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { blockEventLoop, until } from '../support.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { KeepingCaller } from './keeping-caller.js';
import { routeNamed } from './routes.js';
import { reply, StandInBackEnd } from './stand-in-back-end.js';

const IDLE_TIMEOUT = 300;
/** The request is sent this long before its connection would be closed; the process is then stalled beyond that time. */
const SENT_BEFORE_END = 100;
const STANDSTILL = 500;

let backEnd: StandInBackEnd;
let forwarding: ForwardingHarness;

beforeEach(async () => {
  backEnd = await new StandInBackEnd(reply(200, 'answer')).start();
  forwarding = new ForwardingHarness('billing');
  await forwarding.start({
    revision: 1,
    routes: [routeNamed('read')],
    services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
    origin: undefined,
    limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: IDLE_TIMEOUT },
    tenants: undefined,
  });
  forwarding.list(['one', backEnd]);
});

afterEach(async () => {
  await forwarding.stop();
  await backEnd.stop();
});

/** Sends a first request on a new connection. */
async function callerWithAnswer(): Promise<KeepingCaller> {
  const caller = new KeepingCaller(forwarding.address, 'GET', '/read/a');
  caller.send('first');
  await until(() => caller.servedAnswers === 1, 'the first answer');
  return caller;
}

/** Time for which a connection stays open after an answer, in milliseconds. */
async function timeToClose(): Promise<number> {
  const caller = await callerWithAnswer();
  const answeredAt = performance.now();
  await until(() => caller.isClosed, 'the end of the connection');
  return performance.now() - answeredAt;
}

it('an idle connection is not closed while a request waits there to be read', async () => {
  const time = await timeToClose();
  const caller = await callerWithAnswer();
  await sleep(time - SENT_BEFORE_END);
  caller.send('second');
  blockEventLoop(STANDSTILL);
  await until(() => caller.isClosed || caller.servedAnswers > 1, 'the second answer');
  expect(caller.servedAnswers).toBe(2);
  caller.close();
});
