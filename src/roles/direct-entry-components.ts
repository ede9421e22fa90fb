/** Composes an entry for deployments in which back ends are called at their own address. */
import { randomBytes } from 'node:crypto';
import type Router from '@koa/router';
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix';
import type { ListedObjectStore } from '../clients/object-store.js';
import type { WatchedTables } from '../clients/watched-tables.js';
import { FleetView } from '../fleet/fleet-view.js';
import type { RecordDecoder } from '../fleet/record-decoder.js';
import { StoreSync, type StoreSyncOptions } from '../fleet/store-sync.js';
import { BackEndTable } from '../forwarding/back-end-table.js';
import type { HeaderNames } from '../forwarding/header-names.js';
import { HybridClock } from '../model/hybrid-clock.js';
import { hash32, type Random, seededRandom } from '../model/random.js';
import type { Log } from '../observability/log.js';
import { Metrics } from '../observability/metrics.js';
import {
  type ConnectionContext,
  createTrafficCounters,
  type SendFigures,
  type TrafficCounters,
} from '../protocol/connection.js';
import { WeightsLibrary } from '../weights/held-weights.js';
import type { PieceOriginFactory } from '../weights/piece-source.js';
import { DirectEntry } from './direct-entry.js';
import type { DirectEntrySettings } from './settings.js';

/** Platform adapters that the entry uses. */
export interface DirectEntryAdapters {
  decoder: RecordDecoder;
  tables: WatchedTables;
  objects: ListedObjectStore;
  originAt: PieceOriginFactory;
  headers: HeaderNames;
  /** Routes for the platform's readiness checks, and for callers that discover entries. */
  readyRoutes: (isReady: () => boolean) => Router;
  directoryRoutes: (
    addresses: (zone: string, region: string, host: string) => string[],
    lifetimeSeconds: number,
  ) => Router;
  metricsPath: string;
}

/** Components of an entry, by their names in the container. */
export interface DirectEntryComponents extends DirectEntryAdapters {
  settings: DirectEntrySettings;
  /** Identity of this process, unique for each start. */
  identity: string;
  random: Random;
  log: Log;
  metrics: Metrics;
  counters: TrafficCounters;
  sent: SendFigures;
  context: ConnectionContext;
  fleet: FleetView;
  sync: StoreSync;
  backEnds: BackEndTable;
  library: WeightsLibrary;
  directEntry: DirectEntry;
}

/** Creates an entry from its settings. */
export function createDirectEntry(
  settings: DirectEntrySettings,
  adapters: DirectEntryAdapters,
  log: Log,
): DirectEntry {
  const identity = `${settings.name}#${randomBytes(4).toString('hex')}`;
  const container = createContainer<DirectEntryComponents>({
    injectionMode: InjectionMode.PROXY,
    strict: true,
  });
  for (const [name, value] of Object.entries(adapters)) container.register(name, asValue(value));
  container.register({
    settings: asValue(settings),
    identity: asValue(identity),
    random: asValue(seededRandom(hash32(identity))),
    log: asValue(log),
    metrics: asFunction(() => new Metrics('entry')).singleton(),
    counters: asValue(createTrafficCounters()),
    sent: asValue({ bytesByType: {}, longestWait: {} }),
    context: asFunction(({ counters, sent }: DirectEntryComponents) =>
      contextOf(settings, identity, { counters, sent }),
    ).singleton(),
    fleet: asFunction(() => new FleetView()).singleton(),
    sync: asFunction(
      (components: DirectEntryComponents) => new StoreSync(storeSyncOptions(components)),
    ).singleton(),
    backEnds: asFunction(() => new BackEndTable()).singleton(),
    library: asFunction(() => new WeightsLibrary()).singleton(),
    directEntry: asFunction((components: DirectEntryComponents) => new DirectEntry(components)).singleton(),
  });
  return container.cradle.directEntry;
}

/** Selects the options by name: spreading the container's proxy would resolve every component. */
function storeSyncOptions(components: DirectEntryComponents): StoreSyncOptions {
  const { tables, decoder, fleet, random, log, settings } = components;
  return { tables, decoder, fleet, heartbeatInterval: settings.heartbeatInterval, random, log };
}

function contextOf(
  settings: DirectEntrySettings,
  id: string,
  figures: Pick<ConnectionContext, 'counters' | 'sent'>,
): ConnectionContext {
  const { peers: address, zone, region } = settings;
  const peer = { id, address, place: zone, region, zone };
  return { clock: new HybridClock(), ...figures, hello: () => ({ type: 'hello', role: 'entry', peer }) };
}
