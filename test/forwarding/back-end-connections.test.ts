/** Tests the pool of connections to one back end. */
import type { Dispatcher } from 'undici';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { BackEndConnections } from '../../src/forwarding/back-end-connections.js';
import { SilentProxy } from '../silent-proxy.js';
import { until } from '../support.js';
import { reply, StandInBackEnd } from './stand-in-back-end.js';

/** More than the maximum number of connections. */
const TOO_MANY = 130;

let backEnd: StandInBackEnd;
let proxy: SilentProxy;
let connections: BackEndConnections;

beforeEach(async () => {
  backEnd = await new StandInBackEnd(reply(200, 'whole')).start();
  proxy = await new SilentProxy(backEnd.address).start();
  connections = new BackEndConnections(proxy.address);
});

afterEach(async () => {
  await connections.destroy();
  await Promise.all([proxy.stop(), backEnd.stop()]);
});

/** Sends a request. Returns whether a connection was available, and how the request ended. */
function send(method = 'GET'): { taken: boolean; ended: Promise<'whole' | 'error'> } {
  let taken = false;
  const ended = new Promise<'whole' | 'error'>((resolve) => {
    const handler = {
      onRequestStart: () => {},
      onResponseStart: () => {},
      onResponseData: () => {},
      onResponseEnd: () => resolve('whole'),
      onResponseError: () => resolve('error'),
    };
    taken = connections.dispatch({ method: method as 'GET', path: '/', headers: [] }, handler) !== undefined;
  });
  return { taken, ended };
}

it('an idle connection is reused, unless the back end has closed it', async () => {
  for (let count = 0; count < 3; count++) {
    expect(await send().ended).toBe('whole');
    await new Promise((resolve) => setImmediate(resolve));
  }
  expect(proxy.accepted).toBe(1);
  backEnd.answer(reply(200, 'whole', { connection: 'close' }));
  expect(await send().ended).toBe('whole');
  await until(() => proxy.open === 0, 'the end of the connection');
  expect(await send().ended).toBe('whole');
  expect(proxy.accepted).toBe(2);
});

it('closeIdleSince closes connections that have been idle since the given time and keeps those used later', async () => {
  backEnd.answer((request, response, body) =>
    setTimeout(() => reply(200, 'whole')(request, response, body), 50),
  );
  await Promise.all([send().ended, send().ended, send().ended]);
  await new Promise((resolve) => setTimeout(resolve, 20));
  const time = performance.now();
  expect(await send().ended).toBe('whole');
  await new Promise((resolve) => setTimeout(resolve, 20));
  connections.closeIdleSince(time);
  await until(() => proxy.open === 1, 'two connections to close');
  expect(await send().ended).toBe('whole');
  expect(proxy.accepted).toBe(3);
});

it('the connection of an aborted request closes, and no new one is opened in its place', async () => {
  backEnd.answer(() => {});
  let abort: () => void = () => {};
  const handler = {
    onRequestStart: (controller: Dispatcher.DispatchController) => {
      abort = () => controller.abort(new Error('given up'));
    },
    onResponseStart: () => {},
    onResponseData: () => {},
    onResponseEnd: () => {},
    onResponseError: () => {},
  };
  connections.dispatch({ method: 'GET', path: '/', headers: [] }, handler);
  await until(() => backEnd.requests.length === 1, 'the request');
  abort();
  await until(() => proxy.open === 0, 'the end of the connection');
  await new Promise((resolve) => setTimeout(resolve, 200));
  expect(proxy.accepted).toBe(1);
});

it('requests that the client library rejects do not use up connections', async () => {
  for (let count = 0; count < TOO_MANY; count++) expect(await send('no method').ended).toBe('error');
  expect(await send().ended).toBe('whole');
});

it('no more connections are opened than allowed', async () => {
  backEnd.answer(() => {});
  const sent = Array.from({ length: TOO_MANY }, () => send());
  expect(sent.filter(({ taken }) => taken).length).toBe(128);
});

it('failed connection attempts do not use up connections', async () => {
  await proxy.stop();
  for (let count = 0; count < TOO_MANY; count++) expect(await send().ended).toBe('error');
  expect(send().taken).toBe(true);
});
