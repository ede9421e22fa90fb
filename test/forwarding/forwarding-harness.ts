/** Runs a forwarding server on a free port with a fleet that the test declares, and sends requests to it as a caller. */
import { type ClientRequest, request as httpRequest } from 'node:http';
import { freeAddress } from '../../bench/processes/child.js';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import { FleetView } from '../../src/fleet/fleet-view.js';
import { BackEndBackoffs } from '../../src/forwarding/back-end-backoffs.js';
import { BackEndLimits } from '../../src/forwarding/back-end-limits.js';
import { BackEndSelector } from '../../src/forwarding/back-end-selector.js';
import { BackEndTable, type EngineNews } from '../../src/forwarding/back-end-table.js';
import { BackEndWarmUps } from '../../src/forwarding/back-end-warm-ups.js';
import { DirectPermits } from '../../src/forwarding/direct-permits.js';
import type { EngineSlots, SlotClaim } from '../../src/forwarding/engine-slots.js';
import { ForwardingServer } from '../../src/forwarding/forwarding-server.js';
import { PoisonGuard } from '../../src/forwarding/poison-guard.js';
import { QuarantineRecords } from '../../src/forwarding/quarantine-records.js';
import { RestartDetector } from '../../src/forwarding/restart-detector.js';
import { seededRandom } from '../../src/model/random.js';
import { type Log, silentLog } from '../../src/observability/log.js';
import { Metrics } from '../../src/observability/metrics.js';
import type { BackEndRecord } from '../../src/protocol/back-end-list-state.js';
import { DrainSchedule } from '../../src/systems/drain-schedule.js';
import { RetryWindow } from '../../src/systems/retry-window.js';
import type { StandInBackEnd } from './stand-in-back-end.js';

/** Header names for tests; no platform uses them. */
export const NAMES = {
  requestId: 'x-request',
  timeLeft: 'x-time-left',
  callerKey: 'x-key',
  tenant: 'x-tenant',
  expectedBackEnd: 'x-back-end',
  expectedVersion: 'x-expected-version',
  answeringBackEnd: 'x-answering-back-end',
  coldLeft: 'x-cold-left',
  urgency: 'x-urgency',
  notRun: 'x-not-run',
  servedVersion: 'x-version',
  rateLimit: 'x-rate-limit',
  leaving: 'x-leaving',
  tokenCounts: 'x-tokens',
  promptParts: 'x-parts',
};

/** Time from the naming of a version to the moment from which no request may start on an older one, in milliseconds. */
const VERSION_BOUND = 8_000;

/** A claim that ignores all calls. */
export const NOOP_CLAIM: SlotClaim = { noteAnswer: () => {}, notePromptRead: () => {}, release: () => {} };

/** The answer as the caller received it. */
export interface Answer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  /** False if the answer was cut. */
  whole: boolean;
}

/** Options of a request. */
export interface SentRequest {
  method?: string;
  headers?: Record<string, string>;
  body?: string | Buffer;
}

export class ForwardingHarness {
  readonly fleet = new FleetView();
  readonly backEnds = new BackEndTable();
  readonly metrics = new Metrics('test');
  /** Holds the records that outlive the entry. */
  readonly store = new MemoryStore();
  /** Log of the entry; to be set before `start`. */
  log: Log = silentLog;
  readonly drain = new DrainSchedule({ graceTime: 8_000, addressLifetime: 1_000 });
  /** Grants slots of engines; the default never answers. */
  slots: EngineSlots = { ask: () => NOOP_CLAIM };
  /** Region of a zone as the settings name it; to be set before `start`. */
  regionOf: (zone: string) => string | undefined = () => 'region-a';
  readonly budget = new RetryWindow({ span: 10_000, share: 1, slack: () => 10 });
  readonly #service: string;
  #server: ForwardingServer | undefined;
  #selector: BackEndSelector | undefined;
  #address = '';
  #requests = 0;

  /** @param service - the service of the back ends that are listed */
  constructor(service: string) {
    this.#service = service;
    this.fleet.listen({ onBackEnds: (changes) => this.backEnds.apply(changes) });
  }

  /** `host:port` for callers. */
  get address(): string {
    return this.#address;
  }

  /** Chooses the back ends, from `start` on. */
  get selector(): BackEndSelector {
    return this.#selector!;
  }

  /** Number of requests in progress. */
  get active(): number {
    return this.#server?.active ?? 0;
  }

