/**
 * Replays a load of named versions in virtual time with the collectors of entries and the loaders of agents as they are, and
 * small fakes of what surrounds them: links that carry one transfer after another, an origin, an object store and engines.
 * The test file that uses it replaces `callHttp` by {@link VersionReplay.call}. Times are in milliseconds.
 */
import { MemoryStore } from '../../emulator/store/memory-store.js';
import type { callHttp } from '../../src/clients/http.js';
import { storeRevision } from '../../src/clients/store-revision.js';
import { FleetView } from '../../src/fleet/fleet-view.js';
import { NamedVersions } from '../../src/fleet/named-versions.js';
import { StoreClock } from '../../src/fleet/store-clock.js';
import { sleep } from '../../src/fleet/table-follower.js';
import { digestOf } from '../../src/model/manifest.js';
import { seededRandom } from '../../src/model/random.js';
import { failure, success } from '../../src/model/result.js';
import { silentLog } from '../../src/observability/log.js';
import type { EngineAgentRow } from '../../src/peers/engine-agents.js';
import type { BackEndRecord } from '../../src/protocol/back-end-list-state.js';
import type { EngineReport, EntryReport, HeldPieces, WeightsPlan } from '../../src/protocol/reports.js';
import { EngineLoader } from '../../src/weights/engine-loader.js';
import { type PieceManifest, WeightsLibrary, type WeightsVersion } from '../../src/weights/held-weights.js';
import type { PieceOrigin } from '../../src/weights/piece-source.js';
import type { EngineState, StagedEngine, StartOrder } from '../../src/weights/staged-engine.js';
import { VersionCollector } from '../../src/weights/version-collector.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from '../forwarding/engine-configuration.js';
import type { VirtualTime } from './virtual-time.js';

/** What happens, and when. */
export interface ReplayInit {
  seed: number;
  zones: number;
  entriesPerZone: number;
  agentsPerZone: number;
  pieces: number;
  /** Bytes of a piece on the links. The pieces in memory are smaller. */
  pieceBytes: number;
  /** Megabits that the origin, an entry, an agent and the link between two zones carry in a second. */
  rates: { origin: number; entry: number; agent: number; zones: number };
  bound: number;
  /** When versions 2, 3 and so on are named. */
  namedAt: readonly number[];
  /** Time in which the requests that run at an engine end once it takes no more. */
  drainTime: number;
  ends: number;
  originAway?: { from: number; until: number };
  /** Share of the pieces that the origin sends spoilt. */
  spoilt?: number;
  /** When the entry that has most of version 2 vanishes without a word. */
  killedAt?: number;
  /** Entries that are restarted in turn, each with nothing in memory. */
  restarts?: { from: number; interval: number; count: number };
  /** Every `every`-th staged piece of the share of the engines turns bad at `at`. */
  rot?: { at: number; share: number; every: number };
}

/** What came of it. */
export interface ReplayOutcome {
  /** When the first and the last agent had all pieces of each version, from version 2 on; infinite if none did. */
  wholeAt: Array<{ first: number; last: number }>;
  /** When the first engine held each version and was not switching. */
  firstAt: number[];
  /** The same for half of the engines. */
  halfAt: number[];
  /** Number of engines on which a request could start, at every {@link SAMPLE}. */
  serving: number[];
  /** Copies that the origin sent, over all versions. */
  originCopies: number;
  /** Copies that crossed between zones. */
  crossingCopies: number;
  /** Calls to the object store. */
  storeCalls: number;
}

/** Interval of the samples of the engines. */
export const SAMPLE = 50;
/** Time that a message takes. */
const DELAY = 3;
/** Time after which reports of entries and plans of agents reach the others. */
const ANNOUNCE_DELAY = 100;
/** Time after which a silent entry is no longer reported. */
const REPORT_LIFETIME = 1_400;
/** Time in which an engine takes weights from its stage. */
export const LOAD_TIME = 300;
/** Entries send an engine no requests this long before its version expires. */
export const EXPIRY_LEAD = 750;
/** Time that an entry is away when it is restarted. */
const RESTART_TIME = 500;
const BYTES_IN_MEMORY = 24;
const BITS = 8;
const MODEL = 'm';

/** Carries one transfer after another. */
class Link {
  readonly #bytesPerMillisecond: number;
  #freeAt = 0;

