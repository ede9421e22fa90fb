/**
 * DRAIN: workers are replaced one after the other; each says in its entry and in its answers that it leaves. The clients of the
 * time use one of two entries of a zone, and the other one from 2.3 s after the store has taken the entry on.
 */
import { Agent } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, configuration, Deployment, runCase } from '../stand-ins-2/deployment.mjs';
import { sleep } from '../stand-ins-2/http.mjs';
import { Store } from '../stand-ins-2/store.mjs';
import { Worker } from '../stand-ins-2/worker.mjs';

const HOST = '127.0.60.1';
const ZONE = 'kyalami-dc';
const DRAIN_MS = 2_000;
const WORKERS = 16;
const ROUNDS = 7;
/** Time between two requests of the clients, in milliseconds. */
const PAUSE_MS = 5;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, onEnd, hasTrouble }) => {
  const store = new Store();
  onEnd(() => store.stop());
  await store.start(HOST);
  store.put('op', 'config', configuration({ kind: 'non_idempotent' }));

  const broken = [];
  const workers = [];
  let started = 0;
  const startWorker = async () => {
    const worker = new Worker(store, { id: `i-${++started}`, service: 'urgent', zone: ZONE });
    worker.extraHeaders = () => (worker.isLeaving ? { 'server-leaving': '1' } : {});
    worker.onArrival = (headers) => {
      if (worker.leftAt === undefined) return;
      const after = performance.now() - worker.leftAt;
      record.note(
        `request ${headers['attempt-id']} reaches ${worker.id} ${after.toFixed(0)} ms after it left`,
      );
      if (after > DRAIN_MS)
        broken.push(
          `${headers['attempt-id']} reached ${worker.id} ${after.toFixed(0)} ms after the store took that it is draining`,
        );
    };
    onEnd(() => worker.stop());
    await worker.start(HOST);
    workers.push(worker);
    return worker;
  };
  for (let index = 0; index < WORKERS; index++) await startWorker();

  const deployment = new Deployment();
  onEnd(() => deployment.stop());
  const entries = await deployment.plan([
    { zone: ZONE, region: 'highveld' },
    { zone: ZONE, region: 'highveld' },
  ]);
  for (const entry of entries) await deployment.start(entry, store.address);
  record.note('both entries are ready');
  await sleep(4_000);

  const agent = new Agent({ keepAlive: true });
  onEnd(() => agent.destroy());
  const counts = {};
  /** Sends requests to one entry for some time. */
  const useFor = async (entry, milliseconds) => {
    const endsAt = performance.now() + milliseconds;
    const calls = [];
    while (performance.now() < endsAt) {
      calls.push(
        call(entry, { agent }).then(({ status }) => {
          counts[status] = (counts[status] ?? 0) + 1;
        }),
      );
      await sleep(PAUSE_MS);
    }
    await Promise.all(calls);
  };

  for (let round = 0; round < ROUNDS; round++) {
    const [used, other] = round % 2 === 0 ? entries : [...entries].reverse();
    const traffic = useFor(used, 3_000);
    await startWorker();
    await sleep(600);
    const leaving = workers.shift();
    if (hasTrouble) {
      void leaving.leave(4_000);
      leaving.leftAt = performance.now();
      record.note(`${leaving.id} says that it leaves; clients use ${used.name}`);
    }
    await traffic;
    record.note(`clients use ${other.name}`);
    await useFor(other, 400);
    if (!hasTrouble) workers.push(leaving);
  }
  record.note(`answers by status: ${JSON.stringify(counts)}`);
  return broken;
});
