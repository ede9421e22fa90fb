/**
 * One process that holds many hollow ones: real entries (all their parts, in one event loop) and hollow agents. It
 * notes when each revision comes into force at each of them; `GET /observations` tells, `POST /stop` and `POST /start`
 * end entries and start them anew.
 */
import Router from '@koa/router';
import { z } from 'zod';
import type { Row } from '../../src/clients/table-service.js';
import { composeEntry, type EntryComponents } from '../../src/entry/entry.js';
import type { Startable } from '../../src/model/startable.js';
import type { TrafficCounters } from '../../src/protocol/connection.js';
import { createApplication, httpServer, readJson } from '../../src/server/http-server.js';
import { HollowAgent } from './hollow-agent.js';
import { entrySettingsOf, type ScalePlan } from './scale-plan.js';

const entry = z.strictObject({
  name: z.string(),
  region: z.string(),
  zone: z.string(),
  callers: z.string(),
  peers: z.string(),
});
const agent = z.strictObject({ name: z.string(), region: z.string(), zone: z.string() });

/** Settings of `thistleway bench hollow`. */
export const hollowHostSettings = z.strictObject({
  listen: z.string(),
  platform: z.string(),
  plan: z.strictObject({ entries: z.array(entry), agents: z.array(agent), zones: z.array(z.string()) }),
  /** Names of the entries and agents that this process holds. */
  entries: z.array(z.string()),
  agents: z.array(z.string()),
});
export type HollowHostSettings = z.output<typeof hollowHostSettings>;

/** What one host saw. */
export interface HollowObservations {
  /** Per declared resource and its revision: when it came into force, in milliseconds since 1970, and where. */
  inForce: Array<{ name: string; revision: number; at: number; role: 'entry' | 'agent' }>;
  /** Times that a process went back to an older revision. */
  reverts: number;
  entries: Array<{ name: string; revision: number; agents: number; entries: number; controlBytes: number }>;
  agents: Array<{ name: string; controlBytes: number }>;
}

interface HostedEntry {
  components: EntryComponents;
  /** Highest revision seen of each row. */
  rows: Map<string, number>;
}

/** The host. */
export class HollowHost implements Startable {
  readonly #settings: HollowHostSettings;
  readonly #plan: ScalePlan;
  readonly #entries = new Map<string, HostedEntry>();
  readonly #agents = new Map<string, HollowAgent>();
  readonly #inForce: HollowObservations['inForce'] = [];
  readonly #server: Startable;
  #reverts = 0;

  constructor(settings: HollowHostSettings) {
    this.#settings = settings;
    this.#plan = settings.plan;
    this.#server = httpServer(settings.listen, this.#application());
  }

  async start(): Promise<void> {
    await Promise.all(this.#settings.entries.map((name) => this.#startEntry(name)));
    const configured = this.#plan.entries.map(({ peers, zone }) => ({ address: peers, zone }));
    const own = new Set(this.#settings.agents);
    for (const plan of this.#plan.agents.filter(({ name }) => own.has(name))) {
      const seen = new Map<string, number>();
      const hollow = new HollowAgent(plan, configured, (revision, deployment) => {
        if ((seen.get(deployment) ?? 0) >= revision) return;
        seen.set(deployment, revision);
        this.#inForce.push({ name: deployment, revision, at: Date.now(), role: 'agent' });
      });
      this.#agents.set(plan.name, hollow);
      await hollow.start();
    }
    await this.#server.start();
  }

  async stop(): Promise<void> {
    await this.#server.stop();
    await Promise.all([...this.#agents.values()].map((hollow) => hollow.stop()));
    await Promise.all([...this.#entries.keys()].map((name) => this.#stopEntry(name)));
  }

  async #startEntry(name: string): Promise<void> {
    const planned = this.#plan.entries.find((candidate) => candidate.name === name);
    if (planned === undefined) return;
    const components = composeEntry(entrySettingsOf(planned, this.#plan, this.#settings.platform));
    const hosted = { components, rows: new Map<string, number>() };
    components.configuration.listen((rows) => this.#note(hosted, rows));
    this.#entries.set(name, hosted);
    await components.entry.start();
  }

  async #stopEntry(name: string): Promise<void> {
    const hosted = this.#entries.get(name);
    this.#entries.delete(name);
    await hosted?.components.entry.stop();
  }

  #note(hosted: HostedEntry, rows: readonly Row[]): void {
    for (const { table, key, revision } of rows) {
      if ((hosted.rows.get(`${table}/${key}`) ?? 0) > revision) this.#reverts++;
      hosted.rows.set(`${table}/${key}`, revision);
      const [, name] = key.split('/');
      if (table === 'resources') this.#inForce.push({ name, revision, at: Date.now(), role: 'entry' });
    }
  }

  #observations(): HollowObservations {
    return {
      inForce: this.#inForce,
      reverts: this.#reverts,
      entries: [...this.#entries].map(([name, { components }]) => ({
        name,
        revision: components.configuration.revision,
        agents: components.directory.rows.size,
        entries: components.entries.rows.size + 1,
        controlBytes: controlBytesOf(components.counters),
      })),
      agents: [...this.#agents].map(([name, { counters }]) => ({
        name,
        controlBytes: controlBytesOf(counters),
      })),
    };
  }

  #application() {
    const router = new Router();
    router.get('/observations', (context) => {
      context.body = this.#observations();
    });
    router.post('/stop', async (context) => {
      const { names } = await readJson<{ names: string[] }>(context);
      await Promise.all(names.map((name) => this.#stopEntry(name)));
      context.status = 204;
    });
    router.post('/start', async (context) => {
      const { names } = await readJson<{ names: string[] }>(context);
      await Promise.all(names.map((name) => this.#startEntry(name)));
      context.status = 204;
    });
    const app = createApplication();
    app.use(router.routes());
    return app.callback();
  }
}

function controlBytesOf({ controlSent, controlReceived }: TrafficCounters): number {
  return controlSent + controlReceived;
}
