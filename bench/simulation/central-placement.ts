/**
 * The bound that placements are compared with: one queue before all engines that knows each slot at once, and who has been
 * served how often. The most urgent request that is still in time goes first, unless a kind, a tenant or the larger requests
 * of a kind have got less than their floor.
 */
import type { Caller } from './placement-callers.js';
import type {
  PlacementContext,
  PlacementEngine,
  PlacementEntry,
  RequestPlacement,
} from './placement-machines.js';
import { sizeOf } from './placement-report.js';

/** Floor of a kind and of a tenant, as a share of the service that all get, and of the larger requests of a kind. */
const FLOOR = 0.25;
const SIZE_FLOOR = 0.5;
/** More than the ranks of any kind. */
const RANKS = 10;
/** Sizes above which a request is in the largest tenth of its kind, and in the fifth below it, as multiples of the mean. */
const LARGEST_TENTH = 1.7;
const LARGEST_THREE_TENTHS = 1.15;
/** Time to the first event besides that for the own prompt, before any was observed, in milliseconds. */
const INITIAL_LEAD = 100;
/** Weight of the newest observed time. */
const NEWEST_WEIGHT = 0.02;
/** Time for a token of an answer before any was observed, in milliseconds. */
const INITIAL_TOKEN_TIME = 11;
/** Part of the time of an answer by which an estimate may be too short. */
const DURATION_MARGIN = 0.1;
/** Counts of those asked and begun are halved after this, in milliseconds, so that they tell of the present load. */
const HALVING_INTERVAL = 2_500;

const HOPELESS_INTERVAL = 20;

interface Group {
  asked: number;
  begun: number;
}

/** A caller in the queue, and the groups that it belongs to. */
interface WaitingCaller {
  caller: Caller;
  entry: PlacementEntry;
  kind: Group;
  tenant: Group;
  /** The requests of its kind that are of similar size. */
  size: Group;
}

/** One queue for all engines. */
export class CentralPlacement implements RequestPlacement {
  readonly #context: PlacementContext;
  readonly #isWithFloors: boolean;
  #waiting: WaitingCaller[] = [];
  /** Requests begun at each engine that have not ended. */
  readonly #begun: number[];
  readonly #all: Group = { asked: 0, begun: 0 };
  readonly #groups = new Map<string, Group>();
  /** Observed time from the start at an engine to the first event, without that for the own prompt. */
  #lead = INITIAL_LEAD;
  /** Observed time for a token of an answer. */
  #tokenTime = INITIAL_TOKEN_TIME;

  constructor(context: PlacementContext, isWithFloors: boolean) {
    this.#context = context;
    this.#isWithFloors = isWithFloors;
    this.#begun = context.engines.map(() => 0);
  }

  begin(): void {
    this.#forgetHopeless();
    this.#halveCounts();
  }

  #halveCounts(): void {
    const { clock } = this.#context;
    clock.schedule(clock.now + HALVING_INTERVAL, () => {
      for (const group of [this.#all, ...this.#groups.values()]) {
        group.asked /= 2;
        group.begun /= 2;
      }
      this.#halveCounts();
    });
  }

  /** Drops those whose answers cannot end before their callers leave, now and then. */
  #forgetHopeless(): void {
    const { clock } = this.#context;
    this.#waiting = this.#waiting.filter(({ caller }) => this.#canEnd(caller, clock.now));
    clock.schedule(clock.now + HOPELESS_INTERVAL, () => this.#forgetHopeless());
  }

  place(caller: Caller, entry: PlacementEntry): void {
    const { name } = caller.kind;
    const waiting = {
      caller,
      entry,
      kind: this.#groupOf(name),
      tenant: this.#groupOf(`tenant ${caller.tenant}`),
      size: this.#groupOf(`${name} ${this.#sizeClass(caller)}`),
    };
    this.#waiting.push(waiting);
    for (const group of this.#groupsOf(waiting)) group.asked++;
    this.#dispatch();
  }

  #dispatch(): void {
    const { clock } = this.#context;
    for (;;) {
      const engine = this.#freest();
      if (engine === undefined) return;
      const { now } = clock;
      const next = this.#next(now);
      if (next === undefined) return;
      this.#waiting.splice(this.#waiting.indexOf(next), 1);
      this.#begin(next, engine);
    }
  }

