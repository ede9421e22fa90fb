/**
 * Guards against sending a back end its whole load while it is cold after a restart that its record does not tell yet, as the
 * store is unavailable: one failed attempt, or kept connections that broke, told of the restart, but were not taken for one.
 * A back end that only closes connections must not lose requests by it.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { until } from '../support.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { billingConfiguration, routeNamed } from './routes.js';
import { reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

const HEALTH_PATH = '/health';
const RATE = 5;
const COLD_TIME = 1_000;
/** Time without a process at the address, in milliseconds. */
const RESTART_TIME = 60;
/** Interval at which callers send, in milliseconds. */
const INTERVAL = 80;
/** Requests that may go out before the entry has learned of the restart. */
const MOST_BEFORE_KNOWN = 1;

interface Worker {
  id: string;
  backEnd: StandInBackEnd;
  port: number;
  coldUntil: number;
  /** Arrivals of requests while it was cold. */
  coldArrivals: number;
  arrivals: number;
}

let forwarding: ForwardingHarness;
let workers: Worker[];
let answers: number;
let timer: NodeJS.Timeout;

function scriptOf(worker: Worker, answer: Script): Script {
  return (request, response, body) => {
    if (request.url !== HEALTH_PATH) {
      worker.arrivals++;
      if (performance.now() < worker.coldUntil) worker.coldArrivals++;
      return answer(request, response, body);
    }
    const left = Math.max(0, Math.round(worker.coldUntil - performance.now()));
    const headers = { 'x-answering-back-end': worker.id, 'x-cold-left': String(left) };
    return reply(200, '', headers)(request, response, body);
  };
}

async function startWorker(id: string, answer: Script = reply(200, 'done')): Promise<Worker> {
  const worker = {
    id,
    coldUntil: Number.NEGATIVE_INFINITY,
    coldArrivals: 0,
    arrivals: 0,
    port: 0,
  } as Worker;
  worker.backEnd = await new StandInBackEnd(scriptOf(worker, answer)).start();
  worker.port = Number(worker.backEnd.address.split(':')[1]);
  return worker;
}

/** Ends the process of a worker and starts the next one at the same address, cold. */
async function restart(worker: Worker, milliseconds = RESTART_TIME): Promise<void> {
  await worker.backEnd.stop();
  if (milliseconds > 0) await sleep(milliseconds);
  await resume(worker);
}

/** Starts the next process of a worker at its address, cold. */
async function resume(worker: Worker): Promise<void> {
  worker.coldUntil = performance.now() + COLD_TIME;
  await worker.backEnd.start(worker.port);
}

async function serve(healthPath: string | undefined, ...listed: Worker[]): Promise<void> {
  workers = listed;
  const configuration = billingConfiguration(routeNamed('bill'));
  const [service] = configuration.services;
  const warmUp = { rate: RATE, time: COLD_TIME };
  await forwarding.start({ ...configuration, services: [{ ...service, warmUp, healthPath }] });
  forwarding.list(...listed.map(({ id, backEnd }): [string, StandInBackEnd] => [id, backEnd]));
}

function sendSteadily(interval = INTERVAL): void {
  timer = setInterval(() => {
    forwarding.send('/bill/').then(
      ({ status }) => {
        if (status === 200) answers++;
      },
      () => {},
    );
  }, interval);
}

beforeEach(() => {
  answers = 0;
  forwarding = new ForwardingHarness('billing');
  // No permits are granted: the time of the store is not known.
  forwarding.store.faults.down = true;
});

afterEach(async () => {
  clearInterval(timer);
  await forwarding.stop();
  await Promise.all(workers.map(({ backEnd }) => backEnd.stop()));
});

