/** An agent's link to an entry when connections go silent without a reset. */
import { afterEach, expect, it } from 'vitest';
import { seededRandom } from '../../src/model/random.js';
import { EngineAgents } from '../../src/peers/engine-agents.js';
import { EntryLink } from '../../src/peers/entry-link.js';
import { ConnectionListener } from '../../src/protocol/connection.js';
import type { EngineReport, WeightsPlan } from '../../src/protocol/reports.js';
import { SilentProxy } from '../silent-proxy.js';
import { createConnectionContext, until } from '../support.js';

/** Agent and entry must receive one another's messages again within this time, in milliseconds. */
const RECOVERY_LIMIT = 2_800;

const REPORT: EngineReport = {
  address: '127.0.0.1:1',
  slotAddress: '127.0.0.1:2',
  version: 1,
  isReached: true,
  isSwitching: false,
  load: 0,
  switchesIn: undefined,
  held: [],
};

const started: Array<{ stop(): Promise<void> }> = [];

afterEach(async () => {
  for (const part of started.splice(0).reverse()) await part.stop();
});

it('an agent and its entry exchange messages again soon after their connection went silent', async () => {
  const entry = await createConnectionContext('entry', 'place-a', 'entry');
  const agent = await createConnectionContext('agent');
  let bound = 1;
  const plan = () => ({ bound, entries: [] as string[], hasNearEntry: false }) as unknown as WeightsPlan;
  let reported = 0;
  const agents = new EngineAgents(plan, () => reported++);
  const listener = new ConnectionListener(entry.info.address, entry.context, (connection) =>
    agents.accept(connection),
  );
  await listener.start();
  await agents.start();
  const proxy = await new SilentProxy(entry.info.address).start();
  let receivedBound = 0;
  const link: EntryLink = new EntryLink({
    context: agent.context,
    seeds: [proxy.address],
    random: seededRandom(1),
    onPlan: (plan) => {
      receivedBound = plan.bound;
    },
    onConnected: () => void link.connection?.send({ type: 'engineReport', report: REPORT }),
  });
  await link.start();
  started.push(listener, agents, proxy, link);
  await until(() => receivedBound === 1 && reported === 1, 'both');
  proxy.silence();
  const silentAt = performance.now();
  bound = 2;
  await until(() => receivedBound === 2 && reported === 2, 'both again');
  expect(performance.now() - silentAt).toBeLessThan(RECOVERY_LIMIT);
});
