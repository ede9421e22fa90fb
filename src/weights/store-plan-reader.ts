/**
 * Reads the plan of an agent from the store when no entry provides one, as when all machines restart
 * together.
 */
import type { WatchedTables } from '../clients/watched-tables.js';
import type { FleetConfiguration } from '../fleet/configuration.js';
import type { RecordDecoder } from '../fleet/record-decoder.js';
import { RecordFaults } from '../fleet/record-faults.js';
import { sleep } from '../fleet/table-follower.js';
import type { Startable } from '../model/startable.js';
import { withLimit } from '../model/time-limit.js';
import { NO_WARM_UP } from '../model/warm-up.js';
import type { Log } from '../observability/log.js';
import type { NamedVersion, WeightsPlan, ZoneEvacuation } from '../protocol/reports.js';
import type { EngineLoader } from './engine-loader.js';

/**
 * Time that entries have to send a plan before the store is read, and pause between two reads, in
 * milliseconds.
 */
const ENTRY_GRACE_TIME = 30;
const RETRY_PAUSE = 1_500;
const CALL_TIMEOUT = 1_000;

export interface StorePlanReaderOptions {
  tables: WatchedTables;
  decoder: RecordDecoder;
  /** Zone of the agent. */
  zone: string;
  /** Time after its naming within which a version must be serving everywhere, in milliseconds. */
  versionBound: number;
  loader: EngineLoader;
  log: Log;
}

/** Reads the store until the loader has a plan from any side. */
export class StorePlanReader implements Startable {
  readonly #options: StorePlanReaderOptions;
  /** The records that could not be decoded. */
  readonly faults: RecordFaults;
  #stopped = new AbortController();

  constructor(options: StorePlanReaderOptions) {
    this.#options = options;
    this.faults = new RecordFaults(options.log);
  }

  async start(): Promise<void> {
    this.#stopped = new AbortController();
    void this.#run(this.#stopped.signal);
  }

  async stop(): Promise<void> {
    this.#stopped.abort();
  }

  async #run(signal: AbortSignal): Promise<void> {
    await sleep(ENTRY_GRACE_TIME, signal);
    while (!signal.aborted && !this.#options.loader.hasPlan) {
      const plan = await this.#read(signal);
      if (plan !== undefined && !this.#options.loader.hasPlan) {
        this.#options.log.info('plan read from the store', { versions: plan.versions });
        this.#options.loader.applyPlan(plan);
        return;
      }
      await sleep(RETRY_PAUSE, signal);
    }
  }

  /**
   * A plan with the named versions; undefined if the store does not answer, holds no configuration or names
   * no version.
   */
  async #read(signal: AbortSignal): Promise<WeightsPlan | undefined> {
    const { tables, decoder, zone, versionBound } = this.#options;
    const limit = withLimit(signal, CALL_TIMEOUT);
    const read = await tables.read(decoder.operatorTable, '', limit);
    if (!read.ok) return undefined;
    let configuration: FleetConfiguration | undefined;
    const versions: NamedVersion[] = [];
    let evacuation: ZoneEvacuation = { zone, revision: read.value.revision, isEvacuated: false };
    for (const row of read.value.rows) {
      const decoded = decoder.operatorRecord(row);
      if (decoded === undefined) continue;
      if (!decoded.ok) {
        this.faults.noteRevision(row, decoded.error);
        continue;
      }
      const record = decoded.value;
      if (record.type === 'configuration') configuration = record.document.configuration;
      if (record.type === 'namedVersion')
        versions.push({ model: record.model, version: record.version, notBefore: Number.NEGATIVE_INFINITY });
      if (record.type === 'evacuation' && record.zone === zone)
        evacuation = { zone, revision: row.revision, isEvacuated: record.isEvacuated };
    }
    if (configuration === undefined || versions.length === 0) return undefined;
    return {
      versions,
      storeTime: read.value.storeTime,
      bound: versionBound,
      origin: configuration.origin?.address ?? '',
      layers: configuration.services.find(({ engine }) => engine !== undefined)?.engine?.layers ?? 0,
      warmUp: configuration.services.find(({ engine }) => engine !== undefined)?.warmUp ?? NO_WARM_UP,
      position: 0,
      canMoveRequests: false,
      holders: [],
      entries: [],
      hasNearEntry: false,
      evacuation,
    };
  }
}
