/** Guards against answers whose head is cut off reaching callers as whole ones. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { callHttp } from '../../src/clients/http.js';
import { CLOSE_DELIMITED, CLOSINGS, CuttingServer, DELIMITED, type Framing } from '../cut-answers.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { billingConfiguration, routeNamed } from './routes.js';

const FRAMINGS = [...DELIMITED, ...CLOSE_DELIMITED];
const BAD_GATEWAY = 502;

const CONFIGURATION = billingConfiguration(routeNamed('once', { repeatability: 'never', maxAttempts: 1 }));

let server: CuttingServer;
let forwarding: ForwardingHarness;

beforeEach(async () => {
  server = await new CuttingServer().start();
  forwarding = new ForwardingHarness('billing');
  await forwarding.start(CONFIGURATION);
});
afterEach(async () => {
  await forwarding.stop();
  await server.stop();
});

/** The numbers of bytes at which a head can be cut. */
function cutsOf({ head }: Framing, requestId: string): number[] {
  return [...head(requestId)].map((_byte, index) => index);
}

describe.each(FRAMINGS)('an answer with $name', (framing) => {
  it.each(CLOSINGS)('is not taken as whole by an entry wherever its head is cut (%s)', async (closing) => {
    const requestId = 'r1';
    for (const bytes of cutsOf(framing, requestId)) {
      server.plan = { framing, closing, bytes };
      // A new back end each time: one that fails is not used again soon.
      forwarding.list([`cut-at-${bytes}`, server]);
      const answer = await forwarding.send(`/once/${bytes}`, { headers: { 'x-request': requestId } });
      expect(answer.status, `cut at byte ${bytes}`).toBe(BAD_GATEWAY);
    }
    expect(server.ended).toBe(cutsOf(framing, requestId).length);
  });

  it.each(CLOSINGS)('is not taken as whole by a client wherever its head is cut (%s)', async (closing) => {
    for (const bytes of cutsOf(framing, '')) {
      server.plan = { framing, closing, bytes };
      const url = `http://${server.address}/a`;
      const answer = await callHttp({
        service: 'store',
        method: 'GET',
        url,
        signal: AbortSignal.timeout(5_000),
      });
      expect(answer.ok, `cut at byte ${bytes}`).toBe(false);
    }
  });
});
