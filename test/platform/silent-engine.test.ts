/** Established connections to the local worker that go silent without a reset, while new ones work. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect, it } from 'vitest';
import { platformEngine } from '../../platform/engine.js';
import { SilentProxy } from '../silent-proxy.js';

it('cost only one call to the worker', async () => {
  const server = createServer((_request, response) => response.end('{"seq":3}'));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const proxy = await new SilentProxy(`127.0.0.1:${(server.address() as AddressInfo).port}`).start();
  const engine = platformEngine(proxy.address);
  const calls = (count: number) =>
    Promise.all(Array.from({ length: count }, () => engine.state(AbortSignal.timeout(200))));
  expect((await calls(3)).every(({ ok }) => ok)).toBe(true);
  proxy.silence();
  expect((await calls(1)).map(({ ok }) => ok)).toEqual([false]);
  expect((await calls(3)).map(({ ok }) => ok)).toEqual([true, true, true]);
  await proxy.stop();
  server.close();
});
