/** The start time and the pace in a worker's report. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, it } from 'vitest';
import { platformEngine } from '../../platform/engine.js';

let server: Server;

afterEach(() => {
  server.close();
});

async function stateOf(report: object) {
  server = createServer((_request, response) => response.end(JSON.stringify(report)));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const engine = platformEngine(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  return engine.state(AbortSignal.timeout(5_000));
}

it('is part of the state', async () => {
  const report = { born: 1_796_266_800_123, seq: 2, models: [{ name: 'm', version: 1 }] };
  expect(await stateOf(report)).toMatchObject({ ok: true, value: { start: 1_796_266_800_123, sequence: 2 } });
});

it('is unknown if the report has none', async () => {
  expect(await stateOf({ seq: 2 })).toMatchObject({ ok: true, value: { start: undefined, sequence: 2 } });
});

it.each([
  [{ pace: 2.5 }, 2.5],
  [{}, undefined],
])('its pace of %j is part of the state', async (told, pace) => {
  expect(await stateOf({ seq: 2, ...told })).toMatchObject({ ok: true, value: { pace } });
});

it.each([['1796266800123'], [0.5], [null], [{}]])('invalidates the report if it is %j', async (born) => {
  expect(await stateOf({ seq: 2, born })).toMatchObject({
    ok: false,
    // The schema names the field and its fault.
    error: { reason: expect.stringMatching(/^born: ./) },
  });
});
