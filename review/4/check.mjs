/**
 * TWICE: a worker that finds its slots taken refuses with `Not-Executed` and asks for a pause with `Retry-After`. While the worker is
 * disturbed, 3 in 100 of its answers come a second time, late: where the next answer on that connection is due.
 */
import { Agent } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, configuration, Deployment, runCase } from '../stand-ins-2/deployment.mjs';
import { sleep } from '../stand-ins-2/http.mjs';
import { Store } from '../stand-ins-2/store.mjs';
import { Worker } from '../stand-ins-2/worker.mjs';

const HOST = '127.0.61.1';
const EXTRA_SHARE = 0.03;
const PLAY_MS = 95_000;
/** Each entry has one client; the time between two of its requests, in milliseconds. */
const PAUSE_MS = 30;
const ENTRIES = 5;
const SLOTS = 3;
const WORK_MS = 43;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, onEnd, hasTrouble }) => {
  const store = new Store();
  onEnd(() => store.stop());
  await store.start(HOST);
  store.put('op', 'config', configuration({ kind: 'non_idempotent' }));

  const runs = new Map();
  let extras = 0;
  const worker = new Worker(store, {
    id: 'i-1',
    service: 'urgent',
    zone: 'kyalami-dc',
    slots: SLOTS,
    workMs: WORK_MS,
  });
  worker.onRun = ({ 'attempt-id': id }) => {
    record.note(`${id} runs at i-1`);
    runs.set(id, (runs.get(id) ?? 0) + 1);
  };
  /** The answers that come a second time, by connection. */
  const late = new Map();
  let isDisturbed = false;
  const refuse = worker.refuse.bind(worker);
  worker.refuse = (request, response) => {
    const id = request.headers['attempt-id'];
    record.note(`${id} refused by i-1`);
    refuse(request, response, { 'retry-after': '0.2' });
    if (!isDisturbed || Math.random() >= EXTRA_SHARE) return;
    late.set(
      request.socket,
      `HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: ${id}\r\nContent-Length: 0\r\nNot-Executed: 1\r\nRetry-After: 0.2\r\n\r\n`,
    );
  };
  worker.intercept = (request) => {
    const extra = late.get(request.socket);
    if (extra === undefined) return false;
    late.delete(request.socket);
    extras++;
    record.note(`extra answer as ${request.headers['attempt-id']} is due: ${extra.split('\r\n')[1]}`);
    request.socket.write(extra);
    return false;
  };
  onEnd(() => worker.stop());
  await worker.start(HOST);

  const deployment = new Deployment();
  onEnd(() => deployment.stop());
  const zones = [
    { zone: 'kyalami-dc', region: 'highveld' },
    { zone: 'tygerberg-dc', region: 'cape-south' },
    { zone: 'umhlanga-dc', region: 'natal-coast' },
  ];
  const entries = await deployment.plan(
    Array.from({ length: ENTRIES }, (_, index) => zones[index % zones.length]),
  );
  for (const entry of entries) await deployment.start(entry, store.address);
  record.note('the entries are ready');
  await sleep(4_000);
  isDisturbed = hasTrouble;

  const agent = new Agent({ keepAlive: true });
  onEnd(() => agent.destroy());
  const counts = {};
  const answers = new Map();
  const note = ({ id, status }) => {
    counts[status] = (counts[status] ?? 0) + 1;
    answers.set(id, status);
  };
  const endsAt = performance.now() + PLAY_MS;
  /** One request after the other. */
  const sendInTurn = async (entry) => {
    while (performance.now() < endsAt) {
      note(await call(entry, { agent }));
      await sleep(PAUSE_MS);
    }
  };
  await Promise.all(entries.map((entry) => sendInTurn(entry)));
  await sleep(1_000);
  record.note(`answers by status: ${JSON.stringify(counts)}; extra answers: ${extras}`);
  const twice = [...runs]
    .filter(([, count]) => count > 1)
    .map(([id, count]) => `TWICE: ${id} ran ${count} times`);
  const refused = [...answers]
    .filter(([id, status]) => status === 503 && runs.has(id))
    .map(([id]) => `REFUSED: ${id} got 503 and has run`);
  return [...twice, ...refused];
});
