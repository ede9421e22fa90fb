/** Bundled entries as processes, with a stand-in for the platform's store and one back end of the service `plain`. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { build } from 'esbuild';
import { freeAddress } from '../../bench/processes/child.js';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { StandInBackEnd } from '../forwarding/stand-in-back-end.js';
import { until } from '../support.js';
import { workerRow } from './wire-rows.js';
import { startStoreServer } from './wire-store.js';

export const HOST = 'stop.example';
export const GRACE_SECONDS = 4;
/** Name of a service whose back ends are engines. */
export const ENGINES = 'engines';
const ENGINE = { slots: 8, models: [{ name: 'm' }], layers: 16, chunks: 48, chunk_bytes: 4_096, step_ms: 1 };
/** Each process has its own loopback address, because its metrics port is fixed. */
const SUBNET = 1 + (process.pid % 200);

/** How a process ended. */
export interface ProcessExit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

export interface EntryProcess {
  child: ChildProcess;
  callers: string;
  output: string;
  exit: Promise<ProcessExit>;
}

/** What a caller received; the status is 0 if the connection ended without a response. */
export interface ReceivedAnswer {
  status: number;
  body: string;
  whole: boolean;
}

/** The processes of one test file, and what they meet. */
export class EntryProcesses {
  readonly folder = mkdtempSync(join(tmpdir(), 'thistleway-entries-'));
  readonly #processes: EntryProcess[] = [];
  readonly #network: number;
  /** Seeds of the processes that are started. */
  seeds: string[] = [];
  store = new MemoryStore();
  backEnd!: StandInBackEnd;
  #storeAddress = '';
  #stopStore = () => {};
  #started = 0;
  #requests = 0;

  /** @param network - distinguishes the loopback addresses of test files, 1 to 250 */
  constructor(network: number) {
    this.#network = network;
  }

  /** Bundles the program whose main module is `entryPoint`. */
  async build(entryPoint = 'platform/main.ts'): Promise<void> {
    await build({
      entryPoints: [entryPoint],
      outfile: join(this.folder, 'roles.cjs'),
      bundle: true,
      platform: 'node',
      format: 'cjs',
      target: 'node20',
      mainFields: ['module', 'main'],
      external: ['msgpackr-extract', 'bufferutil', 'utf-8-validate'],
      logLevel: 'warning',
    });
  }

  removeFolder(): void {
    rmSync(this.folder, { recursive: true });
  }

  /** Starts the store and the back end, and declares routes to it. */
  async start(script: ConstructorParameters<typeof StandInBackEnd>[0]): Promise<void> {
    this.store = new MemoryStore();
    const wire = await startStoreServer(this.store);
    this.#stopStore = wire.stop;
    this.#storeAddress = wire.address;
    this.backEnd = await new StandInBackEnd(script).start();
    this.configure(1);
    this.list('i-1', { address: this.backEnd.address });
  }

  /** Writes a configuration with the usual routes and more of them; each service is declared. */
  configure(version: number, more: ReadonlyArray<{ service: string; [field: string]: unknown }> = []): void {
    const route = { host: HOST, service: 'plain', timeout_ms: 20_000, slo_ms: 400, priority: 1 };
    const configuration = {
      version,
      routes: [
        { ...route, name: 'once', path_prefix: '/once/', kind: 'non_idempotent', max_attempts: 1 },
        { ...route, name: 'again', path_prefix: '/again/', kind: 'idempotent', max_attempts: 2 },
        { ...route, name: 'flow', path_prefix: '/flow/', kind: 'stream', resumable: true, max_attempts: 2 },
        ...more.map((fields) => ({ ...route, ...fields })),
      ],
      services: ['plain', ...more.map(({ service }) => service)].map((name) => ({
        name,
        max_conns: 50,
        ...(name === ENGINES ? { engine: ENGINE } : {}),
      })),
    };
    this.store.write('op', 'config', JSON.stringify(configuration));
  }

  /** Number of the process that is started next. */
  get nextNumber(): number {
    return this.#started + 1;
  }

