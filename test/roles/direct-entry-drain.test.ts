/** Draining: an entry that is told to stop finishes the requests that it forwarded and refuses the others at once. */
import { Agent } from 'node:http';
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { seededRandom } from '../../src/model/random.js';
import { type Log, silentLog } from '../../src/observability/log.js';
import type { DirectEntrySettings } from '../../src/roles/settings.js';
import { reply, type Script, StandInBackEnd } from '../forwarding/stand-in-back-end.js';
import { until } from '../support.js';
import {
  type Received,
  type RunningEntry,
  send,
  startEntry,
  stopEntries,
  writeRecords,
} from './running-entry.js';

const EVENT_INTERVAL = 100;
const SLOTS = 1_000;

let backEnd: StandInBackEnd;

/** Streams events for the number of milliseconds in the last segment of the path. */
const streamForRequestedTime: Script = (request, response) => {
  const duration = Number((request.url ?? '').split('/').at(-1));
  const startedAt = performance.now();
  response.writeHead(200, {
    'x-request': String(request.headers['x-request']),
    'content-type': 'text/event-stream',
  });
  let id = 0;
  const timer = setInterval(() => {
    response.write(`id: ${++id}\ndata: word ${id}\n\n`);
    if (performance.now() - startedAt < duration) return;
    clearInterval(timer);
    response.end();
  }, EVENT_INTERVAL);
  response.on('close', () => clearInterval(timer));
};

/** The outcome of one request. */
interface Outcome {
  id: string;
  received: Received | { error: string };
}

/** Sends a request and returns its outcome; never rejects. */
async function outcomeOf(entry: RunningEntry, path: string, id: string, agent?: Agent): Promise<Outcome> {
  try {
    return { id, received: await send(entry, path, { requestId: id, agent }) };
  } catch (cause) {
    return { id, received: { error: String((cause as NodeJS.ErrnoException).code) } };
  }
}

function isRefusal(received: Outcome['received']): boolean {
  return 'status' in received && received.status === 503 && received.close && received.isComplete;
}

function isServed(received: Outcome['received']): boolean {
  return 'status' in received && received.status === 200 && received.isComplete;
}

beforeEach(async () => {
  backEnd = await new StandInBackEnd(streamForRequestedTime).start();
});

afterEach(async () => {
  await stopEntries();
  await backEnd.stop();
});

async function startServing(
  changes: Partial<DirectEntrySettings>,
  log: Log = silentLog,
): Promise<RunningEntry> {
  const entry = await startEntry('one', [], changes, log);
  writeRecords(entry.store, 1, backEnd, SLOTS);
  await until(() => entry.entry.isReady, 'the configuration');
  return entry;
}

