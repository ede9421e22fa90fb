/**
 * Chooses the back end for a request: hard filters first, then the lowest cost, which is load and, for prompts with a
 * long beginning, distance from the replica that has probably read that beginning before.
 */
import { type Random, rendezvousOrder } from '../model/random.js';

/** A back end as routing sees it. */
export interface ReplicaRow {
  /** Identity of the agent. */
  id: string;
  place: string;
  zone: string;
  leaving: boolean;
  /** Versions that the engine reports as loaded; empty for a plain service. */
  ready: readonly string[];
  /** Requests in progress as last reported. */
  reportedActive: number;
  /** Requests of this entry in progress there. */
  ownActive: number;
  capacity: number;
  /** Not used before this time, after a failure seen by this entry. */
  suspendedUntil: number;
}

/** What a request needs. */
export interface RouteQuery {
  places: readonly string[];
  /** Versions that may answer, or undefined for a plain service. */
  versions: readonly string[] | undefined;
  /** Back ends that refused this request already. */
  excluded: ReadonlySet<string>;
  /** Beginning of the prompt, where it is long enough to be worth finding in a cache. */
  prefix: string | undefined;
  now: number;
}

/** The back end and the version chosen. */
export interface Route {
  replica: ReplicaRow;
  version: string;
}

/** What it costs, in shares of a full back end, to leave the first replica of a prefix's order. */
const AFFINITY_COST = 0.5;
/** What each further place in the order costs, so that all entries leave it for the same next one. */
const AFFINITY_STEP = 0.02;

/**
 * What it costs to send a prompt to the replica at `rank` of its prefix's order: that replica has probably not read
 * the prefix yet. In units of the load of a full back end.
 */
export function affinityCost(rank: number): number {
  return rank === 0 ? 0 : AFFINITY_COST + rank * AFFINITY_STEP;
}

/** Chooses a back end, or undefined where none fits. */
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

/** The place of each replica in the prefix's order; the same at every entry, without a message. */
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

/** The report lags: what this entry has sent there itself counts at least. */
function costOf(replica: ReplicaRow): number {
  return Math.max(replica.reportedActive, replica.ownActive) / replica.capacity;
}
