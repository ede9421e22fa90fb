/** `thistleway bench requests`: load on the request path while things fail, judged by the stand-ins' audits. */
import { setTimeout as pause } from 'node:timers/promises';
import type { Histogram } from 'hdr-histogram-js';
import type { EngineRun } from '../../emulator/engine/engine.js';
import type { ServiceRun } from '../../emulator/service/service.js';
import { Caller } from './caller.js';
import type { Cluster, StartedAgent } from './cluster.js';
import { createHistogram } from './histogram.js';
import { BENCH_TENANT, getJson } from './observation.js';
import { OnceCaller } from './once-caller.js';
import {
  createBenchCluster,
  declareBenchResources,
  enginesOf,
  MODEL,
  SERVICE,
  servicesOf,
} from './request-cluster.js';
import type { RequestFault } from './request-faults.js';

/** What to run. */
export interface RequestBenchInit {
  seconds: number;
  /** Requests a second, of both kinds together. */
  rate: number;
  seed: number;
  fault?: RequestFault;
}

/** What came out. Times in milliseconds. */
export interface RequestReport {
  faults: string;
  seconds: number;
  rate: number;
  sent: number;
  answeredWhole: number;
  refusedNotRun: number;
  unknown: number;
  /** Requests that got neither a whole answer nor any clear word. */
  lost: number;
  lostBy: Record<string, number>;
  cut: number;
  crossed: number;
  ranTwice: number;
  falseNotRun: number;
  newWorkAfterLeaving: number;
  addedLatencyMs: { p50: number; p99: number };
  firstTokenMs: { p50: number; p95: number };
  betweenTokensMs: { p50: number; p95: number };
  /** The part of the calls that may not be repeated. */
  once: { sent: number; answeredWhole: number; refusedNotRun: number; unknown: number };
}

/** Share of the requests that may not be repeated. */
const ONCE_SHARE = 0.3;
const FAULT_AT = 2_000;
/** Time after which work at a leaving machine is a breach, in milliseconds. */
const LEAVING_LIMIT = 2_000;
/** Pairs sent before latencies count, so that the code of all processes is compiled, and pairs that count. */
const WARM_UP_PAIRS = 400;
const LATENCY_PAIRS = 400;
const MICROSECONDS = 1_000;

/** Runs the load and reports it. */
export async function runRequestBench(init: RequestBenchInit): Promise<RequestReport> {
  const cluster = createBenchCluster(init.seed, init.fault !== undefined);
  try {
    await cluster.start();
    await declareBenchResources(cluster);
    return await measure(init, cluster);
  } finally {
    cluster.stop();
  }
}

async function measure(init: RequestBenchInit, cluster: Cluster): Promise<RequestReport> {
  const addresses = cluster.entries.map((entry) => entry.callers);
  const caller = new Caller(addresses, MODEL);
  const onceCaller = new OnceCaller(addresses, SERVICE, init.seed);
  const addedLatency = await measureAddedLatency(cluster, init.rate, caller, onceCaller);
  const leavingAt = new Map<StartedAgent, number>();
  const load = sendLoad(init, caller, onceCaller);
  await pause(FAULT_AT);
  await init.fault?.inject({
    cluster,
    engines: enginesOf(cluster),
    services: servicesOf(cluster),
    noteLeaving: (agent) => leavingAt.set(agent, Date.now()),
  });
  await load;
  await Promise.all([caller.stop(), onceCaller.settle()]);
  return report(init, cluster, caller, onceCaller, addedLatency, leavingAt);
}

async function sendLoad(init: RequestBenchInit, caller: Caller, onceCaller: OnceCaller): Promise<void> {
  const startedAt = performance.now();
  const total = init.rate * init.seconds;
  for (let number = 0; number < total; number++) {
    const due = startedAt + (number * 1_000) / init.rate;
    const wait = due - performance.now();
    if (wait > 1) await pause(wait);
    if ((number * ONCE_SHARE) % 1 < ONCE_SHARE) onceCaller.start();
    else caller.startOne();
  }
}

