/**
 * A small deployment on loopback addresses: entries started with the command of the deploy file, each on an address of its
 * own, and the store stand-in. Every process is ended by its own handle.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, get } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Store, StoreLink } from './store.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const PORTS = { control: 8_000, ready: 8_002, front: 8_005, store: 8_007, directory: 8_009, worker: 8_740 };
const START_TIMEOUT = 15_000;
/** Time of a heartbeat of workers, in milliseconds, as in the settings of the pages. */
export const HEARTBEAT = 1_200;

export class Deployment {
  store = new Store();
  entries = [];
  #folder = mkdtempSync(join(tmpdir(), 'review-'));
  #subnet = 0;
  #bounds;
  #workers = [];
  #heartbeats;
  #sequence = 0;

  constructor(bounds = {}) {
    this.#bounds = bounds;
    process.once('exit', () => this.#kill());
    for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => process.exit(2));
    process.once('uncaughtException', (error) => {
      process.stderr.write(`${error.stack}\n`);
      process.exit(2);
    });
  }

  /** Address `index` of the deployment's network. */
  ip(index) {
    return `127.${this.#subnet}.7.${index}`;
  }

  workerAddress(index) {
    return `${this.ip(100 + index)}:${PORTS.worker}`;
  }

  /** Chooses a loopback network whose ports are free. */
  async chooseNetwork() {
    for (let tries = 0; tries < 20; tries++) {
      this.#subnet = 20 + Math.floor(Math.random() * 220);
      if (await isFree(this.ip(1), PORTS.front)) return;
    }
    throw new Error('no free loopback network');
  }

  /** Writes the operator's configuration. */
  configure(configuration) {
    this.store.write('op', 'config', configuration);
  }

  /** Registers a worker in the store and writes its heartbeats until it is removed. */
  register(worker) {
    this.#workers.push(worker);
    this.#writeHeartbeat(worker);
    this.#heartbeats ??= setInterval(() => {
      for (const one of this.#workers) this.#writeHeartbeat(one);
    }, HEARTBEAT);
  }

  /** Writes the record of a worker at once, as after its restart. */
  refresh(worker) {
    this.#writeHeartbeat(worker);
  }

  /** Removes the record of a worker; returns the time of the acknowledgement. */
  unregister(worker) {
    this.#workers = this.#workers.filter((one) => one !== worker);
    return this.store.write('servers', worker.id, undefined);
  }

  #writeHeartbeat({ id, service, address, zone, slots, born, coldUntil = 0 }) {
    const seq = ++this.#sequence;
    this.store.write('servers', id, {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      cold_left_ms: Math.max(0, Math.round(coldUntil - performance.now())),
      seq,
      ...(born === undefined ? {} : { born }),
    });
  }

  /** Starts entries in `zones`, one in each place of the list, and waits until all are ready. */
  async startEntries(zones) {
    const seeds = zones.slice(0, 3).map((_, index) => `${this.ip(index + 1)}:${PORTS.control}`);
    for (const [index, zone] of zones.entries()) await this.#startEntry(index + 1, zone, seeds);
    const limit = performance.now() + START_TIMEOUT;
    for (const entry of this.entries) {
      while ((await statusOf(`http://${entry.ready}/v1/readyz`)) !== 200) {
        if (performance.now() > limit) throw new Error(`${entry.name} is not ready`);
        await pause(100);
      }
    }
  }

  async #startEntry(index, zone, seeds) {
    const ip = this.ip(index);
    const name = `entry-${index}`;
    const link = new StoreLink(this.store, this.ip(200 + index), PORTS.store);
    await link.open();
    const settings = {
      node_name: name,
      role: 'entry',
      machine_class: 'front',
      serves: ['front', 'control', 'directory'],
      ip,
      zone,
      region: zone,
      port_range: [7_700, 7_715],
      seeds,
      bootstrap: true,
      discovery: 'platform',
      entry: 'directory',
      heartbeat_ms: HEARTBEAT,
      zones: Object.fromEntries(['zone-a', 'zone-b', 'zone-c'].map((one) => [one, one])),
      listen: {
        front: `${ip}:${PORTS.front}`,
        ready: `${ip}:${PORTS.ready}`,
        control: `${ip}:${PORTS.control}`,
        directory: `${ip}:${PORTS.directory}`,
      },
      limits: { cpu_share: 1, cores: 1, memory_mb: 350, max_fds: 4_200, link_mbps: 1_000 },
      bounds: {
        contact_ms: 3_000,
        drain_ms: 2_000,
        grace_s: 8,
        config_apply_ms: 2_000,
        retry_budget: 0.2,
        budget_window_s: 10,
        budget_slack: 100,
        version_ms: 8_000,
        ttl_max_s: 5,
        ...this.#bounds,
      },
      platform: { address: link.address, form: 'table' },
    };
    const path = join(this.#folder, `${name}.json`);
    writeFileSync(path, JSON.stringify(settings));
    const output = openSync(join(this.#folder, `${name}.log`), 'a');
    const [program, ...words] = entryCommand();
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, words, {
      cwd: ROOT,
      stdio: ['ignore', output, output],
      env: { PATH, HOME, LANG, THISTLEWAY_BOOT: path },
    });
    this.entries.push({
      name,
      zone,
      link,
      child,
      front: settings.listen.front,
      ready: settings.listen.ready,
    });
  }

  /** Lines of an entry's log with one of these messages. */
  logLines(entry, messages) {
    const text = readFileSync(join(this.#folder, `${entry.name}.log`), 'utf8');
    return text
      .split('\n')
      .filter((line) => messages.some((message) => line.includes(`"message":"${message}"`)));
  }

  #kill() {
    for (const { child } of this.entries) child.kill('SIGKILL');
  }

  /** Ends everything that was started here. */
  async stop() {
    clearInterval(this.#heartbeats);
    await Promise.all(
      this.entries.map(({ child, link }) => {
        link.cut();
        if (child.exitCode !== null || child.signalCode !== null) return undefined;
        const ended = new Promise((resolve) => child.once('exit', resolve));
        child.kill('SIGKILL');
        return ended;
      }),
    );
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** The command of the role `entry` in the deploy file. */
function entryCommand() {
  const deployFile = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  return /\[roles\.entry\]\s+run = "([^"]+)"/.exec(deployFile)[1].split(' ');
}

async function isFree(host, port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

function statusOf(url) {
  return new Promise((resolve) => {
    const request = get(url, { timeout: 1_000 }, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(0));
  });
}

export function pause(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
