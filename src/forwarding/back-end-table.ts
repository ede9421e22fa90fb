/**
 * The known back ends: their records in the list, the reports of their agents, the requests in flight from this and
 * other entries, and the outcomes of requests. A row exists as long as its record and describes one start of a back
 * end. A back end that restarts gets a new row, and reports on its previous start are ignored. If a record is lost and comes back
 * with the same start, its new row has the health and the unfinished switches of the previous one.
 */
import type { BackEndChange } from '../fleet/back-end-list.js';
import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';
import type { BackEndRecord, HeldLayers } from '../protocol/back-end-list-state.js';
import type { BackEndLoad, UnfinishedSwitch } from '../protocol/reports.js';
import { CapacityForecast } from '../systems/capacity-forecast.js';
import { EngineSwitches, type SwitchReport } from '../systems/engine-switches.js';
import { HoldRecord } from '../systems/hold-record.js';
import { WaitPolicy } from '../systems/wait-policy.js';
import type { ConnectionLoss } from './back-end-connection.js';
import { BackEndConnections } from './back-end-connections.js';
import { BackEndHealth } from './back-end-health.js';
import { SlotAgent } from './slot-agent.js';
import { UnlistedEngines } from './unlisted-engines.js';

/** Weight of the latest sample in moving averages of times. */
const SAMPLE_WEIGHT = 0.1;
/** Time for which a reported load is valid, in milliseconds. */
const LOAD_VALIDITY = 600;
/** Time for which a version that an agent has read from its engine takes precedence over the list, in milliseconds. */
const VERSION_VALIDITY = 2_500;

/**
 * If kept connections to two back ends are found silent within this time, in milliseconds, those to all other back ends are
 * suspected as well. It exceeds the longest time until a silent connection that is in use is detected.
 */
const SILENCE_CORRELATION_TIME = 1_500;

/** Number of removed back ends of which the health is kept, the latest ones. */
const MAX_REMOVED = 1_000;

/** The state of an engine as reported by its agent. */
export interface EngineNews extends SwitchReport {
  /** The start of the engine that the report describes; undefined if the agent does not state it. */
  start?: BackEndIdentity['start'];
  /** The version of which the engine holds all layers; 0 if none or unknown. */
  version: number;
  /** Whether the agent can read the engine's state; if so, the report is newer than the list. */
  isReached: boolean;
  /** Whether the engine is switching versions and takes no new requests. */
  isSwitching: boolean;
  /** `host:port` at which the agent grants slots of the engine; empty if it grants none. */
  slotAddress: string;
  /** Requests of all callers that ran or waited at the engine. */
  load: number;
  /** When the first entry received the report from the agent, in milliseconds of the monotonic clock. */
  reportedAt: number;
  /**
   * When the engine is to be ordered to switch, in milliseconds of the monotonic clock; infinite if no switch is
   * scheduled.
   */
  switchAt: number;
}

/** One start of a back end. */
export interface BackEndRow {
  record: BackEndRecord;
  connections: BackEndConnections;
  health: BackEndHealth;
  /** Requests in flight from this entry. */
  inFlight: number;
  /** Prompt tokens of those requests whose prompts it has not finished reading. */
  pendingPromptTokens: number;
  /** Requests in flight from all other entries according to their latest reports. */
  inFlightElsewhere: number;
  /** When the first part of an answer was last received, in milliseconds of the monotonic clock. */
  answeredAt: number;
  /** Moving average of the time to the first part of an answer, in milliseconds; 0 before the first. */
  firstAnswerTime: number;
  /** Moving average of the duration of a request, in milliseconds; 0 before the first. */
  duration: number;
  /**
   * Moving average of the duration of a request per token that its answer may have, in milliseconds; 0 before the
   * first.
   */
  timePerToken: number;
  /** When any part of an answer was last received, in milliseconds of the monotonic clock. */
  progressAt: number;
  /** When the latest answered request was sent, by urgency. */
  answeredSends: Map<number, number>;
  /** The latest report of its agent. */
  news: EngineNews | undefined;
  /** The switches to other versions that its agents have announced. */
  switches: EngineSwitches;
  /** The agent that grants its slots; undefined if none is known. */
  agent: SlotAgent | undefined;
  /** The waits for slots of all back ends of its service. */
  waits: WaitPolicy;
}

