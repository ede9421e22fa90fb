import { describe, expect, it } from 'vitest';
import { AgentDirectory } from '../../src/entry/agent-directory.js';
import type { CallLinks, CallListener } from '../../src/entry/call-links.js';
import { CallRouter, type RoutedCall } from '../../src/entry/call-router.js';
import { seededRandom } from '../../src/model/random.js';
import type { AgentStatus, CallMessage } from '../../src/protocol/messages.js';
import { peer } from '../support.js';

const VERSION = 'a'.repeat(64);

/** Frames that an agent sends for a call; `lost` closes the connection, `unreachable` refuses it. */
type Script = Array<Omit<CallMessage & { callId?: string }, 'callId' | 'attempt'> | 'lost'> | 'unreachable';

const COMPLETE: Script = [
  { type: 'callHead', status: 200, contentType: 'text/plain' },
  { type: 'callData', sequence: 0, data: Buffer.from('one') },
  { type: 'callData', sequence: 1, data: Buffer.from('two') },
  { type: 'callEnd', frames: 2 },
] as never;
const REFUSED: Script = [{ type: 'callRefused', reason: 'overloaded', notRun: true, retryAfter: 1 }] as never;

function status(name: string, place = 'place-a'): AgentStatus {
  return {
    sequence: 1,
    info: peer(name, place),
    operatorAddress: '',
    backEnd: 'engine',
    pool: 'p',
    leaving: false,
    versions: [{ version: VERSION, bytesHeld: 0, bytesTotal: 0, ready: true, problem: '' }],
    active: 0,
    capacity: 4,
    ownership: undefined,
  };
}

/** A router with agents that answer by script. Their loads ascend, so the first agent listed is tried first. */
function routerWithAgents(scripts: Record<string, Script>, place = 'place-a', connected = async () => {}) {
  const directory = new AgentDirectory();
  for (const [index, name] of Object.keys(scripts).entries()) {
    const agentStatus = { ...status(name, place), active: index };
    directory.set(agentStatus.info.address, { status: agentStatus, home: 'home', homeZone: 'zone' });
  }
  const ran: string[] = [];
  const calls: Array<CallMessage & { type: 'call' }> = [];
  const links = {
    getLink: async ({ id }: { id: string }) => {
      const script = scripts[id];
      await connected();
      if (script === 'unreachable') return { ok: false, error: { type: 'peerUnreachable' } };
      return { ok: true, value: linkTo(id, script, ran, calls) };
    },
  } as unknown as CallLinks;
  return { router: new CallRouter({ directory, links, random: seededRandom(1) }), ran, calls };
}

function linkTo(
  id: string,
  script: Exclude<Script, 'unreachable'>,
  ran: string[],
  calls: Array<CallMessage & { type: 'call' }>,
) {
  return {
    start(call: CallMessage & { type: 'call' }, listener: CallListener) {
      ran.push(id);
      calls.push(call);
      const { callId, attempt } = call;
      queueMicrotask(() => {
        for (const step of script) {
          if (step === 'lost') listener.onLost();
          else listener.onFrame({ ...step, callId, attempt } as CallMessage);
        }
      });
      return true;
    },
    end: () => {},
    taken: () => {},
  };
}

async function route(
  router: CallRouter,
  overrides: Partial<RoutedCall> = {},
  signal = new AbortController().signal,
) {
  const received: string[] = [];
  const sink = {
    head: () => {},
    data: (data: Uint8Array) => {
      received.push(Buffer.from(data).toString());
      return undefined;
    },
  };
  const call: RoutedCall = {
    places: ['place-a'],
    versions: [VERSION],
    prefix: undefined,
    eligible: () => true,
    repeatable: true,
    method: 'POST',
    path: '/',
    contentType: '',
    body: Buffer.alloc(0),
    deadline: 1_000,
    ...overrides,
  };
  return { outcome: await router.route(call, sink, signal), received };
}