  constructor(megabits: number) {
    this.#bytesPerMillisecond = (megabits * 1_000) / BITS;
  }

  /** When a transfer that begins now will have passed. */
  reserve(bytes: number): number {
    this.#freeAt = Math.max(performance.now(), this.#freeAt) + bytes / this.#bytesPerMillisecond;
    return this.#freeAt;
  }
}

interface Process {
  id: string;
  zone: string;
  link: Link;
  library: WeightsLibrary;
  isAlive: boolean;
}

interface Entry extends Process {
  collector: VersionCollector;
  fleet: FleetView;
  /** What the others know of it. */
  reported: { held: HeldPieces[]; at: number };
}

interface Agent extends Process {
  loader: EngineLoader;
  engine: ReplayEngine;
  report: EngineReport | undefined;
}

class ReplayEngine implements StagedEngine {
  readonly stagedPieces = new Map<number, Buffer>();
  readonly #drainTime: number;
  readonly #expiryOf: (version: number) => number;
  /** Since when entries have sent it no requests because of a switch; undefined if they do. */
  avoidedSince: number | undefined;
  #version = 1;
  #next = 1;
  #busyUntil = 0;
  #sequence = 0;

  constructor(drainTime: number, expiryOf: (version: number) => number) {
    this.#drainTime = drainTime;
    this.#expiryOf = expiryOf;
  }

  get isBusy(): boolean {
    return performance.now() < this.#busyUntil;
  }

  /** The version on which it would start a request; 0 if none. */
  get version(): number {
    if (!this.isBusy) this.#version = this.#next;
    return this.isBusy ? 0 : this.#version;
  }

  /** When the latest request can have started. */
  get #lastStartAt(): number {
    const lastSentAt = this.avoidedSince ?? performance.now();
    return Math.min(lastSentAt, this.#expiryOf(this.#version) - EXPIRY_LEAD);
  }

  async state() {
    const layers = { from: 0, end: ENGINE_LAYERS, version: this.version || this.#version };
    const state: EngineState = {
      model: MODEL,
      layers,
      isBusy: this.isBusy,
      load: performance.now() < this.#lastStartAt + this.#drainTime ? 1 : 0,
      sequence: this.#sequence,
    };
    return success(state);
  }

  async stage(_model: string, index: number, bytes: Buffer) {
    this.stagedPieces.set(index, bytes);
    return success(undefined);
  }

  async staged(_model: string, index: number) {
    return success(this.stagedPieces.get(index));
  }

  async start({ version }: StartOrder) {
    for (const [index, bytes] of this.stagedPieces)
      if (!bytes.equals(pieceOf(version, index))) throw new Error('ordered to load corrupt pieces');
    const now = performance.now();
    this.#busyUntil = Math.max(now, this.#lastStartAt + this.#drainTime) + LOAD_TIME;
    this.#sequence++;
    this.#next = version;
    return success({ type: 'taken' } as const);
  }
}

function pieceOf(version: number, index: number): Buffer {
  return Buffer.from(`piece ${index} of ${version}`.padEnd(BYTES_IN_MEMORY));
}

/** One replay. */
export class VersionReplay {
  readonly #init: ReplayInit;
  readonly #random;
  readonly #named: NamedVersions;
  readonly #entries: Entry[] = [];
  readonly #agents: Agent[] = [];
  readonly #crossings = new Map<string, Link>();
  readonly #originLink: Link;
  readonly #objects = new MemoryStore();
  readonly #originClosed: Array<() => void> = [];
  #originPieces = 0;
  #crossedPieces = 0;

  constructor(init: ReplayInit) {
    this.#init = init;
    this.#random = seededRandom(init.seed);
    this.#originLink = new Link(init.rates.origin);
    const clock = new StoreClock();
    clock.addSample(0, 0);
    this.#named = new NamedVersions(clock);
    init.namedAt.forEach((notBefore, index) => {
      this.#named.add({ model: MODEL, version: index + 2, notBefore });
    });
    const zones = Array.from({ length: init.zones }, (_, index) => `zone-${index}`);
    for (const zone of zones) {
      for (let index = 0; index < init.entriesPerZone; index++)
        this.#addEntry(`${zone}-entry-${index}`, zone);
      for (let index = 0; index < init.agentsPerZone; index++) this.#addAgent(`${zone}-agent-${index}`, zone);
    }
  }