/** The table of back ends of one entry. */
export class BackEndTable {
  readonly rows = new Map<string, BackEndRow>();
  readonly #rowsByService = new Map<string, Set<BackEndRow>>();
  /**
   * The rows of each address: a back end that restarts there under another id has a second row until its earlier
   * record expires.
   */
  readonly #rowsByAddress = new Map<string, Set<BackEndRow>>();
  /** The latest rows that were removed, in the order of their removal. */
  readonly #removed = new Map<string, Pick<BackEndRow, 'record' | 'health' | 'switches'>>();
  readonly #unlisted = new UnlistedEngines();
  readonly #holds = new Map<string, HoldRecord>();
  readonly #waits = new Map<string, WaitPolicy>();
  readonly #forecasts = new Map<string, CapacityForecast>();
  /** Requests in flight from each other entry, according to its latest report. */
  readonly #loadsOf = new Map<string, ReadonlyArray<readonly [row: BackEndRow, inFlight: number]>>();
  /** Maximum number of kept connections to a back end of a service. */
  maxKeptConnections: (service: string) => number = () => Number.POSITIVE_INFINITY;
  /** Called for each connection that a back end closes unannounced or refuses. */
  onConnectionLost: (row: BackEndRow, loss: ConnectionLoss) => void = () => {};
  /** Number of kept connections found silent since the start. */
  silentConnections = 0;
  /** The back end whose kept connection was most recently found silent, and when. */
  #lastSilentConnection: { id: string; at: number } | undefined;

  /** Applies changes of the list. */
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
   * Whether another back end has since started at the address of `row`. The back end of `row` no longer exists then,
   * although its record expires only after three missed heartbeats. After a power loss, nine entries sent 290
   * requests to such rows within the first second, which exhausted the retry budget.
   * @param isConfigured - whether the configuration declares a service; records of undeclared services supersede no
   * others
   */
  isSuperseded({ record }: BackEndRow, isConfigured: (service: string) => boolean): boolean {
    const rows = this.#rowsByAddress.get(record.address);
    if (rows === undefined || rows.size < 2) return false;
    return [...rows].some(
      (other) => other.record.revision > record.revision && isConfigured(other.record.service),
    );
  }

