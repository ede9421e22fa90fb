import { Worker } from 'node:worker_threads';
import { afterEach, describe, expect, it } from 'vitest';
import { encode } from '../../src/protocol/codec.js';
import { type Connection, ConnectionListener } from '../../src/protocol/connection.js';
import { blockEventLoop, createConnectionContext, until } from '../support.js';

/** Longer than the default receive timeout of a connection, in milliseconds. */
const STANDSTILL = 4_500;

/** The remote side, in a worker thread: sends a hello, then pings every 300 ms even while the main thread is blocked. */
const REMOTE = `
  const { workerData } = require('node:worker_threads');
  const { WebSocket } = require('ws');
  const socket = new WebSocket('ws://' + workerData.address);
  socket.on('error', () => {});
  socket.on('open', () => {
    socket.send(workerData.hello);
    if (workerData.pings) setInterval(() => socket.readyState === 1 && socket.ping(), 300);
  });
`;

const cleanUps: Array<() => unknown> = [];

async function acceptFrom(pings: boolean): Promise<Connection> {
  const { context } = await createConnectionContext('this-side');
  const { address } = context.hello().peer;
  const accepted: Connection[] = [];
  const listener = new ConnectionListener(address, context, (connection) => accepted.push(connection));
  await listener.start();
  cleanUps.push(() => listener.stop());
  const hello = encode((await createConnectionContext('other-side')).context.hello(), context.clock.next());
  const remote = new Worker(REMOTE, { eval: true, workerData: { address, hello, pings } });
  cleanUps.push(() => remote.terminate());
  await until(() => accepted.length > 0, 'the connection');
  return accepted[0];
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0).reverse()) await cleanUp();
});

describe('Connection', () => {
  it('stays open after this process itself was blocked for longer than the receive timeout', async () => {
    const connection = await acceptFrom(true);
    await pause(1_200);
    blockEventLoop(STANDSTILL);
    await pause(1_500);
    expect(connection.open).toBe(true);
  });

  it('closes when the remote side sends nothing while this process runs', async () => {
    const connection = await acceptFrom(false);
    await until(() => !connection.open, 'the end of the connection');
    expect(connection.open).toBe(false);
  });
});
