/** Nothing is sent to the back ends of an evacuated zone: neither with a slot, nor after a wait, nor to continue a stream. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { SlotAnswers } from '../../src/forwarding/engine-slots.js';
import { until } from '../support.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from './engine-configuration.js';
import { ForwardingHarness, NOOP_CLAIM } from './forwarding-harness.js';
import { events, reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

/** Events of the stream that is to move, and the interval between them, in milliseconds. */
const EVENTS = 20;
const INTERVAL = 25;

/** A request for a slot at one engine. */
interface AskedSlot extends SlotAnswers {
  isReleased: boolean;
}

const stream = reply(200, events(1, 1), { 'x-version': '1' });
const layers = { from: 0, end: ENGINE_LAYERS, version: 1 };

let forwarding: ForwardingHarness;
let engines: StandInBackEnd[];
/** The latest request for a slot, by the address of the agent. */
let asked: Map<string, AskedSlot>;

const agentOf = (index: number) => `agent-${index}`;
const evacuate = (zone: string) =>
  forwarding.fleet.applyEvacuation({ zone, revision: 9, isEvacuated: true }, 'store');

/** Lists the engines, each in the zone at its index. */
function list(zones: readonly string[]): void {
  forwarding.list(
    ...zones.map((zone, index): Parameters<ForwardingHarness['list']>[0] => [
      `engine-${index}`,
      engines[index],
      { zone, layers },
    ]),
  );
  for (const index of zones.keys())
    forwarding.reportEngine(engines[index], { version: 1, slotAddress: agentOf(index) });
}

beforeEach(async () => {
  asked = new Map();
  engines = await Promise.all([0, 1, 2].map(() => new StandInBackEnd(stream).start()));
  forwarding = new ForwardingHarness('engines');
  forwarding.slots = {
    ask(agent, _request, answers) {
      const slot: AskedSlot = { ...answers, isReleased: false };
      asked.set(agent, slot);
      const release = () => {
        slot.isReleased = true;
      };
      return { ...NOOP_CLAIM, release };
    },
  };
  await forwarding.start({
    ...ENGINE_CONFIGURATION,
    // A search may wait for a slot for half of the objective.
    routes: [{ ...STREAM_ROUTE, objective: 20_000, longestPause: 2_000 }],
  });
});

afterEach(async () => {
  await forwarding.stop();
  await Promise.all(engines.map((engine) => engine.stop()));
});

describe('when a zone is evacuated', () => {
  it('a slot that is granted there afterwards is not used', async () => {
    list(['zone-a', 'zone-b']);
    const answer = forwarding.send('/write/a');
    await until(() => asked.size === 2, 'both agents to be asked');
    evacuate('zone-a');
    asked.get(agentOf(0))!.onGranted();
    asked.get(agentOf(1))!.onGranted();
    expect((await answer).status).toBe(200);
    expect(engines.map(({ requests }) => requests.length)).toEqual([0, 1, 0]);
  });

  it('a request that waits for a slot there asks for one in another zone', async () => {
    list(['zone-a', 'zone-a']);
    const answer = forwarding.send('/write/a');
    await until(() => asked.size === 2, 'both agents to be asked');
    const waiting = [...asked.values()];
    for (const slot of waiting) slot.onQueued();
    list(['zone-a', 'zone-a', 'zone-b']);
    evacuate('zone-a');
    await until(() => waiting.every(({ isReleased }) => isReleased), 'the end of both waits');
    await until(() => asked.has(agentOf(2)), 'the agent of the other zone');
    asked.get(agentOf(2))!.onGranted();
    expect((await answer).status).toBe(200);
    expect(engines.map(({ requests }) => requests.length)).toEqual([0, 0, 1]);
  });

  it('a request for which nothing else is left is refused at once', async () => {
    list(['zone-a']);
    const answer = forwarding.send('/write/a');
    await until(() => asked.size === 1, 'the agent to be asked');
    asked.get(agentOf(0))!.onQueued();
    evacuate('zone-a');
    const evacuatedAt = performance.now();
    expect((await answer).status).toBe(503);
    expect(performance.now() - evacuatedAt).toBeLessThan(2_000);
  });

  it('its back ends do not count as capacity', () => {
    list(['zone-a']);
    const selector = forwarding.selector;
    expect(selector.slotShare('engines')).toBeGreaterThan(0);
    evacuate('zone-a');
    expect(selector.slotShare('engines')).toBe(0);
    expect(selector.isUnavailable(forwarding.backEnds.rows.get('engine-0')!, performance.now())).toBe(true);
  });

  it('a stream does not move there from an engine that takes another version', async () => {
    engines[0].answer(sendSlowly);
    list(['zone-b']);
    forwarding.reportEngine(engines[0], { version: 1 });
    const answer = forwarding.send('/write/a');
    await until(() => engines[0].requests.length === 1, 'the stream');
    list(['zone-b', 'zone-a']);
    evacuate('zone-a');
    forwarding.reportEngine(engines[0], { version: 1, isSwitching: true });
    expect(await answer).toMatchObject({ status: 200, whole: true, body: events(1, EVENTS) });
    expect(engines[1].requests).toHaveLength(0);
    expect(asked.has(agentOf(1))).toBe(false);
  });
});

/** Sends the events of a stream at intervals. */
const sendSlowly: Script = (request, response) => {
  response.writeHead(200, {
    'x-request': String(request.headers['x-request']),
    'x-version': '1',
    'content-type': 'text/event-stream',
  });
  const sendFrom = (id: number): void => {
    if (id > EVENTS) return void response.end();
    response.write(events(id, id));
    setTimeout(() => sendFrom(id + 1), INTERVAL);
  };
  sendFrom(1);
};
