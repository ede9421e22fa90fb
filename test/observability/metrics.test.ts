/**
 * Guards against losing the product's metrics to truncation. The monitoring system kept the first 4 kB of each page, which the
 * metrics of the runtime fill. When one request crashed 31 back ends, the counts of crashes, quarantined contents and refusals
 * were therefore missing.
 */
import { expect, it } from 'vitest';
import { Metrics } from '../../src/observability/metrics.js';

it('puts the metrics of the product before those of the runtime', async () => {
  const metrics = new Metrics('entry');
  metrics.add([{ name: 'quarantined', help: 'For this test', read: () => 3 }]);
  const text = await metrics.text();
  const own = text.indexOf('thistleway_quarantined{role="entry"} 3');
  expect(own).toBeGreaterThanOrEqual(0);
  expect(own).toBeLessThan(text.indexOf('thistleway_process_cpu_user_seconds_total'));
});
