/** Tests how the bundled entry stops on SIGTERM, as a process with a stand-in for the platform's store. */
import { type ChildProcess, execFileSync, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { open } from 'node:fs/promises';
import { request as httpRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { build } from 'esbuild';
import { afterAll, afterEach, beforeAll, beforeEach, expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { StandInBackEnd } from '../forwarding/stand-in-back-end.js';
import { until } from '../support.js';
import { workerRow } from './wire-rows.js';
import { startStoreServer } from './wire-store.js';

const HOST = 'stop.example';
const GRACE_SECONDS = 4;
/** Each process has its own loopback address, because its metrics port is fixed. */
const SUBNET = 1 + (process.pid % 200);

let folder: string;
let store: MemoryStore;
let storeAddress: string;
let stopStore: () => void;
let backEnd: StandInBackEnd;
let started = 0;
/** Makes the back end answer the request that it holds. */
let releaseAnswer: () => void;

interface EntryProcess {
  child: ChildProcess;
  callers: string;
  output: string;
  exit: Promise<{ code: number | null; signal: NodeJS.Signals | null }>;
}

beforeAll(async () => {
  folder = mkdtempSync(join(tmpdir(), 'thistleway-stop-'));
  await build({
    entryPoints: ['platform/main.ts'],
    outfile: join(folder, 'roles.cjs'),
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    mainFields: ['module', 'main'],
    external: ['msgpackr-extract', 'bufferutil', 'utf-8-validate'],
    logLevel: 'warning',
  });
});

afterAll(() => rmSync(folder, { recursive: true }));

beforeEach(async () => {
  store = new MemoryStore();
  const wire = await startStoreServer(store);
  stopStore = wire.stop;
  backEnd = await new StandInBackEnd((request, response) => {
    releaseAnswer = () => {
      response.writeHead(200, { 'attempt-id': String(request.headers['attempt-id']) });
      response.end('done');
    };
  }).start();
  const route = { name: 'once', host: HOST, path_prefix: '/once/', kind: 'non_idempotent', service: 'plain' };
  const bounds = { timeout_ms: 20_000, slo_ms: 400, max_attempts: 1, priority: 1 };
  const configuration = {
    version: 1,
    routes: [{ ...route, ...bounds }],
    services: [{ name: 'plain', max_conns: 50 }],
  };
  store.write('op', 'config', JSON.stringify(configuration));
  const record = workerRow({ service: 'plain', address: backEnd.address, slots: 8, layers: null });
  store.write('servers', 'i-1', JSON.stringify(record));
  storeAddress = wire.address;
});

const processes: EntryProcess[] = [];

afterEach(async () => {
  for (const { child } of processes.splice(0)) child.kill('SIGKILL');
  await backEnd.stop();
  stopStore();
});

/** Starts an entry with its settings in a file. */
async function startEntry(): Promise<EntryProcess> {
  const file = join(folder, `entry-${++started}.json`);
  const callers = await freeAddress();
  writeFileSync(file, settingsOf(callers));
  return spawnEntry(file, callers);
}

function settingsOf(callers: string): string {
  const ip = `127.${SUBNET}.77.${started}`;
  return JSON.stringify({
    node_name: `entry-${started}`,
    machine_class: 'front',
    ip,
    zone: 'zone-a',
    region: 'region-a',
    port_range: [7_700, 7_715],
    zones: { 'zone-a': 'region-a' },
    listen: { front: callers, ready: `${ip}:8002`, control: `${ip}:8000`, directory: `${ip}:8009` },
    bounds: { grace_s: GRACE_SECONDS, ttl_max_s: 1 },
    platform: { address: storeAddress },
  });
}

function spawnEntry(settingsFile: string, callers: string): EntryProcess {
  const child = spawn(process.execPath, [join(folder, 'roles.cjs'), 'entry'], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, THISTLEWAY_BOOT: settingsFile },
  });
  const exit = new Promise<{ code: number | null; signal: NodeJS.Signals | null }>((resolve) =>
    child.once('exit', (code, signal) => resolve({ code, signal })),
  );
  const one: EntryProcess = { child, callers, output: '', exit };
  for (const stream of [child.stdout, child.stderr])
    stream?.on('data', (bytes) => {
      one.output += bytes.toString();
    });
  processes.push(one);
  return one;
}

/** Sends a request; the status is 0 if the connection ends without a response. */
function send(callers: string): Promise<{ status: number; body: string; whole: boolean }> {
  const [host, port] = callers.split(':');
  return new Promise((resolve) => {
    const headers = { host: HOST, 'attempt-id': 'r1' };
    const sent = httpRequest({ host, port, path: '/once/a', headers }, (response) => {
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

async function waitUntilServing(one: EntryProcess): Promise<void> {
  await until(() => one.output.includes('entry started'), 'the start');
  await until(() => one.output.includes('configuration taken'), 'the configuration');
}

/** Resolves with how the process ended, or with `undefined` if it still runs at the end of its grace period. */
function exitWithinGrace({ exit }: EntryProcess): Promise<Awaited<EntryProcess['exit']> | undefined> {
  return Promise.race([
    exit,
    new Promise<undefined>((resolve) => setTimeout(() => resolve(undefined), GRACE_SECONDS * 1_000)),
  ]);
}

it('a second SIGTERM cuts no answer', async () => {
  const one = await startEntry();
  await waitUntilServing(one);
  const answer = send(one.callers);
  await until(() => backEnd.requests.length === 1, 'the request at its back end');
  one.child.kill('SIGTERM');
  const ended = exitWithinGrace(one);
  await until(() => one.output.includes('entry leaves'), 'the first SIGTERM to be handled');
  one.child.kill('SIGTERM');
  setTimeout(() => releaseAnswer(), 300);
  expect(await answer).toEqual({ status: 200, body: 'done', whole: true });
  expect(await ended).toEqual({ code: 0, signal: null });
});

it('an entry whose store and back end hang exits by itself and answers the pending request', async () => {
  const one = await startEntry();
  await waitUntilServing(one);
  store.faults.silent = true;
  const answer = send(one.callers);
  await until(() => backEnd.requests.length === 1, 'the request at its back end');
  one.child.kill('SIGTERM');
  const ended = exitWithinGrace(one);
  // 504, since the request may have been executed.
  expect(await answer).toMatchObject({ status: 504, whole: true });
  expect(await ended).toEqual({ code: 0, signal: null });
});

it('a SIGTERM during the start lets the start finish, and the process exits by itself', async () => {
  // The process reads its settings from a pipe, so that its start blocks until the test writes them.
  const pipe = join(folder, `entry-${++started}.pipe`);
  execFileSync('mkfifo', [pipe]);
  const callers = await freeAddress();
  const one = spawnEntry(pipe, callers);
  const settings = await open(pipe, 'w');
  one.child.kill('SIGTERM');
  const ended = exitWithinGrace(one);
  await settings.writeFile(settingsOf(callers));
  await settings.close();
  expect(await ended).toEqual({ code: 0, signal: null });
  expect(one.output).toContain('entry leaves');
  expect(one.output).toContain('entry stops');
});
