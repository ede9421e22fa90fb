/**
 * How often entries report to one another. What one entry sends and reads a second must not grow with their number, or
 * all of them together would spend its square.
 */

/** Time between two reports inside a zone, and to other zones, in milliseconds. */
const NEAR_INTERVAL = 150;
const FAR_INTERVAL = 450;
/** With more other entries than this reports become rarer. */
const FREQUENT_PEERS = 10;
/** An entry is taken to live for this long after its latest report, in milliseconds, and for so many intervals. */
const SHORTEST_LIFE = 1_500;
const LIFE_INTERVALS = 3;

/** Time between two reports to one of `peerCount` other entries, in milliseconds. */
export function reportInterval(isNear: boolean, peerCount: number): number {
  const rarity = Math.max(1, peerCount / FREQUENT_PEERS);
  return (isNear ? NEAR_INTERVAL : FAR_INTERVAL) * rarity;
}

/** Time for which one of `peerCount` other entries is taken to live after its latest report, in milliseconds. */
export function reportLife(isNear: boolean, peerCount: number): number {
  return Math.max(SHORTEST_LIFE, LIFE_INTERVALS * reportInterval(isNear, peerCount));
}

/** Time between two looks at which reports are due, in milliseconds. */
export const REPORT_TICK = NEAR_INTERVAL;

/** Signs of life are as frequent as between few up to this many other entries, and half as frequent from twice as many on. */
const FREQUENT_SIGNS = 50;
const RAREST_SIGNS = 2;

/** How much rarer signs of life are asked for among `peerCount` other entries: with 99, each would ask for 70 a second. */
export function signRarity(peerCount: number): number {
  return Math.min(RAREST_SIGNS, Math.max(1, peerCount / FREQUENT_SIGNS));
}
