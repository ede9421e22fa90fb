/**
 * Guards against a request that was read and forwarded on a connection which the answer before it closes: during a stop, each
 * answer told its caller to close, whatever had been read behind its request.
 */
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { until } from '../support.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { billingConfiguration, routeNamed } from './routes.js';
import { StandInBackEnd } from './stand-in-back-end.js';

const ANSWER_TIME = 200;

let backEnd: StandInBackEnd;
let forwarding: ForwardingHarness;
let socket: Socket;
let received: string;

beforeEach(async () => {
  backEnd = await new StandInBackEnd((request, response) => {
    const id = String(request.headers['x-request']);
    setTimeout(() => {
      response.writeHead(200, { 'x-request': id });
      response.end(`body of ${id}.`);
    }, ANSWER_TIME);
  }).start();
  forwarding = new ForwardingHarness('billing');
  await forwarding.start(billingConfiguration(routeNamed('read')));
  forwarding.list(['one', backEnd, { slots: 16 }]);
  const [host, port] = forwarding.address.split(':');
  received = '';
  socket = connect(Number(port), host);
  socket.on('error', () => {});
  socket.on('data', (bytes) => {
    received += bytes.toString('latin1');
  });
  await new Promise((resolve) => socket.once('connect', resolve));
});

afterEach(async () => {
  socket.destroy();
  await forwarding.stop();
  await backEnd.stop();
});

const head = (id: string) =>
  `GET /read/a HTTP/1.1\r\nHost: api.example\r\nx-request: ${id}\r\nx-key: key-a\r\n\r\n`;
const answered = () => [...received.matchAll(/body of (\w+)\./g)].map(([, id]) => id);

it('all requests that were read before the first answer are answered, and only the last answer closes', async () => {
  socket.write(head('a') + head('b') + head('c'));
  await until(() => backEnd.requests.length > 0, 'the first request at its back end');
  forwarding.drain.begin(performance.now());
  const left = forwarding.leave();
  await until(() => socket.closed, 'the end of the connection');
  await left;
  expect(answered()).toEqual(['a', 'b', 'c']);
  expect(received.match(/connection: close/gi)).toHaveLength(1);
});

it('a request behind an answer that closes its connection is not forwarded', async () => {
  forwarding.drain.begin(performance.now());
  backEnd.answer((request, response) => {
    response.writeHead(200, { 'x-request': String(request.headers['x-request']) });
    response.write('begun ');
    setTimeout(() => response.end('body of a.'), ANSWER_TIME);
  });
  socket.write(head('a'));
  await until(() => received.includes('begun'), 'the head of the answer');
  expect(received.toLowerCase()).toContain('connection: close');
  socket.write(head('b'));
  await sleep(ANSWER_TIME / 2);
  expect(backEnd.requests.map(({ headers }) => headers['x-request'])).toEqual(['a']);
  await until(() => socket.closed, 'the end of the connection');
  expect(answered()).toEqual(['a']);
  expect(backEnd.requests).toHaveLength(1);
  await until(() => forwarding.active === 0, 'the end of all requests');
});