describe('an entry that drains', () => {
  it.each([
    { history: 'that has just begun', warmUp: 500 },
    { history: 'that knows how long streams take', warmUp: 5_500 },
  ])('$history cuts no stream that it forwarded, and refuses the others at once', async ({ warmUp }) => {
    const SHORTEST = 150;
    const LONGEST = 4_500;
    const SEND_INTERVAL = 25;
    // The entry logs each request that it reads.
    const seenByEntry = new Set<string>();
    const recordRequest = (_message: string, fields: object = {}) => {
      if ('request' in fields) seenByEntry.add(String(fields.request));
    };
    const one = await startServing({ graceTime: 6_000 }, { ...silentLog, info: recordRequest });
    const random = seededRandom(11);
    const kept = new Agent({ keepAlive: true });
    const sent: Array<Promise<Outcome>> = [];
    let isStopped = false;
    const sendOne = () => {
      const duration = Math.round(SHORTEST + random.fraction() ** 2 * (LONGEST - SHORTEST));
      const agent = sent.length % 2 === 0 ? kept : undefined;
      sent.push(outcomeOf(one, `/stream/${duration}`, `s${sent.length}`, agent));
    };
    const timer = setInterval(sendOne, SEND_INTERVAL);
    await new Promise((resolve) => setTimeout(resolve, warmUp));
    const sentBefore = sent.length;
    const left = one.entry.leave().then(() => {
      isStopped = true;
    });
    await until(() => isStopped, 'the end of the entry');
    clearInterval(timer);
    await left;
    const outcomes = await Promise.all(sent);
    kept.destroy();
    const forwardedIds = new Set(backEnd.requests.map(({ headers }) => String(headers['x-request'])));
    const cut = outcomes.filter(({ id, received }) => forwardedIds.has(id) && !isServed(received));
    expect(cut).toEqual([]);
    // A request that arrives as its connection is closed is not read; its caller sees a connection error and may retry.
    const refused = outcomes.filter(({ received }) => isRefusal(received));
    const notAnswered = outcomes.filter(({ received }) => !isServed(received) && !isRefusal(received));
    expect(notAnswered.filter(({ id }) => seenByEntry.has(id))).toEqual([]);
    expect(notAnswered.filter(({ received }) => !('error' in received))).toEqual([]);
    const servedWhileDraining = outcomes.slice(sentBefore).filter(({ received }) => isServed(received));
    expect(servedWhileDraining.length).toBeGreaterThan(0);
    for (const { received } of refused)
      expect(Number('retryAfter' in received && received.retryAfter)).toBeLessThan(0.5);
  });

  it('closes a keep-alive connection after the answer that was in progress when the drain began', async () => {
    const one = await startServing({ graceTime: 8_000, addressLifetimeSeconds: 0.2 });
    const early = new RawCaller(one.settings.callers);
    early.send('/stream/1800', 'early');
    await until(() => early.text.includes('data: word 1\n'), 'the head of the answer');
    const other = outcomeOf(one, '/stream/4000', 'other');
    await until(() => backEnd.requests.length === 2, 'another stream');
    let isOtherOver = false;
    void other.then(() => {
      isOtherOver = true;
    });
    const left = one.entry.leave();
    await until(() => early.text.endsWith('0\r\n\r\n'), 'the end of the answer');
    await until(() => early.isEnded, 'the end of the connection');
    expect(isOtherOver).toBe(false);
    expect((await other).received).toMatchObject({ status: 200, isComplete: true });
    await left;
    expect(backEnd.requests.length).toBe(2);
  });

  it('serves a keep-alive connection while draining, with Connection: close', async () => {
    const one = await startServing({ graceTime: 8_000, addressLifetimeSeconds: 1 });
    backEnd.answer(reply(200, 'done'));
    const agent = new Agent({ keepAlive: true });
    expect(await send(one, '/1/', { agent })).toMatchObject({ status: 200, close: false });
    const left = one.entry.leave();
    expect(await send(one, '/1/', { agent })).toMatchObject({ status: 200, close: true });
    await left;
    agent.destroy();
  });

  it('answers requests that still wait at the deadline instead of closing their connections', async () => {
    const one = await startServing({ graceTime: 1_500 });
    backEnd.answer(() => {});
    const waiting = outcomeOf(one, '/1/', 'waits');
    await until(() => backEnd.requests.length === 1, 'the request at its back end');
    await one.entry.leave();
    // The request may have run, so the answer must not state that it did not.
    expect((await waiting).received).toMatchObject({ status: 504, close: true, isComplete: true });
  });
});

/** A caller that writes requests to a single connection, whatever the answers say. */
class RawCaller {
  text = '';
  isEnded = false;
  readonly #socket: Socket;

  constructor(address: string) {
    const [host, port] = address.split(':');
    this.#socket = connect(Number(port), host);
    this.#socket.on('data', (bytes) => {
      this.text += bytes.toString('latin1');
    });
    this.#socket.on('error', () => {});
    this.#socket.on('end', () => {
      this.isEnded = true;
    });
  }

  send(path: string, requestId: string): void {
    this.#socket.write(`GET ${path} HTTP/1.1\r\nHost: api.example\r\nX-Request: ${requestId}\r\n\r\n`);
  }
}
