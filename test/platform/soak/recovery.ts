/**
 * Tells entries that have not recovered from entries whose callers ask for more than the engines can take: a stream may be
 * refused at the end of a soak only while no slot of an engine stands free, and then the engines must be busy and each entry
 * must get its part of them.
 */
import type { SentRequest } from './callers.js';
import { StandInEngine } from './engine.js';
import { SLOTS } from './workers.js';
import type { SoakWorld } from './world.js';

const SAMPLE_INTERVAL = 10;
/**
 * Time of one exchange between entry, agent and engine, in milliseconds, for which a slot may stand free between two requests on a
 * machine with more processes than cores.
 */
export const EXCHANGE_TIME = 100;
/** Least share of the slots that must be taken, on average, where requests are refused for want of slots. */
export const LEAST_OCCUPANCY = 0.75;
/** An entry that has been asked for at least this many streams must have served one. */
const MIN_ASKED = 20;
const UNAVAILABLE = 503;

/** The slots of the engines that take requests at one time, in milliseconds of the monotonic clock. */
export interface SlotSample {
  at: number;
  free: number;
  total: number;
}

/** A stream that an entry refused at the end. */
export interface Refusal {
  entry: string;
  sentAt: number;
  endedAt: number;
}

/** What an entry did while the others recovered. */
export interface EntryService {
  entry: string;
  /** Streams for which it was asked, and those that it served. */
  asked: number;
  served: number;
}

/** Records how many slots of the engines stand free. */
export class SlotWatch {
  readonly samples: SlotSample[] = [];
  readonly #timer: NodeJS.Timeout;

  constructor(world: SoakWorld) {
    this.#timer = setInterval(() => this.samples.push(sampleOf(world, performance.now())), SAMPLE_INTERVAL);
  }

  stop(): void {
    clearInterval(this.#timer);
  }
}

function sampleOf(world: SoakWorld, at: number): SlotSample {
  const taking = world.workers.flatMap(({ worker }) =>
    worker instanceof StandInEngine && worker.takesRequests ? [worker] : [],
  );
  const free = taking.reduce((sum, { active }) => sum + Math.max(0, SLOTS - active), 0);
  return { at, free, total: taking.length * SLOTS };
}

/** Whether no slot stood free for longer than one exchange, from one exchange before `from` until `to`. */
export function wereFull(samples: readonly SlotSample[], from: number, to: number): boolean {
  const within = samples.filter(({ at }) => at >= from - EXCHANGE_TIME && at <= to);
  let freeSince: number | undefined;
  for (const { at, free } of within) {
    if (free === 0) freeSince = undefined;
    else freeSince ??= at;
    if (freeSince !== undefined && at - freeSince >= EXCHANGE_TIME) return false;
  }
  return within.some(({ free }) => free === 0);
}

/** Mean share of the slots that were taken; 0 without any slot. */
export function occupancyOf(samples: readonly SlotSample[]): number {
  const total = samples.reduce((sum, sample) => sum + sample.total, 0);
  const free = samples.reduce((sum, sample) => sum + sample.free, 0);
  return total === 0 ? 0 : 1 - free / total;
}

/**
 * Reports entries that refuse streams although slots stand free, engines that are not busy although streams are refused for want
 * of slots, and entries that get none of the slots.
 */
export function judgeRefusals(
  refusals: readonly Refusal[],
  samples: readonly SlotSample[],
  services: readonly EntryService[],
): string[] {
  if (refusals.length === 0) return [];
  const unfounded = refusals.filter(({ sentAt, endedAt }) => !wereFull(samples, sentAt, endedAt));
  const violations = [...new Set(unfounded.map(({ entry }) => entry))].map(
    (entry) => `RECOVER: ${entry} refuses streams while slots of engines stand free`,
  );
  const occupancy = occupancyOf(samples);
  if (unfounded.length < refusals.length && occupancy < LEAST_OCCUPANCY)
    violations.push(
      `RECOVER: streams are refused for want of slots, of which ${Math.round(occupancy * 100)} in 100 are taken`,
    );
  const isAnyServing = services.some(({ served }) => served > 0);
  for (const { entry, asked, served } of services)
    if (isAnyServing && asked >= MIN_ASKED && served === 0)
      violations.push(`RECOVER: ${entry} served none of ${asked} streams while others served`);
  return violations;
}

/** What each entry did from `since` on, by the requests that callers and probes sent to it. */
export function servicesOf(
  entries: readonly string[],
  sent: readonly SentRequest[],
  since: number,
): EntryService[] {
  return entries.map((entry) => {
    const own = sent.filter(
      (request) =>
        request.entry === entry &&
        request.sentAt >= since &&
        isStream(request) &&
        request.abandonedAt === undefined,
    );
    return { entry, asked: own.length, served: own.filter(({ status }) => status === 200).length };
  });
}

export function isRefusedStream(request: SentRequest): boolean {
  return isStream(request) && request.status === UNAVAILABLE;
}

function isStream({ kind }: SentRequest): boolean {
  return kind === 'write' || kind === 'long';
}
