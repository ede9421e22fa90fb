/**
 * Selects the back end for a request: hard filters first, then the lowest cost. The cost is the load and, for prompts with
 * a long prefix, a penalty for replicas that have probably not cached that prefix.
 */
import { type Random, rendezvousOrder } from '../model/random.js';

/** A back end as routing sees it. */
export interface ReplicaRow {
  /** Identity of the agent. */
  id: string;
  place: string;
  zone: string;
  leaving: boolean;
  /** Versions that the engine reports as loaded; empty for a service without versions. */
  ready: readonly string[];
  /** Requests in progress, as last reported. */
  reportedActive: number;
  /** Requests in progress that were sent by this entry. */
  ownActive: number;
  capacity: number;
  /** Not used before this time, after a failure seen by this entry. */
  suspendedUntil: number;
}

/** Requirements of a request. */
export interface RouteQuery {
  places: readonly string[];
  /** Versions that may answer; undefined for a service without versions. */
  versions: readonly string[] | undefined;
  /** Back ends that have already refused this request. */
  excluded: ReadonlySet<string>;
  /** Prefix of the prompt, if it is long enough for cache affinity to pay off. */
  prefix: string | undefined;
  now: number;
}

/** The selected back end and version. */
export interface Route {
  replica: ReplicaRow;
  version: string;
}

/** Cost of not using the first replica in a prefix's order, in units of the load of a full back end. */
const AFFINITY_COST = 0.5;
/** Additional cost of each position in the order, so that all entries fall back to the same next replica. */
const AFFINITY_STEP = 0.02;

/**
 * Cost of sending a prompt to the replica at `rank` in its prefix's order, in units of the load of a full back end. Only
 * the first replica is likely to have cached the prefix.
 */
export function affinityCost(rank: number): number {
  return rank === 0 ? 0 : AFFINITY_COST + rank * AFFINITY_STEP;
}

/** Selects a back end; undefined if none is eligible. */
export function chooseRoute(
  replicas: readonly ReplicaRow[],
  query: RouteQuery,
  random: Random,
): Route | undefined {
  let best: Route | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  let ties = 0;
  const ranks = ranksFor(query.prefix, replicas);
  for (const replica of replicas) {
    const version = usableVersion(replica, query);
    if (version === undefined) continue;
    const cost = costOf(replica) + affinityCost(ranks?.get(replica.id) ?? 0);
    if (cost > bestCost) continue;
    ties = cost < bestCost ? 1 : ties + 1;
    bestCost = cost;
    if (ties === 1 || random.below(ties) === 0) best = { replica, version };
  }
  return best;
}

/** The rank of each replica in the prefix's order, which every entry computes identically without communication. */
function ranksFor(
  prefix: string | undefined,
  replicas: readonly ReplicaRow[],
): Map<string, number> | undefined {
  if (prefix === undefined) return undefined;
  const order = rendezvousOrder(
    prefix,
    replicas.map((replica) => replica.id),
  );
  return new Map(order.map((id, rank) => [id, rank]));
}

function usableVersion(replica: ReplicaRow, query: RouteQuery): string | undefined {
  if (replica.leaving || query.excluded.has(replica.id) || replica.suspendedUntil > query.now)
    return undefined;
  if (!query.places.includes(replica.place)) return undefined;
  if (query.versions === undefined) return '';
  return query.versions.find((version) => replica.ready.includes(version));
}

/** Load of a replica. Reports lag behind, so the load is at least the number of requests sent by this entry. */
function costOf(replica: ReplicaRow): number {
  return Math.max(replica.reportedActive, replica.ownActive) / replica.capacity;
}
