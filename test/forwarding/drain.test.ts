/** Requests and connections while the process stops. */
import { connect } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import { until } from '../support.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { events, StandInBackEnd } from './stand-in-back-end.js';

const CONFIGURATION: FleetConfiguration = {
  revision: 1,
  routes: [{ ...STREAM_ROUTE, targets: [{ service: 'billing', weight: 1 }] }],
  services: [{ name: 'billing', maxConnections: 0, engine: undefined }],
  origin: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 200_000, headerTimeout: 5_000, idleTimeout: 10_000 },
  tenants: undefined,
};

let backEnd: StandInBackEnd;
let forwarding: ForwardingHarness;

beforeEach(async () => {
  backEnd = await new StandInBackEnd((request, response) => {
    const headers = {
      'x-request': String(request.headers['x-request']),
      'content-type': 'text/event-stream',
    };
    response.writeHead(200, headers);
    response.write(events(1, 1));
  }).start();
  forwarding = new ForwardingHarness('billing');
  await forwarding.start(CONFIGURATION);
  forwarding.list(['one', backEnd]);
});

afterEach(async () => {
  await forwarding.stop();
  await backEnd.stop();
});

async function figure(name: string): Promise<string[]> {
  const lines = (await forwarding.metrics.text()).split('\n');
  return lines.filter((line) => line.startsWith(`thistleway_${name}`));
}

describe('an answer that is cut because the process stops', () => {
  it('is counted as stopped, not as left by its caller, with the time of its arrival', async () => {
    forwarding.drain.begin(performance.now());
    const answer = forwarding.send('/write/a');
    await until(() => backEnd.requests.length === 1, 'the request at its back end');
    await until(async () => (await figure('forwarded_in_progress'))[0]?.endsWith(' 1'), 'the request');
    // Gives the caller time to receive the head of the answer.
    await new Promise((resolve) => setTimeout(resolve, 100));
    await forwarding.stop();
    expect((await answer).whole).toBe(false);
    const outcomes = await figure('forwarded{');
    expect(outcomes.some((line) => line.includes('outcome="stopped"') && line.endsWith(' 1'))).toBe(true);
    expect(outcomes.some((line) => line.includes('outcome="left"'))).toBe(false);
    const arrivals = await figure('drain_arrival_seconds_count');
    expect(arrivals).toHaveLength(1);
    expect(arrivals[0]).toMatch(/outcome="stopped".* 1$/);
  });
});

describe('a connection that was accepted just before the close', () => {
  it('is waited for, and its request is answered', async () => {
    const [host, port] = forwarding.address.split(':');
    const socket = connect(Number(port), host);
    let text = '';
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
    });
    await new Promise((resolve) => socket.once('connect', resolve));
    forwarding.drain.begin(performance.now());
    await forwarding.close();
    expect(forwarding.isDrained).toBe(false);
    forwarding.drain.finish(performance.now());
    socket.write('GET /write/a HTTP/1.1\r\nHost: api.example\r\nX-Request: late\r\n\r\n');
    await until(() => text.includes('\r\n\r\n'), 'an answer');
    expect(text).toMatch(/^HTTP\/1\.1 503 /);
    expect(text.toLowerCase()).toContain('connection: close');
    expect(backEnd.requests).toHaveLength(0);
    await until(() => forwarding.isDrained, 'the end');
    socket.destroy();
  });
});
