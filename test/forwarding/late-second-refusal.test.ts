/** Guards against taking a late second copy of a refusal for the answer to a later send, which makes a request run twice. */
import type { Socket } from 'node:net';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { ForwardingHarness } from './forwarding-harness.js';
import { billingConfiguration, routeNamed } from './routes.js';
import { events, reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

/** Back-off time that each refusal asks for, in seconds. */
const BACKOFF = '0.1';
/** Time that a request runs, in milliseconds; the copy of an earlier refusal arrives before. */
const RUN_TIME = 30;
const ROUNDS = 5;

/**
 * Back end that refuses each request once and then runs it. The refusal comes a second time where the next answer on its connection
 * is due: that to the same request, or to any request if refusals name none.
 */
class RepeatingBackEnd {
  readonly backEnd = new StandInBackEnd((...args) => this.#answer(...args));
  /** Number of runs by request. */
  readonly runs = new Map<string, number>();
  readonly #refused = new Set<string>();
  readonly #late = new Map<Socket, { id: string; copy: string }>();
  readonly #hasId: boolean;
  readonly #onRun: Script;

  /** @param hasId - whether refusals name their request */
  constructor({ hasId = true, onRun = reply(200, 'ran') }: { hasId?: boolean; onRun?: Script } = {}) {
    this.#hasId = hasId;
    this.#onRun = onRun;
  }

  #answer(...[request, response, body]: Parameters<Script>): void {
    const id = String(request.headers['x-request']);
    const late = this.#late.get(request.socket);
    this.#late.delete(request.socket);
    if (late !== undefined && (late.id === id || !this.#hasId)) request.socket.write(late.copy);
    if (!this.#refused.has(id)) return this.#refuse(id, response, request.socket);
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    setTimeout(() => this.#onRun(request, response, body), RUN_TIME);
  }

  #refuse(id: string, response: Parameters<Script>[1], socket: Socket): void {
    this.#refused.add(id);
    const headers = { 'x-not-run': '1', 'retry-after': BACKOFF, ...(this.#hasId ? { 'x-request': id } : {}) };
    response.writeHead(503, { ...headers, 'content-length': '0' });
    response.end();
    const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    const copy = `HTTP/1.1 503 Busy\r\n${fields.join('')}content-length: 0\r\n\r\n`;
    this.#late.set(socket, { id, copy });
  }

  get mostRuns(): number {
    return Math.max(0, ...this.runs.values());
  }
}

let forwarding: ForwardingHarness;

beforeEach(async () => {
  forwarding = new ForwardingHarness('billing');
  await forwarding.start(
    billingConfiguration(
      routeNamed('charge', { repeatability: 'never', maxAttempts: 1 }),
      routeNamed('watch', { repeatability: 'resumable', isStream: true, maxAttempts: 3 }),
    ),
  );
});

afterEach(() => forwarding.stop());

it('a request that was refused runs once, although its refusal comes again as its next answer is due', async () => {
  const repeating = new RepeatingBackEnd();
  forwarding.list(['one', await repeating.backEnd.start()]);
  for (let round = 0; round < ROUNDS; round++) {
    const answer = await forwarding.send('/charge/', { method: 'POST', body: 'once' });
    expect(answer).toMatchObject({ status: 200, body: 'ran' });
  }
  expect(repeating.mostRuns).toBe(1);
  expect(repeating.runs.size).toBe(ROUNDS);
  await repeating.backEnd.stop();
});

it('a request runs once, although a refusal that names no request comes again as its answer is due', async () => {
  const repeating = new RepeatingBackEnd({ hasId: false });
  forwarding.list(['one', await repeating.backEnd.start()]);
  for (let round = 0; round < ROUNDS; round++) {
    const answer = await forwarding.send('/charge/', { method: 'POST', body: 'once' });
    expect(answer).toMatchObject({ status: 200, body: 'ran' });
  }
  expect(repeating.mostRuns).toBe(1);
  expect(repeating.runs.size).toBe(ROUNDS);
  await repeating.backEnd.stop();
});

it('a stream that was refused begins once, although its refusal comes again as its next answer is due', async () => {
  const stream = events(1, 3);
  const onRun = reply(200, stream, { 'content-type': 'text/event-stream' });
  const repeating = new RepeatingBackEnd({ onRun });
  forwarding.list(['one', await repeating.backEnd.start()]);
  expect(await forwarding.send('/watch/')).toMatchObject({ status: 200, body: stream, whole: true });
  expect(repeating.mostRuns).toBe(1);
  await repeating.backEnd.stop();
});
