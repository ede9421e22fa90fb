/**
 * The back ends that requests may go to: what the list says, what their agents say, what is in flight there from here
 * and from other entries, and how they did. Rows go with their records, and are of one start of their back end each: one
 * that starts again has a new row, and what is told of the former start is passed over.
 */
import type { BackEndChange } from '../fleet/back-end-list.js';
import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';
import type { BackEndRecord, HeldLayers } from '../protocol/back-end-list-state.js';
import type { BackEndLoad } from '../protocol/reports.js';
import { CapacityForecast } from '../systems/capacity-forecast.js';
import { BackEndConnections } from './back-end-connections.js';
import { BackEndHealth } from './back-end-health.js';
import { HoldRecord } from './hold-record.js';
import { SlotAgent } from './slot-agent.js';

/** Weight of the newest time to a first answer, and of the newest duration. */
const TIME_WEIGHT = 0.1;
/** What an agent says of the load holds for this long, in milliseconds. */
const LOAD_LIFE = 600;
/** What an agent has read of its engine's version goes before the list for this long, in milliseconds. */
const VERSION_LIFE = 2_500;

/**
 * Kept connections to two back ends that are found silent within this, in milliseconds, make those to all others suspect:
 * above the longest time in which a silent connection that is in use is noticed.
 */
const SPREAD_TIME = 1_500;

/** What an agent says of the engine beside it. */
export interface EngineNews {
  /** The start of the engine that this is about; undefined where it does not tell it. */
  start?: BackEndIdentity['start'];
  /** Version whose layers are all there; 0 for none, or where that is not known. */
  version: number;
  /** The agent reads the engine's state: what it tells is newer than the list. */
  isReached: boolean;
  /** The engine is about to take another version, and takes nothing new. */
  isSwitching: boolean;
  /** `host:port` at which the agent is asked for slots of the engine; empty where it gives out none. */
  slotAddress: string;
  /** Requests of all callers that ran or waited there, and when that was told. */
  load: number;
  toldAt: number;
  /** When it is to be ordered to, in milliseconds of the steady clock; infinite where that is not due. */
  switchAt: number;
}

/** One start of a back end. */
export interface BackEndRow {
  record: BackEndRecord;
  connections: BackEndConnections;
  health: BackEndHealth;
  /** Requests sent from here that have not ended. */
  inFlight: number;
  /** Their prompt tokens. */
  unreadTokens: number;
  /** Requests in flight from all other entries, as they told last. */
  inFlightElsewhere: number;
  /** When a first answer came last, in milliseconds of the steady clock. */
  answeredAt: number;
  /** Usual time to the first part of an answer, and of a whole request, in milliseconds; 0 before the first. */
  firstAnswerTime: number;
  duration: number;
  /** Usual time of a request for each token that its answer may have, in milliseconds; 0 before the first. */
  timePerToken: number;
  /** When anything came from it last. */
  progressAt: number;
  /** When the newest request that it has answered was sent, by the urgency of the request. */
  answeredSends: Map<number, number>;
  news: EngineNews | undefined;
  /** Who gives out its slots; undefined where nobody is known to. */
  agent: SlotAgent | undefined;
}

/** The table. */
export class BackEndTable {
  readonly rows = new Map<string, BackEndRow>();
  readonly #rowsByService = new Map<string, Set<BackEndRow>>();
  /** The rows of each address: a back end that starts again there has another row until its former one lapses. */
  readonly #rowsByAddress = new Map<string, Set<BackEndRow>>();
  readonly #holds = new Map<string, HoldRecord>();
  readonly #forecasts = new Map<string, CapacityForecast>();
  /** What each other entry has in flight, as it told last. */
  readonly #loadsOf = new Map<string, ReadonlyArray<readonly [row: BackEndRow, inFlight: number]>>();
  /** Most connections that are kept to a back end of a service. */
  mostConnectionsKept: (service: string) => number = () => Number.POSITIVE_INFINITY;
  /** Kept connections found silent so far. */
  silentConnections = 0;
  /** The back end whose kept connection was found silent last, and when. */
  #silentConnection: { id: string; at: number } | undefined;

  /** Follows changes of the list. */
  apply(changes: readonly BackEndChange[]): void {
    for (const change of changes) {
      if (change.type === 'gone') this.#remove(change.id);
      else this.#set(change.record);
    }
  }

  /** The rows of a service. */
  ofService(service: string): Iterable<BackEndRow> {
    return this.#rowsByService.get(service) ?? [];
  }

