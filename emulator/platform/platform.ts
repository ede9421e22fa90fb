/**
 * The stand-in for the platform: table service, object store, origin and machine list on one address, under
 * `/tables`, `/objects`, `/origin` and `/machines`. `POST /faults` sets what fails; `GET /audit` tells what
 * truly happened.
 */
import Router from '@koa/router';
import type Koa from 'koa';
import type { ListedMachine } from '../../src/clients/machine-list.js';
import { manifestKey } from '../../src/clients/object-store.js';
import type { Transaction } from '../../src/clients/table-service.js';
import { Pacer } from '../../src/model/pacer.js';
import type { Startable } from '../../src/model/startable.js';
import { createApplication, delay, httpServer, readBody, readJson } from '../../src/server/http-server.js';
import type { PlatformEmulatorSettings } from '../../src/settings/schemas.js';
import { TableStore } from './table-store.js';
import { OriginWeights } from './weights.js';

/** What is made to fail. */
export interface PlatformFaults {
  /** The table service answers 503. */
  tablesDown: boolean;
  /** Each answer of the table service comes this many milliseconds late. */
  tablesDelay: number;
  /** Answers of this many transactions are lost after they took effect. */
  loseAnswers: number;
  /** The object store answers 503. */
  objectsDown: boolean;
  /** The origin takes requests and sends nothing. */
  originStalled: boolean;
  /** The origin answers 503. */
  originDown: boolean;
  /** Share of the origin's chunks that are corrupted. */
  originCorruption: number;
}

/** What truly happened. */
export interface PlatformAudit {
  originBytes: number;
  originChunks: number;
  /** Chunks that were sent at least once. */
  originDistinctChunks: number;
  tableReads: number;
  tableWrites: number;
  tablesRefused: number;
}

const NO_FAULTS: PlatformFaults = {
  tablesDown: false,
  tablesDelay: 0,
  loseAnswers: 0,
  objectsDown: false,
  originStalled: false,
  originDown: false,
  originCorruption: 0,
};

/** Creates the stand-in. */
export function platformEmulator(settings: PlatformEmulatorSettings): Startable {
  const faults: PlatformFaults = { ...NO_FAULTS };
  const audit: PlatformAudit = {
    originBytes: 0,
    originChunks: 0,
    originDistinctChunks: 0,
    tableReads: 0,
    tableWrites: 0,
    tablesRefused: 0,
  };
  const weights = new OriginWeights(settings.origin.versions);
  const router = new Router();
  addTables(router, settings, faults, audit);
  addObjects(router, weights, faults);
  addOrigin(router, settings, weights, faults, audit);
  addMachines(router, settings);
  router.post('/faults', async (context) => {
    Object.assign(faults, await readJson<Partial<PlatformFaults>>(context));
    context.body = faults;
  });
  router.get('/audit', (context) => {
    context.body = audit;
  });
  const app = createApplication();
  app.use(router.routes());
  return httpServer(settings.listen, app.callback());
}

function addTables(
  router: Router,
  settings: PlatformEmulatorSettings,
  faults: PlatformFaults,
  audit: PlatformAudit,
): void {
  const store = new TableStore();
  const writes = new RateLimit(settings.writesPerSecond);
  const reads = new RateLimit(settings.readsPerSecond);
  const admit = async (context: Koa.Context, limit: RateLimit): Promise<boolean> => {
    if (faults.tablesDelay > 0) await delay(faults.tablesDelay);
    if (!faults.tablesDown && limit.take()) return true;
    audit.tablesRefused++;
    context.status = faults.tablesDown ? 503 : 429;
    context.set('retry-after', '1');
    return false;
  };
  router.post('/tables/transactions', async (context) => {
    const transaction = await readJson<Transaction>(context);
    if (!(await admit(context, writes))) return;
    audit.tableWrites++;
    context.body = store.transact(transaction);
    if (faults.loseAnswers === 0) return;
    faults.loseAnswers--;
    context.res.destroy();
  });
  router.get('/tables/changes', async (context) => {
    if (!(await admit(context, reads))) return;
    audit.tableReads++;
    context.body = store.changes(Number(context.query.since ?? 0));
  });
  router.get('/tables/operations/:id', async (context) => {
    if (!(await admit(context, reads))) return;
    audit.tableReads++;
    const revision = store.operation(context.params.id);
    if (revision === undefined) context.status = 404;
    else context.body = { revision };
  });
}

function addObjects(router: Router, weights: OriginWeights, faults: PlatformFaults): void {
  const objects = new Map<string, Buffer>();
  for (const { version, manifest } of weights.versions) {
    objects.set(manifestKey(version), Buffer.from(JSON.stringify(manifest)));
  }
  router.all(/^\/objects\/(.+)$/, async (context) => {
    const key = context.params[0];
    if (faults.objectsDown) {
      context.status = 503;
      return;
    }
    if (context.method === 'PUT') {
      objects.set(key, await readBody(context));
      context.status = 204;
      return;
    }
    const found = objects.get(key);
    if (found === undefined) context.status = 404;
    else context.body = found;
  });
}

function addOrigin(
  router: Router,
  settings: PlatformEmulatorSettings,
  weights: OriginWeights,
  faults: PlatformFaults,
  audit: PlatformAudit,
): void {
  const link = new Pacer(settings.origin.bytesPerSecond);
  const sent = new Set<string>();
  router.get('/origin/versions', (context) => {
    context.body = weights.versions.map(({ label, version, manifest }) => ({
      label,
      version,
      chunks: manifest.chunks.length,
      bytes: manifest.chunks.reduce((sum, chunk) => sum + chunk.bytes, 0),
    }));
  });
  router.get('/origin/chunks/:digest', async (context) => {
    const found = weights.chunk(context.params.digest);
    if (faults.originDown || found === undefined) {
      context.status = faults.originDown ? 503 : 404;
      return;
    }
    while (faults.originStalled && !context.res.destroyed) await delay(100);
    const gone = new AbortController();
    context.res.once('close', () => gone.abort());
    await link.take(found.byteLength, gone.signal);
    audit.originBytes += found.byteLength;
    audit.originChunks++;
    sent.add(context.params.digest);
    audit.originDistinctChunks = sent.size;
    if (Math.random() < faults.originCorruption) found[0] ^= 0xff;
    context.body = found;
  });
}

function addMachines(router: Router, settings: PlatformEmulatorSettings): void {
  let visible: ListedMachine[] = [];
  router.get('/machines', (context) => {
    context.body = visible;
  });
  router.put('/machines', async (context) => {
    const machines = await readJson<ListedMachine[]>(context);
    setTimeout(() => {
      visible = machines;
    }, settings.machineListLag);
    context.status = 204;
  });
}

/** Lets a number of calls a second pass, with a burst of one second's worth. */
class RateLimit {
  readonly #perSecond: number;
  #tokens: number;
  #filledAt = performance.now();

  constructor(perSecond: number) {
    this.#perSecond = perSecond;
    this.#tokens = perSecond;
  }

  take(): boolean {
    const now = performance.now();
    const refill = ((now - this.#filledAt) / 1_000) * this.#perSecond;
    this.#tokens = Math.min(this.#perSecond, this.#tokens + refill);
    this.#filledAt = now;
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }
}
