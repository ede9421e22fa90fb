/** Tests what an entry records of the ends of requests: metrics by route, tenant and rank, and the floor of service. */
import { beforeEach, expect, it } from 'vitest';
import { STREAM_ROUTE } from '../../bench/simulation/stream-route.js';
import type { BackEndUse } from '../../src/forwarding/back-end-use.js';
import type { RequestEnding } from '../../src/forwarding/request-ending.js';
import { RequestTiming } from '../../src/forwarding/request-timing.js';
import { type RecordedRequest, ServiceRecord } from '../../src/forwarding/service-record.js';
import { seededRandom } from '../../src/model/random.js';
import { Metrics } from '../../src/observability/metrics.js';
import { ServiceFloor } from '../../src/systems/service-floor.js';

const REFUSED: RequestEnding = {
  type: 'failed',
  error: { type: 'unavailable', reason: 'back ends full', retryAfter: 1 },
};

let floor: ServiceFloor;
let metrics: Metrics;
let record: ServiceRecord;

beforeEach(() => {
  floor = new ServiceFloor(seededRandom(1));
  metrics = new Metrics('entry');
  record = new ServiceRecord(floor, metrics);
});

function request(changes: Partial<RecordedRequest> = {}): RecordedRequest {
  const timing = new RequestTiming(0, STREAM_ROUTE, undefined);
  return { route: STREAM_ROUTE, tenant: 'north', priorityRank: 1, isDrawn: false, timing, ...changes };
}

/** An answer whose first part arrived `at` milliseconds after the request. */
function answeredAt(at: number): RequestEnding {
  const use = { attempt: { startedAt: 0 }, firstAnswerAfter: at, answer: { status: 200 } };
  return { type: 'answered', use: use as BackEndUse };
}

it('counts how requests ended by route, tenant and rank', async () => {
  record.note(request(), answeredAt(STREAM_ROUTE.objective), 0);
  record.note(request({ tenant: undefined }), answeredAt(STREAM_ROUTE.objective + 1), 0);
  record.note(request({ priorityRank: 0, isDrawn: true }), REFUSED, 0);
  record.note(request(), { type: 'left' }, 0);
  const text = await metrics.text();
  expect(text).toContain('thistleway_requests_by_route{route="write",ending="inTime",role="entry"} 1');
  expect(text).toContain('thistleway_requests_by_tenant{tenant="none",ending="late",role="entry"} 1');
  expect(text).toContain('thistleway_requests_by_rank{rank="0",ending="refused",role="entry"} 1');
  expect(text).toContain('thistleway_requests_by_tenant{tenant="north",ending="left",role="entry"} 1');
  expect(text).toContain('thistleway_requests_drawn{role="entry"} 1');
});

it('counts the requests of many tenants together, so that the metrics stay short', async () => {
  for (let number = 0; number < 1_000; number++)
    record.note(request({ tenant: `tenant-${number}` }), answeredAt(1), 0);
  const lines = (await metrics.text()).split('\n').filter((line) => line.includes('_by_tenant{'));
  expect(lines).toHaveLength(101);
  expect(lines.at(-1)).toContain('tenant="other",ending="inTime",role="entry"} 900');
});

it('tells the floor of service which requests for streams were served and which were refused', () => {
  for (let number = 0; number < 10; number++) {
    record.note(request({ priorityRank: 0 }), answeredAt(1), 0);
    record.note(request(), REFUSED, 0);
    record.note(request(), { type: 'left' }, 0);
    record.note(request({ route: { ...STREAM_ROUTE, isStream: false } }), answeredAt(1), 0);
  }
  expect(floor.drawnShare(1, 0)).toBeCloseTo(0.25 / 2);
});