/** The same look-up straight at a service and through an entry, in turn, under the load of the run. */
async function measureAddedLatency(
  cluster: Cluster,
  rate: number,
  caller: Caller,
  onceCaller: OnceCaller,
): Promise<{ p50: number; p99: number }> {
  const [direct, through] = [createHistogram(), createHistogram()];
  const services = servicesOf(cluster);
  let running = true;
  const background = (async () => {
    for (let number = 0; running; number++) {
      if (number % 3 === 0) onceCaller.start();
      else caller.startOne();
      await pause(1_000 / rate);
    }
  })();
  for (let pair = 0; pair < WARM_UP_PAIRS + LATENCY_PAIRS; pair++) {
    if (pair === WARM_UP_PAIRS) for (const histogram of [direct, through]) histogram.reset();
    const { callers } = cluster.entries[pair % cluster.entries.length];
    await timeGet(`http://${services[pair % services.length].backEnd}/look`, direct);
    await timeGet(`http://${callers}/services/${SERVICE}/look`, through);
  }
  running = false;
  await background;
  await Promise.all([caller.stop(), onceCaller.settle()]);
  const added = (share: number) =>
    rounded(through.getValueAtPercentile(share) - direct.getValueAtPercentile(share));
  return { p50: added(50), p99: added(99) };
}

async function timeGet(url: string, histogram: Histogram): Promise<void> {
  const startedAt = performance.now();
  const answer = await fetch(url, { headers: { 'x-thistleway-tenant': BENCH_TENANT } });
  await answer.arrayBuffer();
  histogram.recordValue(Math.round((performance.now() - startedAt) * MICROSECONDS));
}

async function report(
  init: RequestBenchInit,
  cluster: Cluster,
  caller: Caller,
  onceCaller: OnceCaller,
  addedLatencyMs: { p50: number; p99: number },
  leavingAt: Map<StartedAgent, number>,
): Promise<RequestReport> {
  const runs = await serviceRuns(cluster);
  const byKey = new Map<string, number>();
  for (const { key } of runs.filter((run) => run.key !== '')) byKey.set(key, (byKey.get(key) ?? 0) + 1);
  const falseNotRun = [...onceCaller.outcomes].filter(
    ([key, outcome]) => outcome === 'notRun' && byKey.has(key),
  );
  const { counts } = caller;
  const once = onceCaller.counts;
  return {
    faults: init.fault?.name ?? 'none',
    seconds: init.seconds,
    rate: init.rate,
    sent: counts.sent + once.sent,
    answeredWhole: counts.answeredWhole + once.answeredWhole,
    refusedNotRun: counts.refusedNotRun + once.refusedNotRun,
    unknown: counts.unknown + once.unknown,
    lost: counts.lost + (once.sent - once.answeredWhole - once.refusedNotRun - once.unknown),
    lostBy: counts.lostBy,
    cut: counts.cut,
    crossed: counts.crossed + once.crossed,
    ranTwice: [...byKey.values()].filter((count) => count > 1).length,
    falseNotRun: falseNotRun.length,
    newWorkAfterLeaving: await workAfterLeaving(leavingAt),
    addedLatencyMs,
    firstTokenMs: quantiles(caller.firstToken),
    betweenTokensMs: quantiles(caller.betweenTokens),
    once: { ...once },
  };
}

/** What the services' audits hold; those of a service that was ended are gone with it. */
async function serviceRuns(cluster: Cluster): Promise<ServiceRun[]> {
  const audits = servicesOf(cluster).map((agent) =>
    getJson<{ runs: ServiceRun[] }>(`http://${agent.backEnd}/audit`),
  );
  return (await Promise.all(audits)).flatMap((audit) => audit?.runs ?? []);
}

async function workAfterLeaving(leavingAt: Map<StartedAgent, number>): Promise<number> {
  let count = 0;
  for (const [agent, at] of leavingAt) {
    const audit = await getJson<{ runs: Array<ServiceRun | EngineRun> }>(`http://${agent.backEnd}/audit`);
    const restartedAt = agent.restartedAt ?? Number.POSITIVE_INFINITY;
    count += (audit?.runs ?? []).filter((run) => run.at > at + LEAVING_LIMIT && run.at < restartedAt).length;
  }
  return count;
}

function quantiles(histogram: Histogram): { p50: number; p95: number } {
  return {
    p50: rounded(histogram.getValueAtPercentile(50)),
    p95: rounded(histogram.getValueAtPercentile(95)),
  };
}

function rounded(microseconds: number): number {
  return Math.round(microseconds / 10) / 100;
}
