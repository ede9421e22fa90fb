/**
 * Guards against closing connections at the end of a stop while requests on them have not been read, so that they got no
 * answer. This happens if the process is stalled when they arrive: its timers then fire before its sockets are read.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import { blockEventLoop, until } from '../support.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { KeepingCaller } from './keeping-caller.js';
import { events, StandInBackEnd } from './stand-in-back-end.js';

/** Longer than the time for which connections stay open after the last answer. */
const STANDSTILL = 600;
/** Time from the stop signal at which little of the grace time is left, in milliseconds. */
const LATE_IN_STOP = 7_000;

let backEnd: StandInBackEnd;
let forwarding: ForwardingHarness;
/** Ends the stream that the back end began last. */
let endStream: () => void;
let callers: KeepingCaller[];

beforeEach(async () => {
  callers = [];
  backEnd = await new StandInBackEnd((request, response) => {
    const headers = {
      'x-request': String(request.headers['x-request']),
      'content-type': 'text/event-stream',
    };
    response.writeHead(200, headers);
    response.write(events(1, 1));
    endStream = () => response.end(events(2, 2));
  }).start();
  forwarding = new ForwardingHarness('billing');
  await forwarding.start({
    revision: 1,
    routes: [{ ...STREAM_ROUTE, targets: [{ service: 'billing', weight: 1 }] }],
    services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
    origin: undefined,
    limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
    tenants: undefined,
  });
  forwarding.list(['one', backEnd]);
});

afterEach(async () => {
  for (const caller of callers) caller.close();
  await forwarding.stop();
  await backEnd.stop();
});

/** A caller whose stream has begun, so that it has not been told to close its connection. */
async function callerWithStream(): Promise<KeepingCaller> {
  const caller = new KeepingCaller(forwarding.address, 'POST', '/write/a');
  callers.push(caller);
  caller.send('first');
  await until(() => caller.answers === 1, 'the head of the stream');
  return caller;
}

/** Sends a request, and stalls the process until its timers are due; they fire before its sockets are read. */
async function sendDuringStandstill(caller: KeepingCaller, body?: string): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
  caller.send('second', body);
  blockEventLoop(STANDSTILL);
}

describe('a request that arrives during a standstill at the end of a stop is answered', () => {
  for (const [what, body] of [
    ['without a body', ''],
    ['with a body', 'b'.repeat(100_000)],
  ])
    it(`${what}, on a connection whose stream has just ended`, async () => {
      const caller = await callerWithStream();
      forwarding.drain.begin(performance.now());
      const left = forwarding.leave();
      await sleep(100);
      endStream();
      await until(() => caller.wholeAnswers === 1, 'the end of the stream');
      await sendDuringStandstill(caller, body);
      await until(() => caller.isClosed || caller.answers === 2, 'the second answer');
      expect(caller.answers).toBe(2);
      endStream();
      await left;
      await until(() => caller.isClosed, 'the end of the connection');
      expect(caller.wholeAnswers).toBe(2);
    });

  it('as the time of grace ends beside a stream that goes on', async () => {
    const caller = await callerWithStream();
    endStream();
    await until(() => caller.wholeAnswers === 1, 'the end of the stream');
    const other = await callerWithStream();
    forwarding.drain.begin(performance.now() - LATE_IN_STOP);
    const left = forwarding.leave();
    await sleep(100);
    await sendDuringStandstill(caller);
    await left;
    await until(() => caller.isClosed && other.isClosed, 'the end of the connections');
    expect(caller.wholeAnswers).toBe(2);
    expect(other.wholeAnswers).toBe(0);
  });
});
