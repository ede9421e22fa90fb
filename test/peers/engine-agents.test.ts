/** What an entry forwards of the reports of its agents. */
import { expect, it } from 'vitest';
import { EngineAgents } from '../../src/peers/engine-agents.js';
import type { Connection } from '../../src/protocol/connection.js';
import type { Message } from '../../src/protocol/messages.js';
import type { EngineReport } from '../../src/protocol/reports.js';
import { engineStateOf } from '../../src/roles/direct-entry.js';

const REPORT: EngineReport = {
  address: 'engine',
  slotAddress: '',
  version: 1,
  isReached: true,
  isSwitching: false,
  load: 0,
  switchesIn: 500,
  held: [],
};

/** Agents of which one has sent `report`. */
function agentsWithReport(report: EngineReport): { agents: EngineAgents } {
  let deliver: (message: Message) => void = () => {};
  const connection = {
    remote: { peer: { id: 'agent', address: 'agent' } },
    handleMessages: (handler: (message: Message) => void) => {
      deliver = handler;
    },
    send: () => true,
  } as unknown as Connection;
  const agents = new EngineAgents(
    () => ({}) as never,
    () => {},
  );
  agents.accept(connection);
  deliver({ type: 'engineReport', report });
  return { agents };
}

/** Resolves after at least `milliseconds`. */
async function waitAtLeast(milliseconds: number): Promise<void> {
  const endsAt = performance.now() + milliseconds;
  while (performance.now() < endsAt) await new Promise((resolve) => setTimeout(resolve, 5));
}

it('the time until a switch is reduced by the age of the report', async () => {
  const { agents } = agentsWithReport(REPORT);
  await waitAtLeast(100);
  expect(agents.reports()[0].switchesIn).toBeLessThanOrEqual(400);
  expect(agents.reports()[0].switchesIn).toBeGreaterThanOrEqual(0);
});

it('a switch that has become due is reported as due now', async () => {
  const { agents } = agentsWithReport({ ...REPORT, switchesIn: 20 });
  await waitAtLeast(40);
  expect(agents.reports()[0].switchesIn).toBe(0);
});

it('the time until an engine is warm is reduced by the age of the report', async () => {
  const { agents } = agentsWithReport({ ...REPORT, switchesIn: undefined, coldLeft: 500 });
  await waitAtLeast(100);
  expect(agents.reports()[0].coldLeft).toBeLessThanOrEqual(400);
  await waitAtLeast(420);
  expect(agents.reports()[0].coldLeft).toBe(0);
});

it('a report without a switch stays without one', async () => {
  const { agents } = agentsWithReport({ ...REPORT, switchesIn: undefined });
  await waitAtLeast(5);
  expect(agents.reports()[0].switchesIn).toBeUndefined();
});

it('a report that is passed on again and again does not become newer', async () => {
  const { agents } = agentsWithReport(REPORT);
  await waitAtLeast(100);
  const [passedOn] = agents.reports();
  const now = performance.now();
  expect(engineStateOf(passedOn, now).reportedAt).toBeLessThanOrEqual(now - 100);
});
