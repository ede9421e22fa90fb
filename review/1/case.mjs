/**
 * The entry that reads the list of workers for its zone loses its way to the store for less than a second; meanwhile a worker
 * leaves without saying `draining`: its record goes, and it serves on. The other entries of the zone were not disrupted.
 */
import { writeFileSync } from 'node:fs';
import { Agent, createServer, request as httpRequest } from 'node:http';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Deployment, pause } from '../stand-ins/deployment.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'desk.example';
const KEY = 'key-1';
const ENTRIES = ['zone-a', 'zone-a', 'zone-a'];
const WORKERS = 4;
const ROUNDS = 10;
/** Times in milliseconds. */
const ROUND_TIME = 6_000;
const CUT_TIME = 700;
/** When the worker leaves, after the cut began. */
const LEAVES_AFTER = 100;
/** A worker serves on for this long after its record is gone: `drain_ms` and a little longer. Then it ends. */
const SERVES_ON = 2_500;
const DRAIN_BOUND = 2_000;
const CONTACT_TIME = 3_000;
const WORK_TIME = 80;
const REQUEST_INTERVAL = 6;

const startedAt = performance.now();
const record = [];
const note = (text, at = performance.now()) =>
  record.push(`${((at - startedAt) / 1_000).toFixed(3)} s  ${text}`);

const workers = [];
let workersStarted = 0;
/** By attempt: the entry it was sent to. */
const sentTo = new Map();
/** Arrivals at workers whose records were gone. */
const late = [];
const counts = { sent: 0, answered: 0, lost: 0, refused: 0, arrivals: 0 };
/** Disruptions of entries: the entry, when it began and when it ended. */
const cuts = [];

function startWorker(deployment) {
  const index = ++workersStarted;
  const worker = {
    id: `i-desk-${index}`,
    service: 'desk-api',
    address: deployment.workerAddress(index),
    zone: 'zone-a',
    slots: 16,
    goneAt: undefined,
  };
  const [host, port] = worker.address.split(':');
  const server = createServer((request, response) => {
    const attempt = request.headers['attempt-id'];
    const at = performance.now();
    counts.arrivals++;
    if (worker.goneAt !== undefined) late.push({ worker, attempt, at, after: at - worker.goneAt });
    request.resume();
    response.on('error', () => {});
    setTimeout(() => {
      response.writeHead(200, {
        'Attempt-Id': attempt,
        'Server-Seal': `${worker.id}.${attempt}`,
        'Content-Length': 2,
      });
      response.end('ok');
    }, WORK_TIME);
  });
  worker.stop = () => {
    server.close();
    server.closeAllConnections();
  };
  workers.push(worker);
  return new Promise((resolve) => server.listen(Number(port), host, () => resolve(worker)));
}

async function addWorker(deployment) {
  const worker = await startWorker(deployment);
  deployment.register(worker);
  note(`${worker.id} is listed`);
}

/** Sends requests to all entries in turn over kept connections until `stop` is called. */
function startCallers(entries) {
  const agent = new Agent({ keepAlive: true, maxSockets: 64 });
  const timer = setInterval(() => {
    const entry = entries[counts.sent % entries.length];
    const attempt = `a-${++counts.sent}`;
    sentTo.set(attempt, entry);
    const [host, port] = entry.front.split(':');
    const headers = {
      Host: HOST,
      'Attempt-Id': attempt,
      'Deadline-Ms': '1000',
      'Api-Key': KEY,
      'Content-Length': '0',
    };
    const request = httpRequest(
      { host, port, agent, method: 'POST', path: '/desk/save', headers },
      (response) => {
        response.resume();
        if (response.statusCode === 200) counts.answered++;
        else if (response.statusCode === 503 || response.statusCode === 429) counts.refused++;
        else counts.lost++;
      },
    );
    request.on('error', () => counts.lost++);
    request.end();
  }, REQUEST_INTERVAL);
  return () => clearInterval(timer);
}

