/** Histograms of the benches, by library. */
import { build, type Histogram } from 'hdr-histogram-js';

/** A histogram of microseconds up to a minute. */
export function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
}
