/** Chooses who exchanges chunks with whom: machines of one region, which no expensive link parts. */
import { type Random, shuffle } from '../../model/random.js';
import type { MemberRow } from './coordinator-tables.js';
import type { PeerId } from './transfer.js';

/** How chunks reach the machines; `tree` and `origin` are baselines for measurements. */
export type DistributionStrategy = 'swarm' | 'tree' | 'origin';

/** Children of a machine in the `tree` baseline. */
const TREE_FAN_OUT = 2;

/** Machines looked at for each neighbour chosen; of these the ones with the fewest neighbours are taken. */
const SAMPLES_PER_NEIGHBOUR = 2;

/** The peers that `member` is told of when it joins, given those that joined before it. */
export function selectNeighbours(
  strategy: DistributionStrategy,
  member: MemberRow,
  members: ReadonlyMap<PeerId, MemberRow>,
  degree: number,
  random: Random,
): MemberRow[] {
  if (strategy === 'origin') return [];
  const others = [...members.values()].filter((other) => other.info.id !== member.info.id);
  if (strategy === 'tree') {
    const parent = others[Math.floor((member.joinIndex - 1) / TREE_FAN_OUT)];
    return parent === undefined ? [] : [parent];
  }
  const sameRegion = others.filter((other) => other.info.region === member.info.region);
  const sample = shuffle(sameRegion, random).slice(0, degree * SAMPLES_PER_NEIGHBOUR);
  return sample.sort((a, b) => a.degree - b.degree).slice(0, degree);
}