  /** Whether this start of a back end has ended: it is no longer listed, or another back end listens at its address. */
  hasEnded(row: BackEndRow): boolean {
    const { id, address, revision } = row.record;
    if (this.rows.get(id) !== row) return true;
    return [...(this.#rowsByAddress.get(address) ?? [])].some((other) => other.record.revision > revision);
  }

  /** The record of waits for back ends of a service. */
  holdsOf(service: string): HoldRecord {
    const known = this.#holds.get(service) ?? new HoldRecord();
    this.#holds.set(service, known);
    return known;
  }

  /** The waits for slots of engines of a service. */
  waitsOf(service: string): WaitPolicy {
    const known = this.#waits.get(service) ?? new WaitPolicy();
    this.#waits.set(service, known);
    return known;
  }

  /** The waits for slots that have ended, of all services. */
  get waitFigures(): Record<string, number> {
    const sums: Record<string, number> = {};
    for (const { figures } of this.#waits.values())
      for (const [name, count] of Object.entries(figures)) sums[name] = (sums[name] ?? 0) + count;
    return sums;
  }

  /**
   * The row that a report on `address` with this start refers to: the row of that start, or else the row with the
   * latest record, as the back end has restarted; undefined if none is listed there.
   */
  rowAt(address: string, start: BackEndIdentity['start']): BackEndRow | undefined {
    const rows = [...(this.#rowsByAddress.get(address) ?? [])];
    const own = rows.find(({ record }) => record.start === start);
    return own ?? rows.sort((one, other) => other.record.revision - one.record.revision)[0];
  }

  /** Applies an agent's report on the engine at `address`. */
  applyReport(address: string, news: EngineNews): void {
    const rows = this.#rowsOfStart(address, news.start);
    for (const row of rows) applyNews(row, news);
    if (rows.length === 0) this.#unlisted.noteReport(address, news);
  }

  /**
   * Whether the engine at `address` may hold weights that are not proven, because of a switch that the agent process `agent` has not
   * announced itself.
   */
  hasUnfinishedSwitch(address: string, start: BackEndIdentity['start'], agent: string): boolean {
    const [row] = this.#rowsOfStart(address, start);
    if (row === undefined) return false;
    if (row.switches.isUnfinishedByOther(agent)) return true;
    return row.news?.isSwitching !== true && isInSwitch(row);
  }

  /** The rows of one start of the back end at `address`, that with the latest record first. */
  #rowsOfStart(address: string, start: BackEndIdentity['start']): BackEndRow[] {
    const rows = [...(this.#rowsByAddress.get(address) ?? [])];
    return rows
      .filter(({ record }) => isSameStart(record.start, start))
      .sort((one, other) => other.record.revision - one.record.revision);
  }

  /** Applies a switch that another entry knows to be unfinished. */
  applyUnfinishedSwitch(unfinished: UnfinishedSwitch): void {
    const row = this.rows.get(unfinished.id);
    if (row !== undefined && isSameStart(row.record.start, unfinished.start))
      row.switches.applyUnfinished(unfinished);
    else this.#unlisted.noteUnfinished(unfinished);
  }

  /** The unfinished switches of all engines, to report to other entries. */
  unfinishedSwitches(): UnfinishedSwitch[] {
    return [...this.rows.values()].flatMap(({ record: { id, start }, switches }) =>
      switches.unfinished.map((announced) => ({ id, start, ...announced })),
    );
  }

  /** Applies another entry's report of its requests in flight. */
  applyLoads(entry: string, loads: readonly BackEndLoad[]): void {
    for (const [row, inFlight] of this.#loadsOf.get(entry) ?? []) row.inFlightElsewhere -= inFlight;
    const taken = loads.flatMap(({ id, start, inFlight }): Array<[BackEndRow, number]> => {
      const row = this.rows.get(id);
      return row === undefined || !isSameStart(row.record.start, start) ? [] : [[row, inFlight]];
    });
    for (const [row, inFlight] of taken) row.inFlightElsewhere += inFlight;
    if (taken.length > 0) this.#loadsOf.set(entry, taken);
    else this.#loadsOf.delete(entry);
  }

  /** This entry's requests in flight, to report to other entries. */
  loads(): BackEndLoad[] {
    const busy = [...this.rows.values()].filter(({ inFlight }) => inFlight > 0);
    return busy.map(({ record: { id, start }, inFlight }) => ({ id, start, inFlight }));
  }

  /**
   * Handles a kept connection to `row` that has been silent since `since`: idle connections that were last active
   * before then are closed, as they may be silent too. If another back end's connection was found silent shortly
   * before, this applies to the connections to all back ends.
   */
  noteSilentConnection(row: BackEndRow, since: number): void {
    const now = performance.now();
    const { id } = row.record;
    this.silentConnections++;
    // Connections to a previous start are silent because that start has ended.
    const present = this.rows.get(id);
    if (present !== undefined && present !== row) return;
    const last = this.#lastSilentConnection;
    const isCorrelated = last !== undefined && last.id !== id && now - last.at < SILENCE_CORRELATION_TIME;
    const suspect = isCorrelated ? this.rows.values() : [row];
    for (const { connections } of suspect) connections.closeIdleSince(since);
    this.#lastSilentConnection = { id, at: now };
  }

  /** The capacity forecast of a service while none of its back ends serves. */
  forecastOf(service: string): CapacityForecast {
    const known = this.#forecasts.get(service) ?? new CapacityForecast();
    this.#forecasts.set(service, known);
    return known;
  }

  /** Median failure share of the back ends of a service. */
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
    if (known !== undefined) this.#removePrevious(known);
    const connections: BackEndConnections = new BackEndConnections(
      record.address,
      () => this.maxKeptConnections(record.service),
      (loss) => this.onConnectionLost(row, loss),
    );
    const row: BackEndRow = {
      ...createRow(record, connections, this.waitsOf(record.service)),
      ...this.#takeRemoved(record),
    };
    this.#applyReportsOfStart(row);
    const { news, unfinished } = this.#unlisted.take(record);
    for (const announced of unfinished) row.switches.applyUnfinished(announced);
    if (news !== undefined) applyNews(row, news);
    this.rows.set(record.id, row);
    addTo(this.#rowsByService, record.service, row);
    addTo(this.#rowsByAddress, record.address, row);
  }

  /** Applies to a new row what was reported of its start while this had a row of another id. */
  #applyReportsOfStart(row: BackEndRow): void {
    const { address, start } = row.record;
    const known = this.#rowsOfStart(address, start).find(({ record }) => record.start !== undefined);
    if (known?.news === undefined || start === undefined) return;
    row.switches = known.switches;
    applyNews(row, known.news);
  }

  /**
   * Removes the row of a back end that another one has replaced under the same id; its requests in flight no longer
   * count.
   */
  #removePrevious({ record }: BackEndRow): void {
    this.#remove(record.id);
    if (this.#lastSilentConnection?.id === record.id) this.#lastSilentConnection = undefined;
  }

  /** What is known of this back end from before its record was lost. */
  #takeRemoved(record: BackEndRecord): Partial<Pick<BackEndRow, 'health' | 'switches'>> {
    const removed = this.#removed.get(record.id);
    this.#removed.delete(record.id);
    if (removed === undefined || !isSameBackEnd(removed.record, record)) return {};
    return { health: removed.health, switches: removed.switches };
  }

  #keepRemoved(id: string, { record, health, switches }: BackEndRow): void {
    this.#removed.delete(id);
    this.#removed.set(id, { record, health, switches });
    if (this.#removed.size <= MAX_REMOVED) return;
    const [first] = this.#removed.keys();
    this.#removed.delete(first);
  }

  #remove(id: string): void {
    const row = this.rows.get(id);
    if (row === undefined) return;
    this.#keepRemoved(id, row);
    this.rows.delete(id);
    removeFrom(this.#rowsByService, row.record.service, row);
    removeFrom(this.#rowsByAddress, row.record.address, row);
    void row.connections.close().catch(() => {});
  }
}

/**
 * Whether the state kept for one record is valid for the other. A restart discards all state, existing connections
 * lead to the previous address, and requests for one service must not run at another.
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

function createRow(record: BackEndRecord, connections: BackEndConnections, waits: WaitPolicy): BackEndRow {
  return {
    record,
    connections,
    health: new BackEndHealth(),
    inFlight: 0,
    pendingPromptTokens: 0,
    inFlightElsewhere: 0,
    answeredAt: 0,
    firstAnswerTime: 0,
    duration: 0,
    timePerToken: 0,
    progressAt: performance.now(),
    answeredSends: new Map(),
    news: undefined,
    switches: new EngineSwitches(),
    agent: undefined,
    waits,
  };
}

/** Applies a report on `row`, unless a later one is known. */
function applyNews(row: BackEndRow, news: EngineNews): void {
  if (!row.switches.apply(news)) return;
  if (row.news?.version !== news.version) row.health.noteVersionReport();
  row.news = news;
  if (news.slotAddress !== (row.agent?.address ?? ''))
    row.agent = news.slotAddress === '' ? undefined : new SlotAgent(news.slotAddress);
}

/**
 * Whether `row` is an engine that switches to another version, or may have done so with weights that are not proven. It gets
 * no requests of any kind.
 */
export function isInSwitch({ record, news, switches }: BackEndRow): boolean {
  if (news?.isSwitching === true || switches.isUnfinished) return true;
  return record.layers !== undefined && switches.hasSwitchedTo(record.layers.version);
}

/**
 * The version of which `row` holds all layers, or 0 if none: the version that its agent has recently read from the
 * engine, or else the later of the listed and the reported one. The list still names the version of an engine that
 * has lost its weights until the record expires.
 */
export function completeVersion(
  { record, news }: BackEndRow,
  layerCount: number,
  now = performance.now(),
): number {
  if (news?.isReached === true && now - news.reportedAt < VERSION_VALIDITY) return news.version;
  const listed = isComplete(record.layers, layerCount) ? record.layers!.version : 0;
  return Math.max(listed, news?.version ?? 0);
}

/**
 * An engine that states more layers than the model has holds a different model. A layer count of 0 is unknown and not
 * checked.
 */
function isComplete(layers: HeldLayers | undefined, layerCount: number): boolean {
  if (layers === undefined || layers.from !== 0) return false;
  return layerCount === 0 || layers.end === layerCount;
}

/** Known requests of all entries at `row`: the larger of the counts reported by the entries and by the agent. */
export function loadOf({ inFlight, inFlightElsewhere, news }: BackEndRow, now = performance.now()): number {
  const load = inFlight + inFlightElsewhere;
  return news !== undefined && isFresh(news, now) ? Math.max(load, news.load) : load;
}

/** Whether the agent of `row` has recently reported its load. */
export function isLoadReported({ news }: BackEndRow, now = performance.now()): boolean {
  return news !== undefined && isFresh(news, now);
}

function isFresh({ reportedAt }: EngineNews, now: number): boolean {
  return now - reportedAt < LOAD_VALIDITY;
}

/** Records that a request of `urgency` that was sent at `sentAt` has been answered. */
export function noteOvertaking({ answeredSends }: BackEndRow, urgency: number, sentAt: number): void {
  answeredSends.set(urgency, Math.max(sentAt, answeredSends.get(urgency) ?? sentAt));
}

/** Whether a request that is not more urgent than `urgency` and was sent after `sentAt` has been answered. */
export function isOvertaken({ answeredSends }: BackEndRow, urgency: number, sentAt: number): boolean {
  for (const [other, otherSentAt] of answeredSends) if (other >= urgency && otherSentAt > sentAt) return true;
  return false;
}

/** Records the time to the first part of an answer. */
export function noteFirstAnswer(row: BackEndRow, milliseconds: number, now: number): void {
  row.firstAnswerTime = movingAverage(row.firstAnswerTime, milliseconds);
  row.answeredAt = now;
}

/** Exponential moving average; the first sample is taken as it is. */
export function movingAverage(mean: number, sample: number): number {
  return mean === 0 ? sample : mean + SAMPLE_WEIGHT * (sample - mean);
}
