/**
 * The coordinator of a burst: it knows who takes part, rations the draws from the origin, and lets each chunk
 * cross into each region once. Two coordinators at the same time cost bytes, never correctness, so the duty
 * needs no lease: machines choose the entry by rendezvous hash among those they reach.
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
  /** Neighbours that a joining machine is told of. */
  neighbourDegree: number;
  /** Draws from the origin that are open at the same time, over all machines. */
  maxOriginFetches: number;
  /** Grants that one machine holds at the same time. */
  grantsPerMember: number;
  /** Grants that use one machine as their source at the same time. */
  servingPerMember: number;
  /**
   * With more machines than this, `fastest` draws each chunk once, too: four copies instead of one shorten the
   * bound by less than 1 in 100 there.
   */
  extraFetchMemberLimit: number;
  /** A grant that has not ended by then is given to another machine. */
  grantTimeout: number;
  /** After a failed draw the origin is tried again after this time, doubled with each further failure. */
  originBackoff: number;
  /** Longest time between two tries of an origin that fails. */
  originBackoffCeiling: number;
}

/** Defaults, measured with `thistleway bench burst`; see docs/design/distribution.md. */
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

/** What a coordinator is created from. */
export interface BurstCoordinatorInit {
  chunkCount: number;
  objective: Objective;
  strategy: DistributionStrategy;
  limits: CoordinatorLimits;
  random: Random;
}

/** One decision of a tick. */
export type CoordinatorCommand =
  | { type: 'neighbours'; member: PeerId; peers: PeerInfo[] }
  | { type: 'grant'; member: PeerId; grant: Grant };

/** The coordinator of one burst. */
export class BurstCoordinator {
  readonly members = new Map<PeerId, MemberRow>();
  readonly #regions = new Map<string, RegionRow>();
  readonly #grants = new Map<number, GrantRow>();
  /** Chunks that no machine is known to have, in the order in which they are drawn. */
  #unfetched: number[];
  /** Entries into regions that wait for a source or a machine with room. */
  #pendingRegionSeeds: Array<{ region: RegionRow; chunk: number }> = [];
  /** For each chunk, the members known to have it. */
  readonly #holders: PeerId[][];
  #openOriginFetches = 0;
  /** Draws that failed since the last one that succeeded. */
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

  /** A machine joins with the chunks that it has, at first or after its coordinator changed. */
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

  /** A machine is gone: its grants are given to others. */
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

  /** A machine tells how many chunks it has, and which ones nobody offers it. */
  onReport(id: PeerId, have: number, starving: readonly number[]): void {
    const member = this.members.get(id);
    if (member === undefined) return;
    member.have = have;
    if (this.#init.strategy !== 'swarm') return;
    for (const chunk of starving) this.#grantStarvingChunk(member, chunk);
  }

  /** A grant has ended. `chunk` tells which one was taken where the machine could choose. */
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

  /** True when a tick would do nothing: every member is complete and no decision waits to be sent. */
  get idle(): boolean {
    return this.complete && this.#commands.length === 0 && this.#grants.size === 0;
  }

  /** Grants what the limits allow; `now` is in milliseconds. */
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

  /** An origin that fails is tried with one draw at a time, less and less often. */
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

  /** Draws a chunk that no machine has. */
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

  /** Lets the machine that lags most draw a chunk of its choice, where the objective allows it. */
  #grantExtraOriginFetch(): boolean {
    const { objective, strategy, random } = this.#init;
    // A machine that waits for a failing origin does not ask its peers for that chunk.
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

  /** Returns a chunk whose grant failed to the queue that it came from. */
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
   * Helps a machine whose neighbours all lack a chunk that has entered its region, or seemed to. A holder in
   * the region is the only source as long as one lives; it is not bypassed when it has no room.
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

  /** The members known to have a chunk. */
  #liveHolders(chunk: number): MemberRow[] {
    const holders = this.#holders[chunk].flatMap((id) => this.members.get(id) ?? []);
    return holders.length > 0 ? holders : [...this.#completeMembers()];
  }

  *#completeMembers(): Generator<MemberRow> {
    for (const member of this.members.values()) {
      if (member.have === this.#init.chunkCount) yield member;
    }
  }

  /** The candidate that serves the fewest grants, among those with room. */
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
