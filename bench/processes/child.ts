/** Processes of the system and its stand-ins, started for a demonstration or a measurement and ended after it. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { isSea } from 'node:sea';

const START_TIMEOUT = 20_000;
const READY_CHECK_INTERVAL = 50;

/** Ports below the range from which the operating system takes those of outgoing connections. */
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;

/**
 * Processes that run tests side by side, of which each takes ports of its own share: a port is free until whoever was given it
 * listens there, which takes seconds on a busy machine, and another process could be given it meanwhile.
 */
const SHARES = 24;
const SHARE_SIZE = Math.floor((LAST_PORT - FIRST_PORT) / SHARES);
/** Shares that lie between those of two runs of tests beside one another: each has at most this many processes. */
const SHARES_OF_A_RUN = 4;
const run = Number(process.env.TEST_RUN ?? 0);
const share = (Number(process.env.VITEST_POOL_ID ?? 0) + SHARES_OF_A_RUN * run) % SHARES;

const given = new Set<number>();

/** A free port of the loopback address, given once by this process. */
export async function freeAddress(): Promise<string> {
  for (;;) {
    const port = FIRST_PORT + share * SHARE_SIZE + Math.floor(Math.random() * SHARE_SIZE);
    if (given.has(port) || !(await isFree(port))) continue;
    given.add(port);
    return `127.0.0.1:${port}`;
  }
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** A started process. */
export interface StartedProcess {
  name: string;
  pid: number;
  child: ChildProcess;
  /** Arguments, for starting it again under the same settings. */
  arguments: string[];
  /** Last lines that it wrote to standard error. */
  errors: string[];
}

const liveGroups = new Set<ProcessGroup>();
let endsGroups = false;

/** Whatever ends this process ends the processes that it started. */
function endGroupsWithProcess(): void {
  if (endsGroups) return;
  endsGroups = true;
  process.once('exit', () => {
    for (const group of liveGroups) group.stopAll();
  });
  process.once('SIGINT', () => process.exit(130));
  process.once('SIGTERM', () => process.exit(143));
}

/** All processes of one run; they end with it. */
export class ProcessGroup {
  readonly #folder = mkdtempSync(join(tmpdir(), 'thistleway-'));
  readonly #processes = new Map<string, StartedProcess>();

  constructor() {
    endGroupsWithProcess();
    liveGroups.add(this);
  }

  /** Starts `thistleway COMMAND --config F` with these settings. */
  start(name: string, command: string[], settings: object): StartedProcess {
    const file = join(this.#folder, `${name}.jsonc`);
    writeFileSync(file, JSON.stringify(settings, undefined, 2));
    return this.#spawn(name, [...command, '--config', file]);
  }

  /** Starts a process again with the settings that it had. */
  restart(name: string): StartedProcess {
    const earlier = this.get(name);
    return this.#spawn(name, earlier.arguments);
  }

  /** Returns when a process has ended. */
  async ended(name: string): Promise<void> {
    const { child } = this.get(name);
    if (child.exitCode !== null || child.signalCode !== null) return;
    await new Promise<void>((resolve) => child.once('exit', () => resolve()));
  }

  get(name: string): StartedProcess {
    const found = this.#processes.get(name);
    if (found === undefined) throw new Error(`no process ${name}`);
    return found;
  }

  /** The last words of processes that have ended, for whoever waits for them in vain. */
  lastWords(): string {
    const ended = [...this.#processes.values()].filter(({ child }) => child.exitCode !== null);
    const words = ended.map(
      ({ name, child, errors }) => `${name} ended with ${child.exitCode}: ${errors.at(-1) ?? ''}`,
    );
    return words.join('; ');
  }

  /** Ends a process at once. */
  kill(name: string, signal: NodeJS.Signals = 'SIGKILL'): void {
    this.get(name).child.kill(signal);
  }

  stopAll(): void {
    for (const { child } of this.#processes.values()) child.kill('SIGKILL');
    this.#processes.clear();
    liveGroups.delete(this);
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #spawn(name: string, commandLine: string[]): StartedProcess {
    const script = isSea() ? [] : [process.argv[1]];
    const child = spawn(process.execPath, [...script, ...commandLine], {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    const errors: string[] = [];
    child.stderr?.on('data', (data: Buffer) => {
      errors.push(...data.toString('utf8').trimEnd().split('\n'));
      errors.splice(0, Math.max(0, errors.length - 20));
    });
    const started: StartedProcess = { name, pid: child.pid ?? 0, child, arguments: commandLine, errors };
    this.#processes.set(name, started);
    return started;
  }
}

/** Waits until `url` answers. */
export async function waitForHttp(url: string): Promise<void> {
  const endsAt = performance.now() + START_TIMEOUT;
  while (performance.now() < endsAt) {
    try {
      const answer = await fetch(url, { signal: AbortSignal.timeout(1_000) });
      await answer.arrayBuffer();
      if (answer.status < 500) return;
    } catch {
      // Not there yet.
    }
    await new Promise((resolve) => setTimeout(resolve, READY_CHECK_INTERVAL));
  }
  throw new Error(`${url} does not answer`);
}
