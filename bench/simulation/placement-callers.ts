/** The callers of the placement simulation: when they arrive, what they ask, and how they come back after a refusal. */
import type { Random } from '../../src/model/random.js';
import { type LoadShape, type PlacementSite, type StreamKind, TENANT_SKEW } from './placement-loads.js';
import type { VirtualClock } from './virtual-clock.js';

/** One way between a caller and an entry, in milliseconds. */
export const CALLER_DELAY = 3;
/** Callers honour `Retry-After` up to this share of the time that they have left. */
const RETRY_DELAY_SHARE = 1 / 3;
/** Share of its objective within which a request is refused early. */
const EARLY_REFUSAL = 0.25;
/** Greatest size of a prompt or an answer, as a multiple of the mean of its kind. */
const MAX_SIZE = 4;

/** One caller with a request. */
export interface Caller {
  kind: StreamKind;
  tenant: number;
  promptTokens: number;
  answerTokens: number;
  startedAt: number;
  /** When the present attempt reached its entry. */
  attemptedAt: number;
  deadline: number;
  firstEventAt: number;
  /** Number of refusals so far. */
  refusals: number;
  /** Whether the latest refusal came so early that little was lost for its caller. */
  isRefusedEarly: boolean;
  servedAt: number | undefined;
  /** Number of the engine that it was last sent to. */
  engine?: number;
}

export interface PlacementCallersInit {
  clock: VirtualClock;
  site: PlacementSite;
  shape: LoadShape;
  load: number;
  random: Random;
  /** Sends a request to an entry. */
  place: (caller: Caller) => void;
}

/** All callers of one simulation. */
export class PlacementCallers {
  readonly #init: PlacementCallersInit;
  readonly all: Caller[] = [];
  /** Times from an attempt to its refusal, in milliseconds. */
  readonly refusedAfter: number[] = [];
  readonly #tenantWeights: number[];

  constructor(init: PlacementCallersInit) {
    this.#init = init;
    this.#tenantWeights = Array.from({ length: init.site.tenants }, (_, rank) => (rank + 1) ** -TENANT_SKEW);
  }

  begin(): void {
    for (const kind of this.#init.site.kinds) this.#arriveLater(kind);
  }

  /** @param way - time from the engine to the entry, in milliseconds */
  noteEvent(caller: Caller, way: number): void {
    if (caller.firstEventAt === 0) caller.firstEventAt = this.#init.clock.now + way + CALLER_DELAY;
  }

  /** @param way - time from the engine to the entry, in milliseconds */
  noteServed(caller: Caller, way: number): void {
    const now = this.#init.clock.now + way + CALLER_DELAY;
    if (now <= caller.deadline) caller.servedAt ??= now;
  }

  /** The caller comes again once, at any entry, after `retryAfter` milliseconds. */
  refuse(caller: Caller, retryAfter: number): void {
    caller.refusals++;
    const refusedAfter = this.#init.clock.now - caller.attemptedAt;
    this.refusedAfter.push(refusedAfter);
    caller.isRefusedEarly = refusedAfter <= EARLY_REFUSAL * caller.kind.objective;
    const now = this.#init.clock.now + CALLER_DELAY;
    const backAt = now + Math.min(retryAfter, RETRY_DELAY_SHARE * (caller.deadline - now));
    if (caller.refusals > 1 || backAt > caller.deadline) return;
    this.#init.clock.schedule(backAt, () => this.#attempt(caller));
  }

  #attempt(caller: Caller): void {
    caller.attemptedAt = this.#init.clock.now;
    this.#init.place(caller);
  }

  #arriveLater(kind: StreamKind): void {
    const { clock, shape, load, random } = this.#init;
    const next = clock.now + this.#exponential(1_000 / (kind.rate * load));
    clock.schedule(next, () => {
      const { now } = clock;
      if (now > shape.arrivalsEnd) return;
      this.#arriveLater(kind);
      const [, share] = shape.steps.find(([from]) => now >= from)!;
      if (random.fraction() > share) return;
      const caller = this.#create(kind);
      this.all.push(caller);
      this.#attempt(caller);
    });
  }

  #create(kind: StreamKind): Caller {
    const { clock, site, random } = this.#init;
    const { now } = clock;
    const [shortest, longest] = site.callerTime;
    const answerTokens = kind.answerEvents * site.pace.tokensPerEvent * Math.min(2.5, this.#size());
    return {
      kind,
      tenant: this.#tenant(),
      promptTokens: Math.round(kind.promptTokens * Math.min(MAX_SIZE, this.#size())),
      answerTokens: Math.max(site.pace.tokensPerEvent, Math.round(answerTokens)),
      startedAt: now,
      attemptedAt: now,
      deadline: now + shortest + random.fraction() * (longest - shortest),
      firstEventAt: 0,
      refusals: 0,
      isRefusedEarly: false,
      servedAt: undefined,
    };
  }

  #tenant(): number {
    const { clock, shape, random } = this.#init;
    const large = shape.largeTenant;
    const weightOf = (tenant: number) => {
      const isLarge = tenant === large?.tenant && clock.now >= large.from;
      return this.#tenantWeights[tenant] * (isLarge ? large.times : 1);
    };
    const total = this.#tenantWeights.reduce((sum, _, tenant) => sum + weightOf(tenant), 0);
    let left = random.fraction() * total;
    for (let tenant = 0; tenant < this.#tenantWeights.length; tenant++) {
      left -= weightOf(tenant);
      if (left < 0) return tenant;
    }
    return this.#tenantWeights.length - 1;
  }

  /** A size as a multiple of the mean of its kind. */
  #size(): number {
    return 0.3 + this.#exponential(0.7);
  }

  #exponential(mean: number): number {
    return -Math.log(1 - this.#init.random.fraction()) * mean;
  }
}