  /** Writes the record of a back end; fields of `change` replace the usual ones. */
  list(id: string, change: object): void {
    const record = workerRow({ service: 'plain', slots: 8, layers: null, ...change });
    this.store.write('servers', id, JSON.stringify(record));
  }

  /** Ends all processes, the back end and the store. */
  async stop(): Promise<void> {
    for (const { child } of this.#processes.splice(0)) child.kill('SIGKILL');
    await this.backEnd.stop();
    this.#stopStore();
  }

  /**
   * Starts a process with its settings in a file.
   * @param changes - fields of the settings that replace the usual ones
   */
  async startProcess(
    role: 'entry' | 'agent',
    changes: object = {},
    environment: Record<string, string> = {},
  ): Promise<EntryProcess> {
    const { file, callers, settings } = await this.nextSettings(changes);
    writeFileSync(file, settings);
    return this.spawn(file, callers, { role, environment });
  }

  startEntry(environment: Record<string, string> = {}): Promise<EntryProcess> {
    return this.startProcess('entry', {}, environment);
  }

  /** Settings of another process, and the path of its settings file, which is not written. */
  async nextSettings(changes: object = {}): Promise<{ file: string; callers: string; settings: string }> {
    const number = ++this.#started;
    const callers = await freeAddress();
    const ip = this.ip(number);
    const settings = JSON.stringify({
      node_name: `entry-${number}`,
      machine_class: 'front',
      ip,
      zone: 'zone-a',
      region: 'region-a',
      port_range: [7_700, 7_715],
      seeds: this.seeds,
      zones: { 'zone-a': 'region-a' },
      listen: { front: callers, ready: `${ip}:8002`, control: `${ip}:8000`, directory: `${ip}:8009` },
      bounds: { grace_s: GRACE_SECONDS, ttl_max_s: 1 },
      platform: { address: this.#storeAddress },
      ...changes,
    });
    return { file: join(this.folder, `entry-${number}.json`), callers, settings };
  }

  /** Address of the process that was started as number `number`, from 1 on. */
  ip(number: number): string {
    return `127.${SUBNET}.${this.#network}.${number}`;
  }

  spawn(
    settingsFile: string,
    callers: string,
    { role = 'entry', environment = {} }: { role?: string; environment?: Record<string, string> } = {},
  ): EntryProcess {
    const child = spawn(process.execPath, [join(this.folder, 'roles.cjs'), role], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...environment, THISTLEWAY_BOOT: settingsFile },
    });
    const exit = new Promise<ProcessExit>((resolve) =>
      child.once('exit', (code, signal) => resolve({ code, signal })),
    );
    const one: EntryProcess = { child, callers, output: '', exit };
    for (const stream of [child.stdout, child.stderr])
      stream?.on('data', (bytes) => {
        one.output += bytes.toString();
      });
    this.#processes.push(one);
    return one;
  }

  /** Sends a request on a connection of its own. */
  send(callers: string, path = '/once/a'): Promise<ReceivedAnswer> {
    const [host, port] = callers.split(':');
    return new Promise((resolve) => {
      const headers = { host: HOST, 'attempt-id': `r${++this.#requests}` };
      const sent = httpRequest({ host, port, path, headers }, (response) => {
        let body = '';
        response.on('data', (part) => {
          body += part;
        });
        const end = () => resolve({ status: response.statusCode ?? 0, body, whole: response.complete });
        response.on('end', end);
        response.on('error', end);
      });
      sent.on('error', () => resolve({ status: 0, body: '', whole: false }));
      sent.end();
    });
  }
}

export async function waitUntilServing(one: EntryProcess): Promise<void> {
  await until(() => one.output.includes('entry started'), 'the start');
  await until(() => one.output.includes('configuration taken'), 'the configuration');
}

/** Resolves with how the process ended, or with undefined if it still runs after `seconds`. */
export function exitWithin(
  { exit }: EntryProcess,
  seconds = GRACE_SECONDS,
): Promise<ProcessExit | undefined> {
  return Promise.race([
    exit,
    new Promise<undefined>((resolve) => setTimeout(() => resolve(undefined), seconds * 1_000)),
  ]);
}