  async start(configuration: FleetConfiguration): Promise<void> {
    const { fleet, backEnds, budget } = this;
    const random = seededRandom(7);
    const warmUps = new BackEndWarmUps({
      fleet,
      healthOf: (id) => backEnds.rows.get(id)?.health,
      log: this.log,
      metrics: this.metrics,
    });
    const restarts = new RestartDetector({
      fleet,
      table: backEnds,
      warmUps,
      names: NAMES,
      log: this.log,
      metrics: this.metrics,
    });
    await restarts.start();
    backEnds.onConnectionLost = (row, loss) => restarts.noteLost(row, loss);
    const limits = new BackEndLimits(this.log, this.metrics, warmUps);
    const backoffs = new BackEndBackoffs(this.log, this.metrics);
    const permits = new DirectPermits({
      tables: this.store,
      clock: fleet.clock,
      limits,
      entryCount: () => 1,
      random,
      log: this.log,
      metrics: this.metrics,
    });
    const selector = new BackEndSelector({
      fleet,
      table: backEnds,
      random,
      self: { zone: 'zone-a', region: 'region-a' },
      regionOf: (zone) => this.regionOf(zone),
      versionBound: VERSION_BOUND,
      entryCount: () => 1,
      limits,
      backoffs,
      permits,
    });
    this.#selector = selector;
    const reservedHeaders = new Set([
      'x-key',
      'x-tenant',
      'x-back-end',
      'x-time-left',
      'content-length',
      'last-event-id',
    ]);
    this.#address = await freeAddress();
    this.#server = new ForwardingServer(
      this.#address,
      {
        names: NAMES,
        reservedHeaders,
        fleet,
        backEnds,
        limits,
        warmUps,
        backoffs,
        permits,
        selector,
        slots: this.slots,
        random,
        log: this.log,
        budgetOf: () => budget,
        drain: this.drain,
        poison: new PoisonGuard({
          log: this.log,
          metrics: this.metrics,
          placeOf: () => 0,
          hasEnded: (row) => backEnds.hasEnded(row),
          isLeaving: (backEnd) => fleet.backEnds.isLeaving(backEnd),
          records: new QuarantineRecords({
            tables: this.store,
            name: 'entry',
            clock: fleet.clock,
            random,
            log: this.log,
          }),
        }),
      },
      this.metrics,
    );
    await this.#server.start();
    fleet.applyConfiguration({ document: Buffer.from(''), configuration });
  }

  async stop(): Promise<void> {
    await this.#server?.stop();
    await this.backEnds.stop();
  }

  /** Stops accepting connections. */
  async close(): Promise<void> {
    await this.#server?.close();
  }

  /** Whether the process may exit. */
  get isDrained(): boolean {
    return this.#server?.isDrained ?? true;
  }

  /** Stops as an entry does after SIGTERM: waits until no caller can have another request, then closes all connections. */
  async leave(): Promise<void> {
    await this.close();
    await this.#server?.drained();
    await this.stop();
  }

  /** Replaces the list of back ends. */
  list(
    ...backEnds: Array<
      [id: string, backEnd: Pick<StandInBackEnd, 'address'>, changes?: Partial<BackEndRecord>]
    >
  ): void {
    const revision = this.fleet.backEnds.revision + 1;
    const records = backEnds.map(([id, backEnd, changes]) => ({
      id,
      service: this.#service,
      address: backEnd.address,
      zone: 'zone-a',
      slots: 4,
      leaving: false,
      layers: undefined,
      revision,
      ...changes,
    }));
    this.fleet.applyBackEndList({ revision, records }, 'peer');
  }

  /** Reports the current state of `engine` as its agent does; the agent grants slots only if `news` has a slot address. */
  reportEngine(engine: StandInBackEnd, news: Partial<EngineNews> = {}): void {
    this.backEnds.applyReport(engine.address, {
      version: 0,
      isReached: true,
      isSwitching: false,
      slotAddress: '',
      load: 0,
      reportedAt: performance.now(),
      switchAt: Number.POSITIVE_INFINITY,
      ...news,
    });
  }

  /** Names `version` of the model `m` so that those before it expire after `milliseconds`. */
  expireIn(milliseconds: number, version = 2): void {
    const now = performance.now();
    this.fleet.clock.addSample(now, now);
    this.fleet.applyNamedVersion({ model: 'm', version, notBefore: now + milliseconds - VERSION_BOUND });
  }

  /** Reports that the agent of the engine at `address` has seen the process start `start`. */
  reportEngineStart(address: string, start: number): void {
    const row = this.backEnds.rowAt(address, start);
    if (row !== undefined) this.fleet.applyReportedStart({ id: row.record.id, start });
  }

  /** Sends a request without a body and returns it, so that the test can close its connection. */
  openRequest(path: string): ClientRequest {
    const [host, port] = this.#address.split(':');
    const headers = { host: 'api.example', 'x-request': `r${++this.#requests}`, 'x-key': 'key-a' };
    const sent = httpRequest({ host, port, path, headers });
    sent.on('error', () => {});
    sent.end();
    return sent;
  }

  /** Sends a request; resolves with its answer. */
  send(path: string, { method = 'GET', headers, body }: SentRequest = {}): Promise<Answer> {
    const [host, port] = this.#address.split(':');
    const all = { host: 'api.example', 'x-request': `r${++this.#requests}`, 'x-key': 'key-a', ...headers };
    return new Promise((resolve, reject) => {
      const sent = httpRequest({ host, port, path, method, headers: all }, (response) => {
        const parts: Buffer[] = [];
        const end = () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(parts).toString('utf8'),
            whole: response.complete,
          });
        response.on('data', (part) => parts.push(part));
        response.on('end', end);
        response.on('error', end);
      });
      sent.on('error', reject);
      sent.end(body);
    });
  }
}