/** Whether an entry was undisturbed for `contact_ms` before `at`. */
function isInTouch(entry, at) {
  return !cuts.some((cut) => cut.entry === entry && at >= cut.from && at < cut.to + CONTACT_TIME);
}

async function cutReader(deployment) {
  const [entry] = [...deployment.entries].sort((a, b) => b.link.listReadAt - a.link.listReadAt);
  const cut = { entry, from: performance.now(), to: Number.POSITIVE_INFINITY };
  cuts.push(cut);
  note(`${entry.name}, which read the list last, is cut off from the store`);
  entry.link.cut();
  await pause(CUT_TIME);
  await entry.link.open();
  cut.to = performance.now();
  note(`${entry.name} reaches the store again`);
}

async function round(deployment) {
  const [leaving] = workers.filter(({ goneAt }) => goneAt === undefined);
  await addWorker(deployment);
  await pause(1_500);
  const isCut = HAS_TROUBLE ? cutReader(deployment) : undefined;
  await pause(LEAVES_AFTER);
  leaving.goneAt = deployment.unregister(leaving);
  note(`${leaving.id} leaves: its record is gone, acknowledged by the store`, leaving.goneAt);
  setTimeout(leaving.stop, SERVES_ON);
  await isCut;
  await pause(ROUND_TIME - 1_500 - LEAVES_AFTER);
}

/** Requests that reached a worker later than `drain_ms` after the acknowledgement, sent on by entries in touch. */
function violations() {
  return late.filter(({ attempt, at, after }) => after > DRAIN_BOUND && isInTouch(sentTo.get(attempt), at));
}

function configuration() {
  const route = {
    name: 'desk',
    host: HOST,
    path_prefix: '/desk/',
    kind: 'non_idempotent',
    service: 'desk-api',
    timeout_ms: 1_000,
    slo_ms: 200,
    max_attempts: 1,
    priority: 1,
  };
  return {
    version: 1,
    routes: [route],
    services: [{ name: 'desk-api', max_conns: 96 }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'tenant-1', api_keys: [KEY] }],
  };
}

async function main() {
  const deployment = new Deployment({ drain_ms: DRAIN_BOUND, contact_ms: CONTACT_TIME });
  let stopCallers = () => {};
  try {
    await deployment.chooseNetwork();
    deployment.configure(configuration());
    for (let index = 0; index < WORKERS; index++) await addWorker(deployment);
    await deployment.startEntries(ENTRIES);
    await pause(CONTACT_TIME);
    stopCallers = startCallers(deployment.entries);
    for (let index = 0; index < ROUNDS; index++) await round(deployment);
    stopCallers();
    await pause(500);
    const found = violations();
    for (const { worker, attempt, at, after } of found)
      note(
        `${attempt} reached ${worker.id} ${Math.round(after)} ms after it left, from ${sentTo.get(attempt).name}`,
        at,
      );
    record.sort((a, b) => Number.parseFloat(a) - Number.parseFloat(b));
    const { sent, answered, lost, refused, arrivals } = counts;
    note(`${sent} requests sent, ${arrivals} reached workers`);
    note(`${answered} answered with 200, ${refused} refused as not run, ${lost} lost (502, 504 or closed)`);
    note(`${found.length} reached a worker over ${DRAIN_BOUND} ms after it left`);
    note(found.length > 0 ? 'DRAIN broken' : 'DRAIN held');
    if (answered < sent / 2) return 2;
    return found.length > 0 ? 1 : 0;
  } catch (cause) {
    note(`could not run: ${cause}`);
    return 2;
  } finally {
    stopCallers();
    await deployment.stop();
    for (const { stop } of workers) stop();
  }
}

const status = await main();
writeFileSync(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'), `${record.join('\n')}\n`);
process.stdout.write(`${record.at(-1)}\n`);
process.exit(status);
