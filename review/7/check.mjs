/**
 * DRAIN: all entries are killed at once and started again while a part of many workers leaves. The list of workers has several pages;
 * a worker whose entry goes while the pages are read must get no request later than `drain_ms` after that.
 */
import { Agent } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, configuration, Deployment, runCase } from '../stand-ins-2/deployment.mjs';
import { sleep } from '../stand-ins-2/http.mjs';
import { Store } from '../stand-ins-2/store.mjs';
import { Worker } from '../stand-ins-2/worker.mjs';

const HOST = '127.0.63.1';
const ZONE = 'kyalami-dc';
const DRAIN_MS = 2_000;
/** Time for which a leaving worker serves on beyond that, in milliseconds. */
const LONGER_MS = 8_000;
/** Workers of the service that the clients use, and of another one. */
const WORKERS = 100;
const OTHER_WORKERS = 1_100;
/** `share` of a scale-in. */
const LEAVING_SHARE = 0.15;
/** Time over which the workers of one scale-in leave, in milliseconds. */
const LEAVING_MS = 1_000;
const ROUNDS = 6;
const PAUSE_MS = 3;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, onEnd, hasTrouble }) => {
  const store = new Store();
  onEnd(() => store.stop());
  await store.start(HOST);
  const settings = configuration({ kind: 'non_idempotent' });
  settings.services.push({ ...settings.services[0], name: 'other' });
  store.put('op', 'config', settings);
  store.onCall = ({ url }) => {
    if (url.pathname === '/v1/rows-get' && url.searchParams.get('table') === 'servers')
      record.note(`a page of the workers is read from ${JSON.stringify(url.searchParams.get('from') ?? '')}`);
  };

  const broken = [];
  const serving = [];
  let started = 0;
  const startWorker = async () => {
    const id = `i-${String(++started).padStart(5, '0')}`;
    const worker = new Worker(store, { id, service: 'urgent', zone: ZONE, workMs: 5 });
    worker.onArrival = (headers) => {
      if (worker.leftAt === undefined) return;
      const after = performance.now() - worker.leftAt;
      if (after <= DRAIN_MS) return;
      record.note(
        `request ${headers['attempt-id']} reaches ${id} ${after.toFixed(0)} ms after its entry went`,
      );
      broken.push(`${headers['attempt-id']} reached ${id} ${after.toFixed(0)} ms after its entry went`);
    };
    onEnd(() => worker.stop());
    await worker.start(HOST);
    serving.push(worker);
  };
  for (let index = 0; index < WORKERS; index++) await startWorker();
  for (let index = 0; index < OTHER_WORKERS; index++) {
    const other = new Worker(store, { id: `o-${index}`, service: 'other', zone: ZONE });
    onEnd(() => other.stop());
    await other.start(HOST);
  }
  record.note(`${WORKERS} and ${OTHER_WORKERS} workers serve`);

  const deployment = new Deployment();
  onEnd(() => deployment.stop());
  const entries = await deployment.plan([
    { zone: ZONE, region: 'highveld' },
    { zone: ZONE, region: 'highveld' },
  ]);
  const startAll = () => Promise.all(entries.map((entry) => deployment.start(entry, store.address)));
  await startAll();
  record.note('both entries are ready');

  const agent = new Agent({ keepAlive: true });
  onEnd(() => agent.destroy());
  const counts = {};
  const useFor = async (milliseconds) => {
    const endsAt = performance.now() + milliseconds;
    const calls = [];
    while (performance.now() < endsAt) {
      for (const entry of entries)
        calls.push(
          call(entry, { agent }).then(({ status }) => {
            counts[status] = (counts[status] ?? 0) + 1;
          }),
        );
      await sleep(PAUSE_MS);
    }
    await Promise.all(calls);
  };
  /** A part of the workers leaves one after the other, without saying so. */
  const scaleIn = async () => {
    const count = Math.round(LEAVING_SHARE * serving.length);
    for (let index = 0; index < count; index++) {
      const [leaving] = serving.splice(Math.floor(Math.random() * serving.length), 1);
      void leaving.leaveUnannounced(LONGER_MS);
      leaving.leftAt = performance.now();
      record.note(`the entry of ${leaving.id} goes`);
      await sleep(LEAVING_MS / count);
    }
  };

  for (let round = 0; round < ROUNDS; round++) {
    record.note('all entries are killed');
    for (const entry of entries) entry.process.kill('SIGKILL');
    const left = hasTrouble ? scaleIn() : sleep(LEAVING_MS);
    await startAll();
    record.note('both entries are ready again');
    await left;
    // A machine counts as in touch 3 s after its start.
    await sleep(3_000);
    await useFor(3_000);
    while (serving.length < WORKERS) await startWorker();
    await sleep(2_000);
  }
  record.note(`answers by status: ${JSON.stringify(counts)}`);
  return broken;
});
