/** Helpers shared by several tests. */

import { freeAddress } from '../bench/processes/child.js';
import { HybridClock } from '../src/model/hybrid-clock.js';
import { Timeline } from '../src/observability/timeline.js';
import { type NewsHandler, PeerNews } from '../src/peers/peer-news.js';
import { type ConnectionContext, createTrafficCounters } from '../src/protocol/connection.js';
import type { PeerInfo } from '../src/systems/distribution/transfer.js';

const noNews: NewsHandler<never> = { takeNews: () => {}, allNews: () => [] };
/** For tests of entries that exchange no updates with peers. */
export const NO_NEWS = new PeerNews(noNews, noNews);

const WAIT_LIMIT = 20_000;
const WAIT_INTERVAL = 10;

/** Waits until `condition` holds; fails after a limit far above what any test needs. */
export async function until(condition: () => boolean | Promise<boolean>, what: string): Promise<void> {
  const endsAt = performance.now() + WAIT_LIMIT;
  while (!(await condition())) {
    if (performance.now() > endsAt) throw new Error(`timed out waiting for: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, WAIT_INTERVAL));
  }
}

/** Blocks this thread's event loop, as lack of processor time on a busy machine does. */
export function blockEventLoop(milliseconds: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

/** A peer whose id and address are `name`. */
export function peer(name: string, place = 'place-a', region = 'region-a'): PeerInfo {
  return { id: name, address: name, place, region, zone: `${region}-1` };
}

/** Creates the context shared by the connections of a process, at a free address. */
export async function createConnectionContext(
  name: string,
  place = 'place-a',
  role: 'agent' | 'entry' = 'agent',
): Promise<{ context: ConnectionContext; info: PeerInfo; timeline: Timeline }> {
  const info: PeerInfo = { ...peer(name, place), address: await freeAddress() };
  const clock = new HybridClock();
  const hello = () => ({ type: 'hello', role, peer: info }) as const;
  return {
    context: { clock, counters: createTrafficCounters(), hello },
    info,
    timeline: new Timeline(name, clock),
  };
}
