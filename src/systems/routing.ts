/** Chooses the back end for a request: hard filters first, then the least loaded one. */
import type { Random } from '../model/random.js';

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
  now: number;
}

/** The back end and the version chosen. */
export interface Route {
  replica: ReplicaRow;
  version: string;
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
  for (const replica of replicas) {
    const version = usableVersion(replica, query);
    if (version === undefined) continue;
    const cost = costOf(replica);
    if (cost > bestCost) continue;
    ties = cost < bestCost ? 1 : ties + 1;
    bestCost = cost;
    if (ties === 1 || random.below(ties) === 0) best = { replica, version };
  }
  return best;
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
