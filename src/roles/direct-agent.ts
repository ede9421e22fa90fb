/** Agent role on an engine's machine in deployments where callers' requests do not pass through the agent: it loads weights. */
import { randomBytes } from 'node:crypto';
import type { ListedObjectStore } from '../clients/object-store.js';
import type { WatchedTables } from '../clients/watched-tables.js';
import type { RecordDecoder } from '../fleet/record-decoder.js';
import { HybridClock } from '../model/hybrid-clock.js';
import { hash32, seededRandom } from '../model/random.js';
import { type Startable, StartableGroup } from '../model/startable.js';
import type { Log } from '../observability/log.js';
import { Metrics, trafficMetrics } from '../observability/metrics.js';
import { metricsServer } from '../observability/metrics-server.js';
import { EntryLink } from '../peers/entry-link.js';
import { SlotServer } from '../peers/slot-server.js';
import { type ConnectionContext, createTrafficCounters } from '../protocol/connection.js';
import { createRequestListener, httpServer } from '../server/http-server.js';
import { EngineLoader } from '../weights/engine-loader.js';
import { WeightsLibrary } from '../weights/held-weights.js';
import { pieceRoutes } from '../weights/piece-server.js';
import type { PieceOriginFactory } from '../weights/piece-source.js';
import type { StagedEngine } from '../weights/staged-engine.js';
import { StorePlanReader } from '../weights/store-plan-reader.js';
import type { DirectAgentSettings } from './settings.js';

/** Platform adapters that the agent uses. */
export interface DirectAgentAdapters {
  objects: ListedObjectStore;
  originAt: PieceOriginFactory;
  engine: StagedEngine;
  tables: WatchedTables;
  decoder: RecordDecoder;
  metricsPath: string;
}

/** Creates an agent from its settings. */
export function createDirectAgent(
  settings: DirectAgentSettings,
  { objects, originAt, engine, tables, decoder, metricsPath }: DirectAgentAdapters,
  log: Log,
): Startable {
  const id = `${settings.name}#${randomBytes(4).toString('hex')}`;
  const { peers: address, zone, region } = settings;
  const peer = { id, address, place: zone, region, zone };
  const counters = createTrafficCounters();
  const context: ConnectionContext = {
    clock: new HybridClock(),
    counters,
    hello: () => ({ type: 'hello', role: 'agent', peer }),
  };
  const random = seededRandom(hash32(id));
  const library = new WeightsLibrary();
  const metrics = new Metrics('agent');
  const slots = new SlotServer(settings.slots, context, log);
  const loader = new EngineLoader({
    engine,
    slotAddress: settings.slots,
    zone,
    onEngineState: (observed) => slots.observe(observed),
    engineAddress: settings.engine,
    address,
    library,
    objects,
    originAt,
    sendReport: (report) => void link.connection?.send({ type: 'engineReport', report }),
    random,
    log,
  });
  const link = new EntryLink({
    context,
    seeds: settings.seeds,
    random,
    onPlan: (plan) => loader.applyPlan(plan),
    onConnected: () => loader.report(),
  });
  const storePlan = new StorePlanReader({
    tables,
    decoder,
    zone,
    versionBound: settings.versionBound,
    loader,
    log,
  });
  metrics.add([
    storePlan.faults.metric,
    trafficMetrics(counters),
    {
      name: 'entry_connected',
      help: '1 while an entry is connected',
      read: () => Number(link.connection !== undefined),
    },
    {
      name: 'slot_decisions',
      help: 'Answers to requests for slots of the engine',
      label: 'kind',
      read: () => slots.decisions,
    },
    {
      name: 'slots',
      help: 'Slots of the engine, and where they are: granted, used by others, running as the engine tells; requests waiting',
      label: 'state',
      read: () => ({ ...slots.figures }),
    },
    {
      name: 'engine_orders',
      help: 'Orders to the engine to load weights, by how they ended',
      label: 'ending',
      read: () => ({ ...loader.figures.orders }),
    },
    {
      name: 'staged_pieces_replaced',
      help: "Corrupt pieces of weights in the engine's stage that were written again",
      read: () => loader.figures.piecesReplaced,
    },
    {
      name: 'layers_in_doubt',
      help: 'Layers that the engine was ordered to load anew, as it could not be proven that they were sound',
      read: () => loader.figures.layersInDoubt,
    },
    {
      name: 'weights_in_doubt',
      help: '1 while the engine gets no requests, as its weights are not proven',
      read: () => Number(loader.figures.isInDoubt),
    },
    {
      name: 'engine_rate_limit',
      help: 'Requests a second that the engine takes from all entries together, while it limits them',
      label: 'engine',
      read: () => (slots.rateLimit === undefined ? {} : { [settings.engine]: slots.rateLimit }),
    },
  ]);
  const parts = new StartableGroup([
    httpServer(address, createRequestListener(pieceRoutes(library))),
    metricsServer(settings.metrics, metricsPath, metrics),
    link,
    slots,
    loader,
    storePlan,
  ]);
  return {
    async start() {
      await parts.start();
      log.info('agent started', { identity: id, zone, engine: settings.engine });
    },
    async stop() {
      log.info('agent stops', {});
      await parts.stop();
    },
  };
}
