/**
 * Coordinator of a burst, that is, of many machines that load the same model version at the same time. It tracks the
 * members, limits concurrent fetches from the origin, and has each chunk transferred into each region once. Two
 * coordinators at the same time cause extra transfers but no errors, so no lease is needed: each machine picks the
 * coordinating entry by rendezvous hash among the entries it can reach.
 *
 * @example
 * ```ts
 * const coordinator = new BurstCoordinator({ chunkCount: 256, objective: 'fastest', ...rest });
 * coordinator.onJoin(peerInfo, have);
 * for (const command of coordinator.tick(now)) send(command);
 * ```
 */
import type { ChunkSet } from '../../model/chunk-set.js';
import type { Random } from '../../model/random.js';
import { type GrantRow, type MemberRow, type RegionRow, SeedState } from './coordinator-tables.js';
import { type DistributionStrategy, selectNeighbours } from './neighbour-selection.js';
import type { ChunkSource, Grant, Objective, PeerId, PeerInfo } from './transfer.js';

/** Limits of a coordinator. Durations are in milliseconds. */
export interface CoordinatorLimits {
  /** Number of neighbours assigned to a joining machine. */
  neighbourDegree: number;
  /** Concurrent fetches from the origin, over all machines. */
  maxOriginFetches: number;
  /** Concurrent grants held by one machine. */
  grantsPerMember: number;
  /** Concurrent grants that use one machine as their source. */
  servingPerMember: number;
  /**
   * Number of members above which the objective `fastest` also fetches each chunk from the origin only once: at that
   * size, fetching four copies instead of one shortens the lower bound of the transfer time by less than 1 %.
   */
  extraFetchMemberLimit: number;
  /** Time after which a grant that has not ended is reassigned to another machine. */
  grantTimeout: number;
  /** Delay before the origin is retried after a failed fetch; doubles with each further failure. */
  originBackoff: number;
  /** Upper bound of the retry delay. */
  originBackoffCeiling: number;
}

/** Defaults, with which `thistleway bench burst` simulates a burst; see docs/design/distribution.md. */
export const DEFAULT_COORDINATOR_LIMITS: CoordinatorLimits = {
  neighbourDegree: 6,
  maxOriginFetches: 16,
  grantsPerMember: 8,
  servingPerMember: 2,
  extraFetchMemberLimit: 300,
  grantTimeout: 25_000,
  originBackoff: 500,
  originBackoffCeiling: 15_000,
};

/** Parameters of a coordinator. */
export interface BurstCoordinatorInit {
  chunkCount: number;
  objective: Objective;
  strategy: DistributionStrategy;
  limits: CoordinatorLimits;
  random: Random;
}

/** A command issued by a tick, to be sent to a member. */
export type CoordinatorCommand =
  | { type: 'neighbours'; member: PeerId; peers: PeerInfo[] }
  | { type: 'grant'; member: PeerId; grant: Grant };

/** The coordinator of one burst. */
export class BurstCoordinator {
  readonly members = new Map<PeerId, MemberRow>();
  readonly #regions = new Map<string, RegionRow>();
  readonly #grants = new Map<number, GrantRow>();
  /** Chunks that no member is known to have, in the order in which they are fetched from the origin. */
  #unfetched: number[];
  /** Chunks to be transferred into a region that wait for a source or a member with spare capacity. */
  #pendingRegionSeeds: Array<{ region: RegionRow; chunk: number }> = [];
  /** Members known to have each chunk, indexed by chunk. */
  readonly #holders: PeerId[][];
  #openOriginFetches = 0;
  /** Failed origin fetches since the last successful one. */
  #originFailures = 0;
  #originRetryAt = 0;
  #joinCount = 0;
  #nextGrantId = 1;
  #now = 0;
  #commands: CoordinatorCommand[] = [];
  readonly #init: BurstCoordinatorInit;

  constructor(init: BurstCoordinatorInit) {
    this.#init = init;
    this.#unfetched = Array.from({ length: init.chunkCount }, (_, chunk) => chunk);
    this.#holders = this.#unfetched.map(() => []);
  }

