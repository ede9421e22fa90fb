import { getEventListeners } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { request } from 'undici';
import { expect, it } from 'vitest';
import { withLimit } from '../../src/model/time-limit.js';
import { blockEventLoop } from '../support.js';

it('a limit may be a fraction of a millisecond', async () => {
  const limited = withLimit(new AbortController().signal, 12.5);
  expect(limited.aborted).toBe(false);
  await new Promise((resolve) => limited.addEventListener('abort', resolve));
  expect(limited.reason).toMatchObject({ name: 'TimeoutError' });
});

it('a call is aborted with its signal before its limit', () => {
  const controller = new AbortController();
  const limited = withLimit(controller.signal, 60_000);
  controller.abort();
  expect(limited.aborted).toBe(true);
});

it('a call without a response is aborted at its limit, even after garbage collections', async () => {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  const silent = createServer(() => {});
  await new Promise<void>((resolve) => silent.listen(0, '127.0.0.1', resolve));
  const url = `http://127.0.0.1:${(silent.address() as AddressInfo).port}/`;
  const stopped = new AbortController();
  const ended: string[] = [];
  const calls = Array.from({ length: 20 }, async () => {
    await request(url, { signal: withLimit(stopped.signal, 500) }).catch((error) => ended.push(error.name));
  });
  for (let collection = 0; collection < 4; collection++) {
    await pause(50);
    collect();
  }
  await Promise.race([Promise.all(calls), pause(2_000)]);
  silent.closeAllConnections();
  silent.close();
  expect(ended).toEqual(calls.map(() => 'TimeoutError'));
});

it('a signal keeps no listeners of calls that have ended', async () => {
  const stopped = new AbortController();
  const limited = Array.from({ length: 50 }, () => withLimit(stopped.signal, 5));
  await Promise.all(limited.map((one) => new Promise((resolve) => one.addEventListener('abort', resolve))));
  expect(getEventListeners(stopped.signal, 'abort')).toEqual([]);
});

it('a call is aborted at once if its signal already is', () => {
  const stopped = AbortSignal.abort('stopped');
  expect(withLimit(stopped, 60_000)).toMatchObject({ aborted: true, reason: 'stopped' });
});

it('a limit that expires during a stall leaves time to read a response that arrived meanwhile', async () => {
  const server = createServer((_request, response) => {
    // The response is sent after the limit, and the timer of the limit fires before this process reads it.
    blockEventLoop(1_500);
    response.end('done');
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
  const { statusCode, body } = await request(url, { signal: withLimit(new AbortController().signal, 1_000) });
  expect([statusCode, await body.text()]).toEqual([200, 'done']);
  server.closeAllConnections();
  server.close();
});

it('a limit that expired during a stall aborts the call soon after it', async () => {
  const limited = withLimit(new AbortController().signal, 50);
  blockEventLoop(400);
  await new Promise((resolve) => limited.addEventListener('abort', resolve));
  expect(limited.reason).toMatchObject({ name: 'TimeoutError' });
});
