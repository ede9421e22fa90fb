/**
 * ORDER, MIXED: a few answers of workers have no length and end with their connections. An entry is killed while it passes such
 * streams on; what its clients have got until then must not look like a whole stream.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { configuration, Deployment, nextId, runCase } from '../stand-ins-2/deployment.mjs';
import { exchange, sleep } from '../stand-ins-2/http.mjs';
import { Store } from '../stand-ins-2/store.mjs';
import { Worker } from '../stand-ins-2/worker.mjs';

const HOST = '127.0.62.1';
const ZONE = 'kyalami-dc';
const UNFRAMED_SHARE = 0.05;
const EVENTS = 21;
const EVENT_EVERY_MS = 50;
const ROUNDS = 5;
const STREAMS = 30;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, onEnd, hasTrouble }) => {
  const store = new Store();
  onEnd(() => store.stop());
  await store.start(HOST);
  const settings = configuration({ kind: 'stream', maxAttempts: 2, service: 'model', timeout: 6_000 });
  Object.assign(settings.routes[0], { resumable: true, gap_target_ms: 300 });
  store.put('op', 'config', settings);

  for (let index = 1; index <= 3; index++) {
    const worker = new Worker(store, { id: `i-${index}`, service: 'model', zone: ZONE, slots: 16 });
    worker.intercept = (request, response) => {
      const id = request.headers['attempt-id'];
      void stream(request, response, Math.random() < UNFRAMED_SHARE);
      record.note(`${id} runs at ${worker.id}`);
      return true;
    };
    onEnd(() => worker.stop());
    await worker.start(HOST);
  }
  /** Sends the events after `Last-Event-Id`. */
  const stream = async (request, response, isUnframed) => {
    const { 'attempt-id': id, 'last-event-id': last = '0' } = request.headers;
    if (isUnframed) {
      record.note(`the answer to ${id} has no length`);
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'attempt-id': id,
      'server-seal': `seal-${id}`,
    });
    for (let event = Number(last) + 1; event <= EVENTS && !response.destroyed; event++) {
      response.write(`id: ${event}\ndata: part ${event} of ${id}\n\n`);
      await sleep(EVENT_EVERY_MS);
    }
    response.end();
  };

  const deployment = new Deployment();
  onEnd(() => deployment.stop());
  const entries = await deployment.plan([
    { zone: ZONE, region: 'highveld' },
    { zone: ZONE, region: 'highveld' },
  ]);
  for (const entry of entries) await deployment.start(entry, store.address);
  record.note('both entries are ready');

  const broken = [];
  for (let round = 0; round < ROUNDS; round++) {
    const entry = entries[round % 2];
    await sleep(2_000);
    const calls = Array.from({ length: STREAMS }, () => read(entry));
    await sleep(600);
    if (hasTrouble) {
      record.note(`${entry.name} is killed`);
      entry.process.kill('SIGKILL');
    }
    for (const { id, status, last, isComplete } of await Promise.all(calls)) {
      record.note(`${id} got ${status}, up to event ${last}, ${isComplete ? 'complete' : 'broken off'}`);
      if (status === '200' && isComplete && last !== EVENTS)
        broken.push(`the answer to ${id} ends as complete at event ${last} of ${EVENTS}`);
    }
    if (hasTrouble) await deployment.start(entry, store.address);
  }
  return broken;
});

/** Reads a stream to its end. Without chunks or a length, it is complete if its connection was closed in order. */
async function read(entry) {
  const id = nextId();
  const head = ['POST /filo73/a HTTP/1.1', 'Host: voka93.example', `Attempt-Id: ${id}`, 'Deadline-Ms: 6000'];
  const request = [...head, 'Content-Length: 0', 'Connection: close', '', ''].join('\r\n');
  const { text, wasClosed } = await exchange(entry.listen.front, request);
  const [answerHead] = text.split('\r\n\r\n', 1);
  const last = Math.max(0, ...[...text.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1])));
  const hasChunks = /^transfer-encoding: chunked$/im.test(answerHead);
  const hasLength = /^content-length:/im.test(answerHead);
  const isComplete = hasChunks ? text.endsWith('\r\n0\r\n\r\n') : hasLength || wasClosed;
  return { id, status: text.slice(9, 12), last, isComplete };
}