  /**
   * True where another back end has started at the address of `row` since: the row is of one that is gone, although its
   * record lapses only after three missing heartbeats. After a loss of power nine entries sent 290 requests to such rows in
   * the first second, which used up the budget of repetitions (counted in the logs of 15 engines).
   * @param isNamed - whether the configuration names a service: a record of any other takes nobody's place
   */
  isSuperseded({ record }: BackEndRow, isNamed: (service: string) => boolean): boolean {
    const rows = this.#rowsByAddress.get(record.address);
    if (rows === undefined || rows.size < 2) return false;
    return [...rows].some(
      (other) => other.record.revision > record.revision && isNamed(other.record.service),
    );
  }

  /** True where this start of a back end has ended without notice: it is listed no more, or another one listens at its address. */
  hasEnded(row: BackEndRow): boolean {
    const { id, address, revision, leaving } = row.record;
    if (leaving) return false;
    if (this.rows.get(id) !== row) return true;
    return [...(this.#rowsByAddress.get(address) ?? [])].some((other) => other.record.revision > revision);
  }

  /** The waits for back ends of a service. */
  holdsOf(service: string): HoldRecord {
    const known = this.#holds.get(service) ?? new HoldRecord();
    this.#holds.set(service, known);
    return known;
  }

  /**
   * The row that news of the back end at `address` with this start are about: the one of that start, or else the one whose
   * record is the newest, which has started again; undefined where none is listed there.
   */
  rowAt(address: string, start: BackEndIdentity['start']): BackEndRow | undefined {
    const rows = [...(this.#rowsByAddress.get(address) ?? [])];
    const own = rows.find(({ record }) => record.start === start);
    return own ?? rows.sort((one, other) => other.record.revision - one.record.revision)[0];
  }

  /** An agent tells of the engine at `address`. */
  takeNews(address: string, news: EngineNews): void {
    for (const row of this.#rowsByAddress.get(address) ?? []) {
      if (!isSameStart(row.record.start, news.start)) continue;
      if (row.news?.version !== news.version) row.health.noteNews();
      row.news = news;
      if (news.slotAddress !== (row.agent?.address ?? ''))
        row.agent = news.slotAddress === '' ? undefined : new SlotAgent(news.slotAddress);
    }
  }

  /** Another entry tells what it has in flight. */
  takeLoads(entry: string, loads: readonly BackEndLoad[]): void {
    for (const [row, inFlight] of this.#loadsOf.get(entry) ?? []) row.inFlightElsewhere -= inFlight;
    const taken = loads.flatMap(({ id, start, inFlight }): Array<[BackEndRow, number]> => {
      const row = this.rows.get(id);
      return row === undefined || !isSameStart(row.record.start, start) ? [] : [[row, inFlight]];
    });
    for (const [row, inFlight] of taken) row.inFlightElsewhere += inFlight;
    if (taken.length > 0) this.#loadsOf.set(entry, taken);
    else this.#loadsOf.delete(entry);
  }

  /** What is in flight from here. */
  loads(): BackEndLoad[] {
    const busy = [...this.rows.values()].filter(({ inFlight }) => inFlight > 0);
    return busy.map(({ record: { id, start }, inFlight }) => ({ id, start, inFlight }));
  }

  /**
   * A kept connection to `row` has been silent since `since`: idle ones that were last heard before may be so too. Where
   * another back end's has gone silent as well, that is true of all back ends.
   */
  noteSilentConnection(row: BackEndRow, since: number): void {
    const now = performance.now();
    const { id } = row.record;
    this.silentConnections++;
    // The connections to a former start are silent because it has ended.
    const present = this.rows.get(id);
    if (present !== undefined && present !== row) return;
    const last = this.#silentConnection;
    const isSpread = last !== undefined && last.id !== id && now - last.at < SPREAD_TIME;
    const suspect = isSpread ? this.rows.values() : [row];
    for (const { connections } of suspect) connections.closeIdleSince(since);
    this.#silentConnection = { id, at: now };
  }

  /** What is expected of a service while no back end of it serves. */
  forecastOf(service: string): CapacityForecast {
    const known = this.#forecasts.get(service) ?? new CapacityForecast();
    this.#forecasts.set(service, known);
    return known;
  }

  /** Share of failures that is usual among the back ends of a service. */
  usualFailureShare(service: string): number {
    const shares = [...this.ofService(service)]
      .map(({ health }) => health.failureShare)
      .sort((a, b) => a - b);
    return shares.length === 0 ? 0 : shares[Math.floor((shares.length - 1) / 2)];
  }

  async stop(): Promise<void> {
    await Promise.all([...this.rows.values()].map(({ connections }) => connections.destroy()));
  }

  #set(record: BackEndRecord): void {
    const known = this.rows.get(record.id);
    if (known !== undefined && isSameBackEnd(known.record, record)) {
      known.record = record;
      return;
    }
    if (known !== undefined) this.#endFormer(known);
    const row = createRow(record, () => this.mostConnectionsKept(record.service));
    this.rows.set(record.id, row);
    addTo(this.#rowsByService, record.service, row);
    addTo(this.#rowsByAddress, record.address, row);
  }

  /** Forgets all of a back end that another has followed under its id; its requests in flight end by themselves, in no books that count. */
  #endFormer({ record }: BackEndRow): void {
    this.#remove(record.id);
    if (this.#silentConnection?.id === record.id) this.#silentConnection = undefined;
  }

  #remove(id: string): void {
    const row = this.rows.get(id);
    if (row === undefined) return;
    this.rows.delete(id);
    removeFrom(this.#rowsByService, row.record.service, row);
    removeFrom(this.#rowsByAddress, row.record.address, row);
    void row.connections.close().catch(() => {});
  }
}

/**
 * Whether what is remembered of one holds for the other: of another start nothing is left, connections lead to the former
 * address, and requests of the former service may not run at the next.
 */
function isSameBackEnd(one: BackEndRecord, other: BackEndRecord): boolean {
  const isAtSamePlace = one.service === other.service && one.address === other.address;
  return isAtSamePlace && isSameStart(one.start, other.start);
}

function addTo(index: Map<string, Set<BackEndRow>>, key: string, row: BackEndRow): void {
  index.set(key, (index.get(key) ?? new Set<BackEndRow>()).add(row));
}

function removeFrom(index: Map<string, Set<BackEndRow>>, key: string, row: BackEndRow): void {
  const rows = index.get(key);
  rows?.delete(row);
  if (rows?.size === 0) index.delete(key);
}

function createRow(record: BackEndRecord, mostConnectionsKept: () => number): BackEndRow {
  return {
    record,
    connections: new BackEndConnections(record.address, mostConnectionsKept),
    health: new BackEndHealth(),
    inFlight: 0,
    unreadTokens: 0,
    inFlightElsewhere: 0,
    answeredAt: 0,
    firstAnswerTime: 0,
    duration: 0,
    timePerToken: 0,
    progressAt: performance.now(),
    answeredSends: new Map(),
    news: undefined,
    agent: undefined,
  };
}

/**
 * The version of which `row` holds every layer, or 0: what its agent has read there lately; else the newer of what the
 * list and the agent say. The list goes on telling of an engine that lost everything until its record lapses.
 */
export function wholeVersion(
  { record, news }: BackEndRow,
  layerCount: number,
  now = performance.now(),
): number {
  if (news?.isReached === true && now - news.toldAt < VERSION_LIFE) return news.version;
  const listed = isWhole(record.layers, layerCount) ? record.layers!.version : 0;
  return Math.max(listed, news?.version ?? 0);
}

/** Whoever tells of more layers than the model has holds something else; a count of 0 is none that is known. */
function isWhole(layers: HeldLayers | undefined, layerCount: number): boolean {
  if (layers === undefined || layers.from !== 0) return false;
  return layerCount === 0 || layers.end === layerCount;
}

/** Requests of all entries at `row`, as far as known: the more of what entries and its agent say. */
export function loadOf({ inFlight, inFlightElsewhere, news }: BackEndRow, now = performance.now()): number {
  const load = inFlight + inFlightElsewhere;
  return news !== undefined && isFresh(news, now) ? Math.max(load, news.load) : load;
}

/** Whether the agent beside `row` has lately told of the load there. */
export function isLoadTold({ news }: BackEndRow, now = performance.now()): boolean {
  return news !== undefined && isFresh(news, now);
}

function isFresh({ toldAt }: EngineNews, now: number): boolean {
  return now - toldAt < LOAD_LIFE;
}

/** A request of `urgency` that was sent at `sentAt` has been answered. */
export function noteOvertaking({ answeredSends }: BackEndRow, urgency: number, sentAt: number): void {
  answeredSends.set(urgency, Math.max(sentAt, answeredSends.get(urgency) ?? sentAt));
}

/** True where a request that is no more urgent than `urgency` and was sent after `sentAt` has been answered. */
export function isOvertaken({ answeredSends }: BackEndRow, urgency: number, sentAt: number): boolean {
  for (const [other, otherSentAt] of answeredSends) if (other >= urgency && otherSentAt > sentAt) return true;
  return false;
}

/** Notes the time to a first answer. */
export function noteFirstAnswer(row: BackEndRow, milliseconds: number, now: number): void {
  row.firstAnswerTime = blend(row.firstAnswerTime, milliseconds);
  row.answeredAt = now;
}

/** A moving mean: `sample` weighs in with a tenth. */
export function blend(mean: number, sample: number): number {
  return mean === 0 ? sample : mean + TIME_WEIGHT * (sample - mean);
}