describe.each([HEALTH_PATH, undefined])(
  'a back end with health answers at %s that restarts without a record',
  (path) => {
    it('gets no load while cold if only idle connections broke, and is used afterwards', async () => {
      const worker = await startWorker('one');
      await serve(path, worker);
      await forwarding.send('/bill/');
      await restart(worker);
      sendSteadily();
      await sleep(COLD_TIME);
      expect(worker.coldArrivals).toBeLessThanOrEqual(MOST_BEFORE_KNOWN);
      const { arrivals } = worker;
      await until(() => worker.arrivals > arrivals + 5, 'requests without a permit');
    });

    it('gets no load while cold if a request in progress broke', async () => {
      let isHeld = true;
      const worker = await startWorker('one', (request, response, body) => {
        if (!isHeld) reply(200, 'done')(request, response, body);
      });
      await serve(path, worker);
      const broken = forwarding.send('/bill/');
      await until(() => worker.arrivals === 1, 'the request');
      isHeld = false;
      await restart(worker);
      sendSteadily();
      await broken;
      await sleep(COLD_TIME);
      expect(worker.coldArrivals).toBeLessThanOrEqual(MOST_BEFORE_KNOWN);
    });

    it('is known to be cold after one refused attempt, without a kept connection', async () => {
      const worker = await startWorker('one', reply(200, 'done', { connection: 'close' }));
      await serve(path, worker);
      await forwarding.send('/bill/');
      await worker.backEnd.stop();
      const refused = forwarding.send('/bill/');
      await sleep(RESTART_TIME);
      await resume(worker);
      sendSteadily();
      await refused;
      await sleep(COLD_TIME);
      expect(worker.coldArrivals).toBeLessThanOrEqual(MOST_BEFORE_KNOWN);
    });

    it('counts as cold from its start, not from its end', async () => {
      const worker = await startWorker('one');
      await serve(path, worker);
      await forwarding.send('/bill/');
      sendSteadily();
      await restart(worker, COLD_TIME + 200);
      await sleep(COLD_TIME);
      expect(worker.coldArrivals).toBeLessThanOrEqual(MOST_BEFORE_KNOWN);
    });
  },
);

it('a back end that is back before it can be probed tells by its health answer that it is cold', async () => {
  const worker = await startWorker('one');
  await serve(HEALTH_PATH, worker);
  await forwarding.send('/bill/');
  await restart(worker, 0);
  sendSteadily();
  await sleep(COLD_TIME);
  expect(worker.coldArrivals).toBeLessThanOrEqual(MOST_BEFORE_KNOWN);
});

it.each([HEALTH_PATH, undefined])(
  'a back end that often closes idle connections keeps its service (health answers at %s)',
  async (path) => {
    // Closes each connection without a word once its answer has been read.
    const closing: Script = (request, response, body) => {
      reply(200, 'done')(request, response, body);
      response.on('finish', () => setTimeout(() => request.socket.destroy(), 5));
    };
    await serve(path, await startWorker('only', closing));
    const sent = 100;
    for (let count = 0; count < sent; count++) {
      if ((await forwarding.send('/bill/')).status === 200) answers++;
      await sleep(10);
    }
    expect(answers).toBeGreaterThanOrEqual(0.97 * sent);
  },
);

it.each(['silent', 'endless'])('a health answer that is %s does not count', async (kind) => {
  let health = 0;
  const worker = await startWorker('only', reply(200, 'done'));
  const plain = scriptOf(worker, reply(200, 'done'));
  worker.backEnd.answer((request, response, body) => {
    if (request.url !== HEALTH_PATH) return plain(request, response, body);
    health++;
    if (kind === 'silent') return;
    const part = Buffer.alloc(65_536, 'x');
    response.writeHead(200, { 'x-answering-back-end': 'only' });
    const write = () => {
      while (!response.destroyed && response.write(part));
    };
    response.on('drain', write);
    write();
  });
  await serve(HEALTH_PATH, worker);
  expect((await forwarding.send('/bill/')).status).toBe(200);
  await worker.backEnd.stop();
  await worker.backEnd.start(worker.port);
  await until(() => health > 0, 'the probe');
  expect((await forwarding.send('/bill/')).status).toBe(200);
  if (kind === 'endless') await until(() => worker.backEnd.open === 0, 'the end of the health answer');
});
