/**
 * Estimates what a request can expect of each back end: its load, the time until it starts the request, and how long before
 * the expiry of its version it must get no more requests. Times are in milliseconds of the monotonic clock.
 */
import type { FleetView } from '../fleet/fleet-view.js';
import { type BackEndRow, type BackEndTable, isLoadReported, loadOf } from './back-end-table.js';
import { type Candidate, expectedWait } from './selection.js';

/** Number of concurrent requests assumed for a back end whose record does not state its slots. */
const DEFAULT_SLOTS = 4;
/** Assumed request duration at a back end that has not yet completed one, in milliseconds. */
const DEFAULT_DURATION = 100;
const DEFAULT_ENGINE_DURATION = 800;
/**
 * A request must start before the version of its back end expires. The back end gets no new requests for a margin
 * before the expiry: this constant, in milliseconds, plus a multiple of the usual time to the first answer or of the
 * wait for a slot, whichever is longer. The margin is kept small so that it excludes few engines: 0.9 s plus the
 * longest wait excluded engines that could still have served (docs/design/decisions.md).
 */
const EXPIRY_MARGIN = 600;
const EXPIRY_MARGIN_WAITS = 1.5;
/**
 * Share of the slots assumed to be in use by requests of other entries that are not reported yet; reports take 150 to
 * 450 ms.
 */
const UNREPORTED_LOAD_SHARE = 0.25;
/**
 * Additional wait assumed if the agent has not reported the engine's load, in milliseconds: about the time to drain a
 * full queue.
 */
const UNKNOWN_LOAD_MARGIN = 1_600;
/** Time after which a slow first answer no longer counts against a back end, in milliseconds. */
const SLOWNESS_VALIDITY = 4_000;
const MILLISECONDS = 1_000;

export interface CandidateEstimatesOptions {
  fleet: Pick<FleetView, 'routes'>;
  /** Region of a zone; undefined if the settings do not name it. */
  regionOf: (zone: string) => string | undefined;
}

/** Estimates for the back ends of one entry. */
export class CandidateEstimates {
  readonly #options: CandidateEstimatesOptions;

  constructor(options: CandidateEstimatesOptions) {
    this.#options = options;
  }

  /** What is known of `row` as a candidate for a request. */
  candidate(row: BackEndRow, answerTokens: number, now: number, isContinuation = false): Candidate {
    const { record, health } = row;
    const engine = this.#options.fleet.routes?.service(record.service)?.engine;
    const slots = record.slots > 0 ? record.slots : DEFAULT_SLOTS;
    const usual = engine === undefined ? DEFAULT_DURATION : DEFAULT_ENGINE_DURATION;
    return {
      id: record.id,
      zone: record.zone,
      region: this.#options.regionOf(record.zone) ?? record.zone,
      slots,
      load: loadOf(row),
      pendingPromptTokens: row.pendingPromptTokens,
      tokensPerMillisecond: (engine?.readTokensPerSecond ?? 0) / MILLISECONDS,
      releaseInterval: (row.duration || usual) / slots,
      failureShare: health.failureShare,
      slowness: 0,
      overrun: overrunOf(row, answerTokens * (row.timePerToken || (engine?.tokenTime ?? 0)), now),
      cannotBeMoved: isContinuation,
    };
  }

  /** Time before the expiry of its version from which `row` gets no new requests, in milliseconds. */
  expiryMargin(row: BackEndRow, now: number): number {
    const candidate = this.candidate(row, 0, now);
    const load = candidate.load + UNREPORTED_LOAD_SHARE * candidate.slots;
    const wait = Math.max(row.firstAnswerTime, expectedWait({ ...candidate, load }));
    return EXPIRY_MARGIN + EXPIRY_MARGIN_WAITS * wait + (isLoadReported(row, now) ? 0 : UNKNOWN_LOAD_MARGIN);
  }
}

/** Time by which a request of this duration would outlast the scheduled version switch of the engine, in milliseconds. */
function overrunOf({ news }: BackEndRow, duration: number, now: number): number {
  if (news === undefined || news.switchAt === Number.POSITIVE_INFINITY) return 0;
  return Math.max(0, now + duration - news.switchAt);
}

/** Sets the slowness of each candidate. One without recent answers keeps a slowness of 0, so that it is tried again. */
export function addSlowness(candidates: Candidate[], table: Pick<BackEndTable, 'rows'>, now: number): void {
  const times = candidates.map(({ id }) => {
    const { firstAnswerTime, answeredAt } = table.rows.get(id)!;
    return now - answeredAt < SLOWNESS_VALIDITY ? firstAnswerTime : 0;
  });
  const known = times.filter((time) => time > 0);
  if (known.length < 2) return;
  const fastest = Math.min(...known);
  candidates.forEach((candidate, index) => {
    const excess = times[index] - 2 * fastest;
    if (excess > 0) candidate.slowness = excess;
  });
}
