import { Readable } from 'node:stream';
import { describe, expect, it } from 'vitest';
import { type BackEnd, type CallRequest, Calls } from '../../src/agent/calls.js';
import { WINDOW_BYTES } from '../../src/agent/send-window.js';
import type { HttpStream } from '../../src/clients/http.js';
import type { Message } from '../../src/protocol/messages.js';
import { until } from '../support.js';
import { connectionTo } from './fake-connection.js';

const VERSION = 'a'.repeat(64);

function call(fields: Partial<CallRequest> = {}): CallRequest {
  return {
    type: 'call',
    callId: 'c',
    attempt: 1,
    version: VERSION,
    method: 'POST',
    path: '/',
    contentType: 'application/json',
    body: Buffer.from('{}'),
    timeLeft: 10_000,
    once: undefined,
    ...fields,
  };
}

/** A back end that answers with `parts` as an event stream. */
function backEnd(parts: string[], overrides: Partial<BackEnd> = {}): BackEnd & { runs: number } {
  const instance = {
    runs: 0,
    refusalFor: () => undefined,
    async run() {
      instance.runs++;
      const body = Readable.from(parts.map((part) => Buffer.from(part)));
      return {
        statusCode: 200,
        headers: { 'content-type': 'text/event-stream' },
        body,
      } as unknown as HttpStream;
    },
    cancel: () => {},
    ...overrides,
  };
  return instance;
}

async function outcomeOf(calls: Calls, request: CallRequest): Promise<Message[]> {
  const sent: Message[] = [];
  const { connection, receive } = connectionTo(sent);
  calls.serve(connection);
  receive(request);
  await until(
    () => sent.some(({ type }) => type === 'callEnd' || type === 'callRefused' || type === 'callFailed'),
    'end',
  );
  return sent;
}

describe('calls at an agent', () => {
  it('relays a complete answer and states its number of frames', async () => {
    const sent = await outcomeOf(new Calls(backEnd(['data: one\n\n', 'data: [DONE]\n\n']), 1), call());
    expect(sent.map(({ type }) => type)).toEqual(['callHead', 'callData', 'callData', 'callEnd']);
    expect(sent.at(-1)).toMatchObject({ frames: 2 });
  });

  it('reports a truncated event stream as failed, not as complete', async () => {
    const sent = await outcomeOf(new Calls(backEnd(['data: one\n\n']), 1), call());
    expect(sent.at(-1)).toMatchObject({ type: 'callFailed', ran: 'yes' });
  });

  it.each([
    ['it is leaving', { leaving: true }, {}, 'leaving'],
    ['the version is not loaded', {}, { refusalFor: () => 'wrongVersion' as const }, 'wrongVersion'],
    [
      'the back end refuses connections',
      {},
      { run: () => Promise.reject(Object.assign(new Error(), { code: 'ECONNREFUSED' })) },
      'backEndUnreachable',
    ],
  ])('refuses a call at once, as not run, when %s', async (_, state, overrides, reason) => {
    const calls = new Calls(backEnd([], overrides), 1);
    if ('leaving' in state) calls.leave();
    expect(await outcomeOf(calls, call())).toMatchObject([{ type: 'callRefused', reason }]);
  });

  it('does not state "not run" if the connection is reset after the request may have been sent', async () => {
    const broken = backEnd([], {
      run: () => Promise.reject(Object.assign(new Error(), { code: 'ECONNRESET' })),
    });
    expect(await outcomeOf(new Calls(broken, 1), call())).toMatchObject([
      { type: 'callFailed', ran: 'unknown' },
    ]);
  });

  it('refuses calls beyond the capacity and the queue of the back end', async () => {
    const unresponsive = backEnd([], { run: () => new Promise<HttpStream>(() => {}) });
    const calls = new Calls(unresponsive, 1);
    const sent: Message[] = [];
    const { connection, receive } = connectionTo(sent);
    calls.serve(connection);
    for (let attempt = 1; attempt <= 3; attempt++) receive(call({ attempt }));
    expect(sent).toMatchObject([{ type: 'callRefused', attempt: 3, reason: 'overloaded' }]);
  });

  it('sends no more than the send window until the caller acknowledges bytes', async () => {
    const parts = Array.from({ length: 100 }, () => 'x'.repeat(16 * 1_024));
    const calls = new Calls(backEnd([...parts, 'data: [DONE]\n\n']), 1);
    const sent: Message[] = [];
    const { connection, receive } = connectionTo(sent);
    calls.serve(connection);
    receive(call());
    const bytes = () => sent.reduce((sum, m) => sum + (m.type === 'callData' ? m.data.byteLength : 0), 0);
    await until(() => bytes() >= WINDOW_BYTES, 'a full window');
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(bytes()).toBeLessThanOrEqual(WINDOW_BYTES + 16 * 1_024);
    while (!sent.some(({ type }) => type === 'callEnd')) {
      receive({ type: 'callTaken', callId: 'c', attempt: 1, bytes: 64 * 1_024 });
      await new Promise((resolve) => setImmediate(resolve));
    }
    expect(sent.at(-1)).toMatchObject({ type: 'callEnd', frames: 101 });
  });

  it.each([59_975.829, -1, Number.NaN, 1e12])('ends a call with a remaining time of %d', async (timeLeft) => {
    const sent = await outcomeOf(new Calls(backEnd(['data: [DONE]\n\n']), 1), call({ timeLeft }));
    expect(sent.at(-1)?.type).toMatch(/callEnd|callFailed/);
  });

  it('cancels a call at the back end when the entry disconnects', async () => {
    const cancelled: string[] = [];
    const unresponsive = backEnd([], {
      run: (_, signal) =>
        new Promise((_resolve, reject) => signal.addEventListener('abort', () => reject(new Error()))),
      cancel: (request) => cancelled.push(request.callId),
    });
    const calls = new Calls(unresponsive, 1);
    const { connection, receive } = connectionTo([]);
    calls.serve(connection);
    receive(call());
    connection.onClose();
    await until(() => calls.active === 0, 'the end of the call');
    expect(cancelled).toContain('c');
  });
});
