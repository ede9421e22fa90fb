/** Guards against timing out a request whose answer has arrived during a standstill and has not been read yet. */
import { afterEach, beforeEach, expect, it } from 'vitest';
import { blockEventLoop } from '../support.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { billingConfiguration, routeNamed } from './routes.js';
import { StandInBackEnd } from './stand-in-back-end.js';

const TIMEOUT = 400;
const ANSWER_TIME = 200;
const STANDSTILL = 500;

let forwarding: ForwardingHarness;
let backEnd: StandInBackEnd;

beforeEach(async () => {
  backEnd = await new StandInBackEnd((request, response) => {
    setTimeout(() => {
      response.writeHead(200, { 'x-request': String(request.headers['x-request']) });
      response.end('answer');
      // The timers that are due fire before the entry reads what was just sent to it.
      blockEventLoop(STANDSTILL);
    }, ANSWER_TIME);
  }).start();
  forwarding = new ForwardingHarness('billing');
  const once = routeNamed('once', { timeout: TIMEOUT, repeatability: 'never', maxAttempts: 1 });
  await forwarding.start(billingConfiguration(once));
  forwarding.list(['one', backEnd]);
});

afterEach(async () => {
  await forwarding.stop();
  await backEnd.stop();
});

it('an answer that arrives during a standstill is passed on, although the time of its request passes meanwhile', async () => {
  expect(await forwarding.send('/once/a')).toMatchObject({ status: 200, body: 'answer', whole: true });
});
