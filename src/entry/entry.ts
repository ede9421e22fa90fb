/**
 * The entry process: HTTP APIs for callers and operators, home of agents, coordinator of bursts, and worker for
 * the duties whose lease it holds.
 */

import { randomBytes } from 'node:crypto';
import Router from '@koa/router';
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix';
import Koa from 'koa';
import { httpMachineList, type MachineList } from '../clients/machine-list.js';
import { httpObjectStore, type ObjectStore } from '../clients/object-store.js';
import { httpTableService, type TableService } from '../clients/table-service.js';
import { HybridClock } from '../model/hybrid-clock.js';
import { hash32, type Random, seededRandom } from '../model/random.js';
import { type Startable, StartableGroup } from '../model/startable.js';
import { createLog, type Log } from '../observability/log.js';
import { Metrics, trafficMetrics } from '../observability/metrics.js';
import { Timeline } from '../observability/timeline.js';
import {
  type Connection,
  type ConnectionContext,
  ConnectionListener,
  createTrafficCounters,
  type TrafficCounters,
} from '../protocol/connection.js';
import type { EntryInfo } from '../protocol/messages.js';
import { resourceApi } from '../resources/resource-api.js';
import { httpServer } from '../server/http-server.js';
import type { EntrySettings } from '../settings/schemas.js';
import { DEFAULT_TENANT_LIMITS } from '../systems/admission.js';
import { Admission } from './admission.js';
import { AgentDirectory } from './agent-directory.js';
import { BurstCoordinators } from './burst-coordinators.js';
import { CallLinks } from './call-links.js';
import { CallRouter } from './call-router.js';
import { CallerApi } from './caller-api.js';
import { Configuration } from './configuration.js';
import { DutyLease } from './duty-lease.js';
import { EntryDirectory } from './entry-directory.js';
import { EntryMesh } from './entry-mesh.js';
import { HomeAgents } from './home-agents.js';
import { MachineWatch } from './machine-watch.js';
import { NonRepeatableRouter } from './non-repeatable-router.js';
import { OperationsDuty } from './operations-duty.js';
import { OwnersDuty } from './owners-duty.js';
import { PlacementDuty } from './placement-duty.js';

/** The components of an entry. */
export interface EntryComponents {
  settings: EntrySettings;
  /** Identity of this process. */
  identity: string;
  random: Random;
  clock: HybridClock;
  counters: TrafficCounters;
  log: Log;
  timeline: Timeline;
  metrics: Metrics;
  tables: TableService;
  objects: ObjectStore;
  machineList: MachineList;
  configuration: Configuration;
  directory: AgentDirectory;
  entries: EntryDirectory;
  bursts: BurstCoordinators;
  entry: Entry;
}

export function createEntry(settings: EntrySettings): Entry {
  return composeEntry(settings).entry;
}

/** Creates the container of an entry's components; each is created when first accessed. */
export function composeEntry(settings: EntrySettings): EntryComponents {
  const identity = `${settings.listen.peers}#${randomBytes(4).toString('hex')}`;
  const container = createContainer<EntryComponents>({ injectionMode: InjectionMode.PROXY, strict: true });
  container.register({
    settings: asValue(settings),
    identity: asValue(identity),
    random: asValue(seededRandom(hash32(identity))),
    clock: asValue(new HybridClock()),
    counters: asValue(createTrafficCounters()),
    log: asFunction(() => createLog(`entry ${identity}`, settings.log.level)).singleton(),
    timeline: asFunction(({ clock }: EntryComponents) => new Timeline(identity, clock)).singleton(),
    metrics: asFunction(() => new Metrics('entry')).singleton(),
    tables: asFunction(() => httpTableService(settings.platform.tables)).singleton(),
    objects: asFunction(() => httpObjectStore(settings.platform.objects)).singleton(),
    machineList: asFunction(() => httpMachineList(settings.platform.machines)).singleton(),
    configuration: asFunction(
      ({ tables, random, timeline }: EntryComponents) => new Configuration({ tables, random, timeline }),
    ).singleton(),
    directory: asFunction(() => new AgentDirectory()).singleton(),
    entries: asFunction(() => new EntryDirectory()).singleton(),
    bursts: asFunction(
      ({ timeline }: EntryComponents) => new BurstCoordinators(timeline, settings.bursts.strategy),
    ).singleton(),
    entry: asFunction((components: EntryComponents) => new Entry(components)).singleton(),
  });
  return container.cradle;
}

