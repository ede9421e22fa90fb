/** Guards against cutting streams when engines drop their requests to switch versions, but others cannot resume all of them. */
import type { ServerResponse } from 'node:http';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import { canMoveRequests, type ServingEngine } from '../../src/weights/request-moves.js';
import { until } from '../support.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from './engine-configuration.js';
import { type Answer, ForwardingHarness } from './forwarding-harness.js';
import { events, reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

const SLOTS = 8;
/** Number of requests that an engine accepts beyond its slots. */
const QUEUE = 2;
const EVENTS = 20;
const INTERVAL = 40;
/** Number of streams at each engine that switches. */
const LOAD = 5;

const CONFIGURATION: FleetConfiguration = {
  ...ENGINE_CONFIGURATION,
  routes: [{ ...STREAM_ROUTE, objective: 2_000, longestPause: 500, timeout: 5_000 }],
};

/** An engine that refuses requests beyond its slots and its queue. */
class Engine {
  readonly running = new Set<ServerResponse>();
  readonly backEnd = new StandInBackEnd((...call) => this.#run(...call));

  readonly #run: Script = (request, response, body) => {
    if (this.running.size >= SLOTS + QUEUE)
      return reply(503, '', { 'x-not-run': '1' })(request, response, body);
    this.running.add(response);
    const { 'x-request': id, 'last-event-id': after = 0 } = request.headers;
    response.writeHead(200, {
      'x-request': String(id),
      'x-version': '1',
      'content-type': 'text/event-stream',
    });
    let next = Number(after) + 1;
    const timer = setInterval(() => {
      response.write(events(next, next));
      if (next++ === EVENTS) response.end();
    }, INTERVAL);
    response.on('close', () => {
      clearInterval(timer);
      this.running.delete(response);
    });
  };

  /** Cuts all running requests, as after an order to switch. */
  drop(): void {
    for (const response of this.running) response.destroy();
  }
}

let engines: Engine[];
let forwarding: ForwardingHarness;

beforeEach(async () => {
  engines = Array.from({ length: 4 }, () => new Engine());
  for (const { backEnd } of engines) await backEnd.start();
  forwarding = new ForwardingHarness('engines');
  await forwarding.start(CONFIGURATION);
  list(engines);
});

afterEach(async () => {
  await forwarding.stop();
  for (const { backEnd } of engines) await backEnd.stop();
});

function list(listed: readonly Engine[]): void {
  const layers = { from: 0, end: ENGINE_LAYERS, version: 1 };
  forwarding.list(
    ...listed.map((engine): Parameters<ForwardingHarness['list']>[0] => [
      `engine-${engines.indexOf(engine)}`,
      engine.backEnd,
      { slots: SLOTS, layers },
    ]),
  );
}

const stateOf = (engine: Engine, isSwitching = false): ServingEngine => ({
  version: 1,
  isSwitching,
  switchesIn: Number.POSITIVE_INFINITY,
  slots: SLOTS,
  load: engine.running.size,
});

/** Starts `count` streams at `engine`. */
async function fill(engine: Engine, count: number): Promise<Array<Promise<Answer>>> {
  list([engine]);
  const answers = Array.from({ length: count }, () => forwarding.send('/write/a'));
  await until(() => engine.running.size === count, 'its streams');
  return answers;
}

it('an order to drop what runs: streams are not cut by engines that switch together and count the same room', async () => {
  const [first, second, third, last] = engines;
  const answers: Array<Promise<Answer>> = [];
  for (const engine of [first, second, third]) answers.push(...(await fill(engine, LOAD)));
  list(engines);
  await new Promise((resolve) => setTimeout(resolve, 2 * INTERVAL));
  // All agents have given notice, as each zone switches in the same wave; but each plan is made for one engine alone.
  const switching = [first, second, third];
  const dropping = switching.filter((engine) => {
    const others = engines.filter((other) => other !== engine);
    const states = others.map((other) => stateOf(other, switching.includes(other)));
    return canMoveRequests(CONFIGURATION.routes, stateOf(engine), states);
  });
  for (const engine of switching) forwarding.reportEngine(engine.backEnd, { version: 1, isSwitching: true });
  forwarding.reportEngine(last.backEnd, { version: 1 });
  for (const engine of dropping) engine.drop();
  const ended = await Promise.all(answers);
  expect({ cut: ended.filter(({ whole }) => !whole).length, dropping: dropping.length }).toMatchObject({
    cut: 0,
  });
});

it('an order to drop what runs: a stream is not cut by the drop of the last engine that may run it', async () => {
  const [first, second, third] = engines;
  const [answer] = await fill(first, 1);
  await new Promise((resolve) => setTimeout(resolve, 2 * INTERVAL));
  list([first, second]);
  first.drop();
  await until(() => second.running.size === 1, 'the stream at the second engine');
  list([first, second, third]);
  const mayDrop = canMoveRequests(CONFIGURATION.routes, stateOf(second), [stateOf(third)]);
  if (mayDrop) second.drop();
  expect({ mayDrop, whole: (await answer).whole }).toMatchObject({ whole: true });
});

it('an order to drop what runs: a stream is not cut by a drop where the others hold a version that is about to expire', async () => {
  const [first, second] = engines;
  const [answer] = await fill(first, 1);
  await new Promise((resolve) => setTimeout(resolve, 2 * INTERVAL));
  list([first, second]);
  // The last wave switches this long before the expiry; the agent of the other engine does not report.
  forwarding.expireIn(1_600);
  const mayDrop = canMoveRequests(CONFIGURATION.routes, stateOf(first), [stateOf(second)]);
  if (mayDrop) first.drop();
  expect({ mayDrop, whole: (await answer).whole }).toMatchObject({ whole: true });
});