  #begin(waiting: WaitingCaller, engine: PlacementEngine): void {
    const { clock, site } = this.#context;
    const { caller, entry } = waiting;
    for (const group of this.#groupsOf(waiting)) group.begun++;
    const startedAt = clock.now;
    this.#begun[engine.number]++;
    this.#context.send(caller, entry, engine, 0, () => {
      this.#begun[engine.number]--;
      const lead = caller.firstEventAt - startedAt - caller.promptTokens / site.pace.tokensReadPerMillisecond;
      this.#lead += NEWEST_WEIGHT * (lead - this.#lead);
      const tokenTime = (clock.now - caller.firstEventAt) / caller.answerTokens;
      this.#tokenTime += NEWEST_WEIGHT * (tokenTime - this.#tokenTime);
      this.#dispatch();
    });
  }

  /** Whether the answer can end before its caller leaves, if it begins now. */
  #canEnd({ promptTokens, answerTokens, deadline }: Caller, now: number): boolean {
    const reading = promptTokens / this.#context.site.pace.tokensReadPerMillisecond;
    const duration = this.#lead + reading + answerTokens * this.#tokenTime;
    return now + duration * (1 + DURATION_MARGIN) < deadline;
  }

  #next(now: number): WaitingCaller | undefined {
    let best: WaitingCaller | undefined;
    let bestPlace = Number.POSITIVE_INFINITY;
    for (const waiting of this.#waiting) {
      const place = this.#placeOf(waiting, now);
      if (place < bestPlace || (place === bestPlace && waiting.caller.startedAt < best!.caller.startedAt))
        [best, bestPlace] = [waiting, place];
    }
    return best;
  }

  /** Place in the order, before that of arrival: in time before late, those below their floor first, then by rank. */
  #placeOf(waiting: WaitingCaller, now: number): number {
    const { kind, promptTokens, startedAt } = waiting.caller;
    const firstEvent = now + this.#lead + promptTokens / this.#context.site.pace.tokensReadPerMillisecond;
    const isLate = firstEvent > startedAt + kind.objective;
    const isBelowFloor = this.#isWithFloors && this.#isBelowFloor(waiting);
    return (isLate ? 2 : 0) * RANKS + (isBelowFloor ? 0 : RANKS) + kind.rank;
  }

  #isBelowFloor({ kind, tenant, size }: WaitingCaller): boolean {
    const floor = FLOOR * shareOf(this.#all);
    return shareOf(kind) < floor || shareOf(tenant) < floor || shareOf(size) < SIZE_FLOOR * shareOf(kind);
  }

  #groupsOf({ kind, tenant, size }: WaitingCaller): Group[] {
    return [this.#all, kind, tenant, size];
  }

  #sizeClass(caller: Pick<Caller, 'kind' | 'promptTokens' | 'answerTokens'>): string {
    const { promptTokens, answerEvents } = caller.kind;
    const answerTokens = answerEvents * this.#context.site.pace.tokensPerEvent;
    const size = sizeOf(caller) / sizeOf({ promptTokens, answerTokens });
    if (size > LARGEST_TENTH) return 'largest tenth';
    return size > LARGEST_THREE_TENTHS ? 'fifth below' : 'others';
  }

  #groupOf(name: string): Group {
    const group = this.#groups.get(name) ?? { asked: 0, begun: 0 };
    this.#groups.set(name, group);
    return group;
  }

  /** The engine with the most free slots. */
  #freest(): PlacementEngine | undefined {
    const { slots } = this.#context.site.pace;
    const begun = this.#begun;
    const engines = this.#context.living().filter(({ number }) => begun[number] < slots);
    return engines.sort((one, other) => begun[one.number] - begun[other.number])[0];
  }
}

function shareOf({ asked, begun }: Group): number {
  return begun / Math.max(1, asked);
}
