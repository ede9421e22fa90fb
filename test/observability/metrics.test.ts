/**
 * Monitoring kept the first 4 kB of each page of metrics. The runtime's own figures fill that, so that none of the product's was there
 * when a request that ended 31 back ends had to be explained: no count of crashes, of quarantined contents or of refusals.
 */
import { expect, it } from 'vitest';
import { Metrics } from '../../src/observability/metrics.js';

it('tells the product’s own figures before those of the runtime', async () => {
  const metrics = new Metrics('entry');
  metrics.add([{ name: 'quarantined', help: 'For this test', read: () => 3 }]);
  const text = await metrics.text();
  const own = text.indexOf('thistleway_quarantined{role="entry"} 3');
  expect(own).toBeGreaterThanOrEqual(0);
  expect(own).toBeLessThan(text.indexOf('thistleway_process_cpu_user_seconds_total'));
});
