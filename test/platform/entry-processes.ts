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
    const route = { host: HOST, service: 'plain', timeout_ms: 20_000, slo_ms: 400, priority: 1 };
    const configuration = {
      version: 1,
      routes: [
        { ...route, name: 'once', path_prefix: '/once/', kind: 'non_idempotent', max_attempts: 1 },
        { ...route, name: 'again', path_prefix: '/again/', kind: 'idempotent', max_attempts: 2 },
      ],
      services: [{ name: 'plain', max_conns: 50 }],
    };
    this.store.write('op', 'config', JSON.stringify(configuration));
    this.list('i-1', { address: this.backEnd.address });
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

  /** Starts an entry with its settings in a file. */
  async startEntry(environment: Record<string, string> = {}): Promise<EntryProcess> {
    const { file, callers, settings } = await this.nextSettings();
    writeFileSync(file, settings);
    return this.spawn(file, callers, environment);
  }

  /** Settings of another entry, and the path of its settings file, which is not written. */
  async nextSettings(): Promise<{ file: string; callers: string; settings: string }> {
    const number = ++this.#started;
    const callers = await freeAddress();
    const ip = `127.${SUBNET}.${this.#network}.${number}`;
    const settings = JSON.stringify({
      node_name: `entry-${number}`,
      machine_class: 'front',
      ip,
      zone: 'zone-a',
      region: 'region-a',
      port_range: [7_700, 7_715],
      zones: { 'zone-a': 'region-a' },
      listen: { front: callers, ready: `${ip}:8002`, control: `${ip}:8000`, directory: `${ip}:8009` },
      bounds: { grace_s: GRACE_SECONDS, ttl_max_s: 1 },
      platform: { address: this.#storeAddress },
    });
    return { file: join(this.folder, `entry-${number}.json`), callers, settings };
  }

  spawn(settingsFile: string, callers: string, environment: Record<string, string> = {}): EntryProcess {
    const child = spawn(process.execPath, [join(this.folder, 'roles.cjs'), 'entry'], {
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