  /** Adds a machine with the chunks it already has. Machines also rejoin when their coordinator has changed. */
  onJoin(info: PeerInfo, have: ChunkSet): void {
    if (this.members.has(info.id)) this.onLeave(info.id);
    const member: MemberRow = {
      info,
      joinIndex: this.#joinCount++,
      known: have,
      have: have.size,
      degree: 0,
      grants: 0,
      totalGrants: 0,
      serving: 0,
    };
    const { strategy, limits, random } = this.#init;
    const neighbours = selectNeighbours(strategy, member, this.members, limits.neighbourDegree, random);
    this.members.set(info.id, member);
    const region = this.#regionOf(info.region);
    region.members.add(info.id);
    for (const row of [...neighbours, member]) row.degree += row === member ? neighbours.length : 1;
    const peers = neighbours.map((row) => row.info);
    this.#commands.push({ type: 'neighbours', member: info.id, peers });
    for (const chunk of have.values()) this.#markPresent(region, chunk, info.id);
  }

  /** Removes a machine and reassigns its grants. */
  onLeave(id: PeerId): void {
    const member = this.members.get(id);
    if (member === undefined) return;
    this.members.delete(id);
    this.#regions.get(member.info.region)?.members.delete(id);
    for (const grant of [...this.#grants.values()]) {
      const usesAsSource = grant.source.type === 'peer' && grant.source.peer.id === id;
      if (grant.member === id || usesAsSource) this.#endGrant(grant, false);
    }
  }

  /** Handles a progress report: the number of chunks a machine has, and the chunks that none of its neighbours offers. */
  onReport(id: PeerId, have: number, starving: readonly number[]): void {
    const member = this.members.get(id);
    if (member === undefined) return;
    member.have = have;
    if (this.#init.strategy !== 'swarm') return;
    for (const chunk of starving) this.#grantStarvingChunk(member, chunk);
  }

  /** Handles the end of a grant. `chunk` is the chunk that was fetched, which the machine may have chosen itself. */
  onGrantEnded(id: PeerId, grantId: number, chunk: number | undefined, succeeded: boolean): void {
    const grant = this.#grants.get(grantId);
    if (grant === undefined || grant.member !== id) return;
    if (grant.source.type === 'origin') this.#recordOriginFetch(succeeded);
    this.#endGrant(grant, succeeded, chunk);
  }

  /** True when every member has reported all chunks. */
  get complete(): boolean {
    for (const member of this.members.values()) {
      if (member.have < this.#init.chunkCount) return false;
    }
    return this.members.size > 0;
  }

  /** True when a tick would do nothing: every member is complete and no command or grant is pending. */
  get idle(): boolean {
    return this.complete && this.#commands.length === 0 && this.#grants.size === 0;
  }

  /** Expires overdue grants and issues new ones within the limits; `now` is in milliseconds. */
  tick(now: number): CoordinatorCommand[] {
    this.#now = now;
    for (const grant of [...this.#grants.values()]) {
      if (grant.deadline <= now) this.#expireGrant(grant);
    }
    if (this.#init.strategy === 'swarm') this.#grantRegionSeeds();
    this.#grantOriginFetches();
    const commands = this.#commands;
    this.#commands = [];
    return commands;
  }

  #expireGrant(grant: GrantRow): void {
    if (grant.source.type === 'origin') this.#recordOriginFetch(false);
    this.#endGrant(grant, false);
  }

  #regionOf(name: string): RegionRow {
    let region = this.#regions.get(name);
    if (region === undefined) {
      region = { region: name, members: new Set(), seeds: new Uint8Array(this.#init.chunkCount) };
      this.#regions.set(name, region);
      this.#queueSeedsForNewRegion(region);
    }
    return region;
  }

  #queueSeedsForNewRegion(region: RegionRow): void {
    for (let chunk = 0; chunk < this.#init.chunkCount; chunk++) {
      const elsewhere = [...this.#regions.values()].some((other) => other.seeds[chunk] === SeedState.Present);
      if (elsewhere) this.#pendingRegionSeeds.push({ region, chunk });
    }
  }

  #markPresent(region: RegionRow, chunk: number, holder: PeerId): void {
    this.#holders[chunk].push(holder);
    if (region.seeds[chunk] === SeedState.Present) return;
    region.seeds[chunk] = SeedState.Present;
    for (const other of this.#regions.values()) {
      if (other.seeds[chunk] === SeedState.Missing) this.#pendingRegionSeeds.push({ region: other, chunk });
    }
  }

  #grantRegionSeeds(): void {
    const waiting = this.#pendingRegionSeeds;
    this.#pendingRegionSeeds = [];
    for (const pending of waiting) {
      const { region, chunk } = pending;
      if (region.seeds[chunk] !== SeedState.Missing || region.members.size === 0) continue;
      if (!this.#grantRegionSeed(region, chunk)) this.#pendingRegionSeeds.push(pending);
    }
  }

  #grantRegionSeed(region: RegionRow, chunk: number): boolean {
    const source = this.#bestSource(this.#liveHolders(chunk));
    const member = this.#leastGrantedMember(region);
    if (source === undefined || member === undefined) return false;
    region.seeds[chunk] = SeedState.Granted;
    this.#grant(member, chunk, { type: 'peer', peer: source.info });
    return true;
  }

  #grantOriginFetches(): void {
    while (this.#openOriginFetches < this.#allowedOriginFetches()) {
      const granted = this.#grantFirstOriginFetch() || this.#grantExtraOriginFetch();
      if (!granted) return;
    }
  }

  /** Number of concurrent origin fetches allowed now. A failing origin is probed by one fetch at a time, with backoff. */
  #allowedOriginFetches(): number {
    if (this.#originFailures === 0) return this.#init.limits.maxOriginFetches;
    return this.#now < this.#originRetryAt ? 0 : 1;
  }

  #recordOriginFetch(succeeded: boolean): void {
    if (succeeded) {
      this.#originFailures = 0;
      return;
    }
    const { originBackoff, originBackoffCeiling } = this.#init.limits;
    const backoff = Math.min(originBackoff * 2 ** this.#originFailures, originBackoffCeiling);
    this.#originFailures++;
    this.#originRetryAt = this.#now + backoff;
  }

  /** Grants an origin fetch of a chunk that no member has. */
  #grantFirstOriginFetch(): boolean {
    if (this.#init.strategy !== 'swarm') return false;
    const chunk = this.#unfetched.shift();
    if (chunk === undefined) return false;
    if (this.#isPresentAnywhere(chunk)) return this.#grantFirstOriginFetch();
    const region = this.#leastGrantedRegion();
    const member = region === undefined ? undefined : this.#leastGrantedMember(region);
    if (region === undefined || member === undefined) {
      this.#unfetched.unshift(chunk);
      return false;
    }
    region.seeds[chunk] = SeedState.Granted;
    this.#grant(member, chunk, { type: 'origin' });
    return true;
  }

  /** Grants the slowest member an origin fetch of a chunk of its choice, if the objective allows it. */
  #grantExtraOriginFetch(): boolean {
    const { objective, strategy, random } = this.#init;
    // While a machine waits for a failing origin, it does not request that chunk from its peers.
    if (this.#originFailures > 0 && strategy === 'swarm') return false;
    const isWorthwhile =
      objective === 'fastest' && this.members.size <= this.#init.limits.extraFetchMemberLimit;
    if (strategy === 'swarm' && !isWorthwhile) return false;
    let best: MemberRow | undefined;
    let ties = 0;
    for (const member of this.members.values()) {
      if (strategy === 'tree' && member.joinIndex > 0) continue;
      if (member.have >= this.#init.chunkCount || member.grants >= this.#init.limits.grantsPerMember)
        continue;
      const rank = member.have + member.grants;
      const bestRank = best === undefined ? Number.POSITIVE_INFINITY : best.have + best.grants;
      if (rank > bestRank) continue;
      ties = rank < bestRank ? 1 : ties + 1;
      if (ties === 1 || random.below(ties) === 0) best = member;
    }
    if (best === undefined) return false;
    this.#grant(best, undefined, { type: 'origin' });
    return true;
  }

  #grant(member: MemberRow, chunk: number | undefined, source: ChunkSource): void {
    const grantId = this.#nextGrantId++;
    const deadline = this.#now + this.#init.limits.grantTimeout;
    this.#grants.set(grantId, { grantId, member: member.info.id, chunk, source, deadline });
    member.grants++;
    member.totalGrants++;
    if (source.type === 'origin') this.#openOriginFetches++;
    else this.#sourceRow(source, (row) => row.serving++);
    this.#commands.push({ type: 'grant', member: member.info.id, grant: { grantId, chunk, source } });
  }

  #endGrant(grant: GrantRow, succeeded: boolean, taken = grant.chunk): void {
    this.#grants.delete(grant.grantId);
    if (grant.source.type === 'origin') this.#openOriginFetches--;
    else this.#sourceRow(grant.source, (row) => row.serving--);
    const member = this.members.get(grant.member);
    if (member !== undefined) member.grants--;
    if (succeeded && member !== undefined && taken !== undefined) {
      if (member.known.add(taken)) member.have++;
      this.#markPresent(this.#regionOf(member.info.region), taken, member.info.id);
      return;
    }
    if (grant.chunk !== undefined) this.#requeueSeed(grant.chunk);
  }

  /** Requeues a chunk whose grant failed. */
  #requeueSeed(chunk: number): void {
    for (const region of this.#regions.values()) {
      if (region.seeds[chunk] !== SeedState.Granted || this.#hasOpenGrant(region, chunk)) continue;
      region.seeds[chunk] = SeedState.Missing;
      if (this.#isPresentAnywhere(chunk)) this.#pendingRegionSeeds.push({ region, chunk });
      else this.#unfetched.push(chunk);
    }
  }

  #hasOpenGrant(region: RegionRow, chunk: number): boolean {
    for (const grant of this.#grants.values()) {
      if (grant.chunk === chunk && region.members.has(grant.member)) return true;
    }
    return false;
  }

  /**
   * Grants a source for a chunk that is recorded as present in the member's region but that none of its neighbours has.
   * While a holder in the region is alive, only such holders are used as the source, even if all of them are at capacity.
   */
  #grantStarvingChunk(member: MemberRow, chunk: number): void {
    const region = this.#regionOf(member.info.region);
    if (region.seeds[chunk] !== SeedState.Present) return;
    if (member.grants >= this.#init.limits.grantsPerMember) return;
    const holders = this.#liveHolders(chunk).filter((holder) => holder !== member);
    const near = holders.filter((holder) => holder.info.region === region.region);
    const source = this.#bestSource(near.length > 0 ? near : holders);
    if (source !== undefined) return this.#grant(member, chunk, { type: 'peer', peer: source.info });
    if (holders.length > 0 || this.#hasOpenGrant(region, chunk)) return;
    this.#grant(member, chunk, { type: 'origin' });
  }

  /** The members known to have a chunk; if none is known, all members that are complete. */
  #liveHolders(chunk: number): MemberRow[] {
    const holders = this.#holders[chunk].flatMap((id) => this.members.get(id) ?? []);
    return holders.length > 0 ? holders : [...this.#completeMembers()];
  }

  *#completeMembers(): Generator<MemberRow> {
    for (const member of this.members.values()) {
      if (member.have === this.#init.chunkCount) yield member;
    }
  }

  /** The candidate that serves the fewest grants, among those with spare capacity. */
  #bestSource(candidates: readonly MemberRow[]): MemberRow | undefined {
    let best: MemberRow | undefined;
    for (const member of candidates) {
      if (member.serving >= this.#init.limits.servingPerMember) continue;
      if (best === undefined || member.serving < best.serving) best = member;
    }
    return best;
  }

  #isPresentAnywhere(chunk: number): boolean {
    for (const region of this.#regions.values()) {
      if (region.seeds[chunk] === SeedState.Present && region.members.size > 0) return true;
    }
    return false;
  }

  #leastGrantedRegion(): RegionRow | undefined {
    let best: RegionRow | undefined;
    let fewestGrants = Number.POSITIVE_INFINITY;
    for (const region of this.#regions.values()) {
      if (region.members.size === 0) continue;
      let grants = 0;
      for (const id of region.members) grants += this.members.get(id)!.totalGrants;
      const seeds = grants / region.members.size;
      if (seeds >= fewestGrants) continue;
      best = region;
      fewestGrants = seeds;
    }
    return best;
  }

  #leastGrantedMember(region: RegionRow): MemberRow | undefined {
    let best: MemberRow | undefined;
    for (const id of region.members) {
      const member = this.members.get(id)!;
      if (member.grants >= this.#init.limits.grantsPerMember) continue;
      if (best === undefined || member.totalGrants < best.totalGrants) best = member;
    }
    return best;
  }

  #sourceRow(source: ChunkSource, update: (row: MemberRow) => void): void {
    const row = source.type === 'peer' ? this.members.get(source.peer.id) : undefined;
    if (row !== undefined) update(row);
  }
}
