/** Selects the peers of each machine: machines of the same region, so that chunks do not cross expensive links. */
import { type Random, shuffle } from '../../model/random.js';
import type { MemberRow } from './coordinator-tables.js';
import type { PeerId } from './transfer.js';

/** Distribution strategy. `tree` and `origin` are baselines for benchmarks. */
export type DistributionStrategy = 'swarm' | 'tree' | 'origin';

/** Children of each machine in the `tree` baseline. */
const TREE_FAN_OUT = 2;

/** Candidates sampled for each neighbour selected; the candidates with the fewest neighbours are chosen. */
const SAMPLES_PER_NEIGHBOUR = 2;

/** The neighbours assigned to `member` when it joins, chosen among the machines that joined before it. */
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