  /** Plays it in virtual time that has just begun. */
  async run(time: VirtualTime): Promise<ReplayOutcome> {
    const { namedAt, ends, originAway, killedAt, restarts, rot, bound } = this.#init;
    for (const { collector } of this.#entries) await collector.start();
    this.#announce();
    for (const { loader } of this.#agents) await loader.start();
    namedAt.forEach((at, index) => {
      setTimeout(() => this.#name(index + 2), at);
    });
    if (killedAt !== undefined) setTimeout(() => this.#killDrawer(), killedAt);
    for (let index = 0; index < (restarts?.count ?? 0); index++)
      setTimeout(() => this.#restart(index), restarts!.from + index * restarts!.interval);
    if (originAway !== undefined)
      setTimeout(() => {
        for (const close of this.#originClosed.splice(0)) close();
      }, originAway.from);
    if (rot !== undefined) setTimeout(() => this.#rot(rot.share, rot.every), rot.at);
    const announcing = setInterval(() => this.#announce(), ANNOUNCE_DELAY);
    const serving: number[] = [];
    const never = Number.POSITIVE_INFINITY;
    const wholeAt = namedAt.map(() => ({ first: never, last: never }));
    const firstAt = namedAt.map(() => never);
    const halfAt = namedAt.map(() => never);
    const sample = () => {
      const now = performance.now();
      const versions = this.#agents.map(({ engine, report }) =>
        report?.isSwitching === true ? 0 : engine.version,
      );
      const lowest = Math.max(1, this.#named.lowestAllowed(MODEL, now + EXPIRY_LEAD, bound));
      serving.push(versions.filter((version) => version >= lowest).length);
      namedAt.forEach((_, index) => {
        const version = index + 2;
        const whole = this.#agents.filter(({ library }) => library.of({ model: MODEL, version })?.complete);
        if (whole.length > 0) wholeAt[index].first = Math.min(wholeAt[index].first, now);
        if (whole.length === this.#agents.length) wholeAt[index].last = Math.min(wholeAt[index].last, now);
        const holding = versions.filter((held) => held >= version).length;
        if (holding > 0) firstAt[index] = Math.min(firstAt[index], now);
        if (holding >= versions.length / 2) halfAt[index] = Math.min(halfAt[index], now);
      });
    };
    const sampling = setInterval(sample, SAMPLE);
    await time.runUntil(ends);
    clearInterval(sampling);
    clearInterval(announcing);
    for (const { collector } of this.#entries) await collector.stop();
    for (const { loader } of this.#agents) await loader.stop();
    const { pieces } = this.#init;
    const storeCalls = Object.values(this.#objects.calls).reduce((sum, count) => sum + count, 0);
    return {
      wholeAt,
      firstAt,
      halfAt,
      serving,
      originCopies: this.#originPieces / pieces,
      crossingCopies: this.#crossedPieces / pieces,
      storeCalls,
    };
  }

  /** Stands in for `callHttp`: hosts are named `callee.caller`. */
  readonly call: typeof callHttp = async ({ url, signal, service }) => {
    const { hostname, pathname } = new URL(url);
    const [to, from] = hostname.split('.').map((id) => this.#process(id));
    const answer = (status: number, body: Buffer) => success({ status, body, headers: {} });
    await sleep(DELAY, signal);
    if (to === undefined || from === undefined || !to.isAlive)
      return failure({ type: 'outcomeUnknown', service, reason: 'refused' });
    const [, , model, version, kind, indexes = ''] = pathname.split('/');
    const held = to.library.of({ model, version: Number(version) });
    if (held === undefined) return answer(404, Buffer.of());
    if (kind === 'manifest') return answer(200, Buffer.from(JSON.stringify(held.manifest)));
    const pieces = indexes.split('-').map((index) => held.piece(Number(index)));
    if (pieces.includes(undefined)) return answer(404, Buffer.of());
    await this.#transfer(to, from, pieces.length, signal);
    if (signal.aborted || !to.isAlive)
      return failure({ type: 'outcomeUnknown', service, reason: signal.aborted ? 'timeout' : 'reset' });
    return answer(200, Buffer.concat(pieces as Buffer[]));
  };

  async #transfer(from: Process, to: Process, pieces: number, signal: AbortSignal): Promise<void> {
    const bytes = pieces * this.#init.pieceBytes;
    const links = [from.link, to.link];
    if (from.zone !== to.zone) {
      links.push(this.#crossing(`${from.zone} ${to.zone}`));
      this.#crossedPieces += pieces;
    }
    const at = Math.max(...links.map((link) => link.reserve(bytes)));
    await sleep(at - performance.now() + DELAY, signal);
  }

  #crossing(name: string): Link {
    const known = this.#crossings.get(name);
    if (known !== undefined) return known;
    const link = new Link(this.#init.rates.zones);
    this.#crossings.set(name, link);
    return link;
  }

  #process(id: string): Process | undefined {
    return this.#entries.find((one) => one.id === id) ?? this.#agents.find((one) => one.id === id);
  }

  #manifestOf({ model, version }: WeightsVersion): PieceManifest {
    const digests = Array.from({ length: this.#init.pieces }, (_, index) =>
      digestOf(pieceOf(version, index)),
    );
    return { model, version, pieceBytes: BYTES_IN_MEMORY, digests };
  }

  readonly #origin: PieceOrigin = {
    manifest: async (version, signal) => {
      await sleep(DELAY, signal);
      return this.#isOriginAway ? refused() : success(this.#manifestOf(version));
    },
    piece: async ({ version }, index, signal) => {
      await sleep(DELAY, signal);
      if (this.#isOriginAway) return refused();
      const closed = new AbortController();
      this.#originClosed.push(() => closed.abort());
      const arrivesAt = this.#originLink.reserve(this.#init.pieceBytes);
      await sleep(arrivesAt - performance.now(), AbortSignal.any([signal, closed.signal]));
      if (signal.aborted || closed.signal.aborted) return refused();
      this.#originPieces++;
      const isSpoilt = this.#random.fraction() < (this.#init.spoilt ?? 0);
      return success(isSpoilt ? Buffer.alloc(BYTES_IN_MEMORY) : pieceOf(version, index));
    },
  };

  get #isOriginAway(): boolean {
    const { originAway } = this.#init;
    const now = performance.now();
    return originAway !== undefined && now >= originAway.from && now < originAway.until;
  }

  #addEntry(id: string, zone: string): Entry {
    const fleet = new FleetView();
    const library = new WeightsLibrary();
    const collector = new VersionCollector({
      self: { id, zone, linkRate: this.#init.rates.entry },
      fleet,
      library,
      objects: this.#objects,
      originAt: () => this.#origin,
      peers: () => this.#reportsFor(id).filter((report) => report.id !== id),
      agents: () => this.#agentRowsOf(id, zone),
      servedVersions: () => [],
      versionBound: this.#init.bound,
      onHeldChanged: () => {},
      random: this.#random,
      log: silentLog,
    });
    const link = new Link(this.#init.rates.entry);
    const entry = { id, zone, link, library, isAlive: true, collector, fleet, reported: { held: [], at: 0 } };
    this.#entries.push(entry);
    fleet.applyConfiguration({
      document: Buffer.of(),
      configuration: { ...ENGINE_CONFIGURATION, origin: { service: 'weights', address: 'origin' } },
    });
    fleet.clock.addSample(performance.now(), performance.now());
    fleet.applyBackEndList({ revision: 1, records: this.#backEndsOf(zone) }, 'peer');
    return entry;
  }

  #backEndsOf(zone: string): BackEndRecord[] {
    return Array.from({ length: this.#init.agentsPerZone }, (_, index) => ({
      id: `${zone}-engine-${index}`,
      start: undefined,
      service: 'engines',
      address: `${zone}-agent-${index}`,
      zone,
      slots: 12,
      leaving: false,
      layers: { from: 0, end: ENGINE_LAYERS, version: 1 },
      revision: storeRevision(0, 1)!,
    }));
  }

  #addAgent(id: string, zone: string): void {
    const library = new WeightsLibrary();
    const engine = new ReplayEngine(this.#init.drainTime, (version) =>
      this.#named.expiryOf(MODEL, version, this.#init.bound),
    );
    for (let index = 0; index < this.#init.pieces; index++) engine.stagedPieces.set(index, pieceOf(1, index));
    const agent: Agent = {
      id,
      zone,
      link: new Link(this.#init.rates.agent),
      library,
      isAlive: true,
      engine,
      report: undefined,
      loader: new EngineLoader({
        engine,
        engineAddress: id,
        zone,
        address: id,
        slotAddress: id,
        onEngineState: () => {},
        library,
        objects: this.#objects,
        originAt: () => this.#origin,
        sendReport: (report) => {
          agent.report = report;
          engine.avoidedSince = report.isSwitching ? (engine.avoidedSince ?? performance.now()) : undefined;
        },
        random: this.#random,
        log: silentLog,
      }),
    };
    this.#agents.push(agent);
  }

  /** What every live entry reports, with addresses as `reader` calls them. */
  #reportsFor(reader: string): EntryReport[] {
    const now = performance.now();
    return this.#entries
      .filter(({ isAlive, reported }) => isAlive || now - reported.at < REPORT_LIFETIME)
      .map(({ id, zone, reported }) => {
        const address = `${id}.${reader}:80`;
        const linkRate = this.#init.rates.entry;
        return { id, zone, address, linkRate, held: reported.held } as unknown as EntryReport;
      });
  }

  #agentRowsOf(entry: string, zone: string): EngineAgentRow[] {
    return this.#agents
      .filter((agent) => agent.zone === zone)
      .map(
        ({ id, report }) =>
          ({ address: `${id}.${entry}:80`, report, reportedAt: 0 }) as unknown as EngineAgentRow,
      );
  }

  /** Entries and agents learn what the others hold. */
  #announce(): void {
    const now = performance.now();
    for (const entry of this.#entries)
      if (entry.isAlive) entry.reported = { held: entry.collector.held(), at: now };
    for (const agent of this.#agents) agent.loader.applyPlan(this.#planFor(agent));
  }

  #planFor({ id, zone }: Agent): WeightsPlan {
    const reports = this.#reportsFor(id);
    const alive = this.#entries.find((entry) => entry.isAlive && entry.zone === zone)!;
    const near = reports.filter((entry) => entry.zone === zone && entry.held.length > 0).slice(0, 3);
    const far = reports.filter((entry) => entry.zone !== zone && entry.held.length > 0).slice(0, 2);
    const holders = [...near, ...far].map(({ address, held, zone: of }) => ({
      address,
      isNear: of === zone,
      held,
    }));
    const { versions } = alive.fleet;
    const wanted = alive.collector.wantedVersions();
    return {
      versions: versions.all().filter(({ version }) => wanted.some((one) => one.version === version)),
      storeTime: performance.now(),
      bound: this.#init.bound,
      origin: 'origin',
      layers: ENGINE_LAYERS,
      position: this.#agents.filter((agent) => agent.zone === zone).findIndex((agent) => agent.id === id),
      engines: this.#init.agentsPerZone,
      canMoveRequests: false,
      holders,
      entries: reports.map(({ address }) => address),
      hasNearEntry: true,
    };
  }

  #name(version: number): void {
    const notBefore = performance.now();
    for (const { fleet, isAlive } of this.#entries)
      if (isAlive) fleet.applyNamedVersion({ model: MODEL, version, notBefore });
  }

  #killDrawer(): void {
    const sizeOf = ({ library }: Entry) => library.of({ model: MODEL, version: 2 })?.have.size ?? 0;
    const [drawer] = this.#entries.filter(({ isAlive }) => isAlive).sort((a, b) => sizeOf(b) - sizeOf(a));
    this.#end(drawer);
  }

  #end(entry: Entry): void {
    entry.isAlive = false;
    void entry.collector.stop();
  }

  /** Restarts the entry at `index`, zone by zone in turn. */
  #restart(index: number): void {
    const { zones, entriesPerZone } = this.#init;
    const entry = this.#entries[(index % zones) * entriesPerZone + Math.floor(index / zones)];
    this.#end(entry);
    // A process that is told to stop tells the others.
    entry.reported = { held: [], at: Number.NEGATIVE_INFINITY };
    setTimeout(() => {
      const next = this.#addEntry(`${entry.id}-again`, entry.zone);
      for (const named of entry.fleet.versions.all()) next.fleet.applyNamedVersion(named);
      void next.collector.start();
    }, RESTART_TIME);
  }

  #rot(share: number, every: number): void {
    const count = Math.round(share * this.#agents.length);
    for (const { engine } of this.#agents.slice(0, count))
      for (const index of engine.stagedPieces.keys())
        if (index % every === 0) engine.stagedPieces.set(index, Buffer.alloc(BYTES_IN_MEMORY));
  }
}

function refused() {
  return failure({ type: 'sourceFailed' as const, reason: 'refused' });
}