describe('CallRouter', () => {
  it('relays the complete answer', async () => {
    const { outcome, received } = await route(routerWithAgents({ a: COMPLETE }).router);
    expect(outcome.ok).toBe(true);
    expect(received).toEqual(['one', 'two']);
  });

  it.each([
    ['refused it', REFUSED],
    ['could not be reached', 'unreachable' as const],
  ])('retries on another back end if the first %s', async (_, script) => {
    const { router, ran } = routerWithAgents({ a: script, b: COMPLETE });
    expect((await route(router, { repeatable: false })).outcome.ok).toBe(true);
    expect(ran.at(-1)).toBe('b');
  });

  it('never retries a non-repeatable call that may have run', async () => {
    const { router, ran } = routerWithAgents({ a: ['lost'], b: COMPLETE });
    const { outcome } = await route(router, { repeatable: false });
    expect(outcome).toMatchObject({ ok: false, error: { type: 'backEndFailed', ran: 'unknown' } });
    expect(ran).toEqual(['a']);
  });

  it('retries a repeatable call only once after a lost connection', async () => {
    const { router, ran } = routerWithAgents({ a: ['lost'], b: ['lost'], c: ['lost'], d: COMPLETE });
    expect((await route(router)).outcome.ok).toBe(false);
    expect(ran).toEqual(['a', 'b']);
  });

  it.each([
    ['a frame is missing', [COMPLETE[0], COMPLETE[2], COMPLETE[3]]],
    ['the end frame states more frames than were received', [COMPLETE[0], COMPLETE[1], COMPLETE[3]]],
    ['a frame is received twice', [COMPLETE[0], COMPLETE[1], COMPLETE[1], COMPLETE[2], COMPLETE[3]]],
    ['the connection is lost during the answer', [COMPLETE[0], COMPLETE[1], 'lost']],
  ])('reports an answer as failed if %s', async (_, script) => {
    const { router, ran } = routerWithAgents({ a: script as Script, b: COMPLETE });
    const { outcome } = await route(router);
    expect(outcome.ok).toBe(false);
    expect(ran).toEqual(['a']);
  });

  it('stops retrying once the retry budget is spent', async () => {
    const { router } = routerWithAgents({ a: ['lost'], b: COMPLETE });
    let answered = 0;
    for (let call = 0; call < 60; call++) answered += (await route(router)).outcome.ok ? 1 : 0;
    // The budget starts with 20 retries and earns one per ten requests.
    expect(answered).toBeGreaterThanOrEqual(20);
    expect(answered).toBeLessThanOrEqual(26);
  });

  it('uses no back end in another place, and returns a retry delay at once', async () => {
    const { router, ran } = routerWithAgents({ a: COMPLETE }, 'place-b');
    const { outcome } = await route(router);
    expect(outcome).toMatchObject({ ok: false, error: { type: 'noCapacity', ran: 'no', retryAfter: 1_000 } });
    expect(ran).toEqual([]);
  });

  it('uses no back end that has another version', async () => {
    const { router, ran } = routerWithAgents({ a: COMPLETE });
    expect((await route(router, { versions: ['b'.repeat(64)] })).outcome.ok).toBe(false);
    expect(ran).toEqual([]);
  });

  describe('while the connection to the agent is being opened', () => {
    /** A router whose connection to its only agent opens once `until` resolves. */
    function routerThatConnects(until: () => Promise<void>) {
      const { router, ran, calls } = routerWithAgents({ a: COMPLETE }, 'place-a', until);
      return { router, ran, calls };
    }

    it('sends nothing if the caller disconnects', async () => {
      const gone = new AbortController();
      const { router, ran } = routerThatConnects(async () => gone.abort());
      expect((await route(router, {}, gone.signal)).outcome.ok).toBe(false);
      expect(ran).toEqual([]);
    });

    it('sends the agent only the remaining time', async () => {
      const connecting = 60;
      const { router, calls } = routerThatConnects(
        () => new Promise((resolve) => setTimeout(resolve, connecting)),
      );
      await route(router, { deadline: 1_000 });
      // Timers may fire a millisecond early.
      expect(calls[0].timeLeft).toBeLessThanOrEqual(1_000 - connecting + 2);
    });

    it('sends nothing if the deadline passes', async () => {
      const { router, ran } = routerThatConnects(() => new Promise((resolve) => setTimeout(resolve, 40)));
      expect((await route(router, { deadline: 20 })).outcome.ok).toBe(false);
      expect(ran).toEqual([]);
    });
  });
});