/** An entry process. */
export class Entry implements Startable {
  readonly #components: EntryComponents;
  /** The constant part of this entry's own information. */
  readonly #self: Omit<EntryInfo, 'leaving' | 'sequence'>;
  readonly #context: ConnectionContext;
  readonly #mesh: EntryMesh;
  readonly #home: HomeAgents;
  readonly #links: CallLinks;
  readonly #router: CallRouter;
  readonly #nonRepeatableRouter: NonRepeatableRouter;
  readonly #admission: Admission;
  readonly #callers: CallerApi;
  readonly #lease: DutyLease;
  readonly #parts: StartableGroup;
  #leaving = false;
  #sequence = 0;

  constructor(components: EntryComponents) {
    const { settings, random, configuration, directory, entries, timeline, tables, objects, bursts } =
      components;
    this.#components = components;
    const { place, zone, listen, advertisedPeers } = settings;
    this.#self = {
      id: components.identity,
      address: advertisedPeers ?? listen.peers,
      callerAddress: listen.callers,
      place,
      zone,
    };
    this.#context = this.#createContext();
    const self = () => this.info();
    this.#mesh = new EntryMesh(settings.entries, {
      context: this.#context,
      directory,
      entries,
      configuration,
      self,
    });
    configuration.isReader = () => this.#mesh.isFirstOfZone;
    const shared = { configuration, directory, entries, timeline, objects };
    this.#home = new HomeAgents({ ...shared, self, mesh: this.#mesh, bursts });
    this.#links = new CallLinks(this.#context);
    this.#router = new CallRouter({ directory, links: this.#links, random });
    this.#admission = new Admission(settings.calls, (tenant) => {
      return configuration.tenant(tenant)?.spec.limits ?? DEFAULT_TENANT_LIMITS;
    });
    this.#nonRepeatableRouter = new NonRepeatableRouter({ configuration, directory, links: this.#links });
    this.#callers = new CallerApi({
      configuration,
      router: this.#router,
      nonRepeatableRouter: this.#nonRepeatableRouter,
      self,
      entries: () => [this.info(), ...entries.rows.values()],
      addressLifetimeSeconds: settings.discovery.addressLifetimeSeconds,
      defaultDeadline: settings.calls.deadline,
      admission: this.#admission,
    });
    this.#lease = new DutyLease('placement', {
      configuration,
      tables,
      timeline,
      self: components.identity,
      mayTakeOver: () => this.#mesh.isFirstOfZone,
    });
    const lease = this.#lease;
    const machines = new MachineWatch(components.machineList, directory);
    const placement = new PlacementDuty({ configuration, directory, lease, timeline, machines });
    const owners = new OwnersDuty({ configuration, directory, lease, machines });
    const operations = new OperationsDuty(configuration, lease);
    lease.onHeld = async () => {
      // Until every zone has been heard from, machines that are merely unknown would be treated as gone.
      if (!this.#mesh.isSettled) return;
      await placement.review();
      await owners.review();
      await operations.review();
    };
    const accept = (connection: Connection) => this.#accept(connection);
    const listener = new ConnectionListener(settings.listen.peers, this.#context, accept);
    const server = httpServer(settings.listen.callers, this.#application().callback());
    this.#parts = new StartableGroup([
      configuration,
      bursts,
      this.#admission,
      listener,
      this.#mesh,
      this.#lease,
      server,
    ]);
    this.#addMetrics();
  }

  async start(): Promise<void> {
    this.#components.timeline.record({ type: 'processStarted', role: 'entry' });
    await this.#parts.start();
    const { place, zone, listen } = this.#components.settings;
    this.#components.log.info('entry serves', { place, zone, callers: listen.callers });
  }

  async stop(): Promise<void> {
    await this.#parts.stop();
    await this.#links.stop();
  }

  /** Withdraws the entry from discovery. Callers that already hold its address are still served. */
  drain(): void {
    if (this.#leaving) return;
    this.#leaving = true;
    this.#sequence++;
    this.#components.timeline.record({ type: 'processLeaving' });
    this.#components.log.info('entry leaves');
    this.#mesh.announceSelf();
    this.#home.notifyAll();
  }

  /** Number of requests in progress. */
  get active(): number {
    return this.#callers.inProgress;
  }

  /** This entry's own information, as sent to entries and agents. */
  info(): EntryInfo {
    return { ...this.#self, leaving: this.#leaving, sequence: this.#sequence };
  }

  #createContext(): ConnectionContext {
    const { clock, counters, settings } = this.#components;
    const { id, address, place, zone } = this.#self;
    const peer = { id, address, place, region: settings.region, zone };
    return { clock, counters, hello: () => ({ type: 'hello', role: 'entry', peer }) };
  }

  #accept(connection: Connection): void {
    if (connection.remote.role === 'agent') this.#home.accept(connection);
    else this.#mesh.accept(connection);
  }

  #application(): Koa {
    const { configuration, tables, directory } = this.#components;
    const app = new Koa();
    app.silent = true;
    for (const router of [
      this.#callers.routes(),
      resourceApi({ configuration, tables, directory }),
      this.#operatorRoutes(),
    ]) {
      app.use(router.routes());
    }
    return app;
  }

  #operatorRoutes(): Router {
    const { metrics, timeline, directory, configuration } = this.#components;
    const router = new Router();
    router.get('/metrics', async (context) => {
      context.type = 'text/plain; version=0.0.4';
      context.body = await metrics.text();
    });
    router.get('/timeline', (context) => {
      context.body = timeline.entries();
    });
    router.get('/status', (context) => {
      const agents = [...directory.rows.values()].map(({ status, home }) => ({ ...status, home }));
      const entries = [this.info(), ...this.#components.entries.rows.values()];
      context.body = { entry: this.info(), revision: configuration.revision, entries, agents };
    });
    router.post('/drain', (context) => {
      this.drain();
      context.status = 202;
      context.body = { leaving: true };
    });
    return router;
  }

  #addMetrics(): void {
    const { metrics, counters, configuration, directory, bursts } = this.#components;
    metrics.add([
      trafficMetrics(counters),
      {
        name: 'calls',
        help: 'Requests by outcome',
        label: 'outcome',
        read: () => ({ ...this.#router.counters }),
      },
      {
        name: 'once_calls',
        help: 'Calls that may not be repeated, by outcome',
        label: 'outcome',
        read: () => ({ ...this.#nonRepeatableRouter.counters }),
      },
      {
        name: 'admission',
        help: 'Requests by admission',
        label: 'outcome',
        read: () => ({ ...this.#admission.counters }),
      },
      { name: 'calls_in_progress', help: 'Requests in progress', read: () => this.#callers.inProgress },
      { name: 'configuration_revision', help: 'Revision in force here', read: () => configuration.revision },
      {
        name: 'configuration_reads',
        help: 'Readings of the table service',
        label: 'outcome',
        read: () => ({ ...configuration.counters }),
      },
      { name: 'agents_known', help: 'Agents known here', read: () => directory.rows.size },
      { name: 'agents_homed', help: 'Agents homed here', read: () => this.#home.size },
      { name: 'bursts_coordinated', help: 'Bursts coordinated here', read: () => bursts.active },
    ]);
  }
}
