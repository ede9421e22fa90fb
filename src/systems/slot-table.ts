/**
 * The slots of one engine, given out by the agent beside it: each to one request at a time.
 *
 * The load that this answers: many entries send to the same engines, and what each knows of the others' requests is older
 * than a request lasts. Choosing by such news, all take the same engine at once; its queue fills, where requests can
 * neither be reordered nor refused nor sent elsewhere. Here a request waits at the agents of a few engines, and goes to
 * the first that has a slot. An engine is filled to its slots and no further. If it names a rate limit, each grant also
 * takes a permit of a rate limiter. Times are in milliseconds of the steady clock.
 *
 * ```ts
 * for (const decision of table.ask({ id, urgency: 0, waitsSince: now, endsAt: now + 300, slots: 8 }, now)) tell(decision);
 * for (const decision of table.release(id, now)) tell(decision);
 * ```
 */
import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';
import { RateLimiter } from './rate-limiter.js';

/**
 * An engine tells of its load as it stood some hundred ms earlier, and a request takes some ms to reach it: what is
 * younger than this is not looked for there, in milliseconds: twice the lag that the users' sheets name.
 */
const REPORT_LAG = 400;

/** A request that wants a slot. */
export interface SlotAsk {
  id: string;
  /** 0 goes first. */
  urgency: number;
  /** Since when its caller waits: of equal urgency the earliest goes first. */
  waitsSince: number;
  /** It is not wanted any more from then on. */
  endsAt: number;
  /** Requests that the engine runs at the same time, as the asking entry knows it. */
  slots: number;
  /** Rate limit of the engine in requests per second, as the asking entry knows it; undefined if it knows of none. */
  rateLimit?: number | undefined;
}

/** What becomes of a request for a slot. */
export type SlotDecision =
  /** The slot is its own until it is released. */
  | { type: 'granted'; id: string }
  /** It waits for one. */
  | { type: 'queued'; id: string }
  /** The engine takes no requests now, or none that could still be granted in time. */
  | { type: 'refused'; id: string }
  /** Nothing is known of the engine yet: it may take requests. */
  | { type: 'unready'; id: string };

/** The state of the engine, as its agent reads it. */
export interface ObservedEngine {
  /** Its start; undefined where it does not tell it. */
  start?: BackEndIdentity['start'];
  /** False while it takes no new requests, as during a switch of versions. */
  isServing: boolean;
  /** Requests of all callers that run or wait there. */
  load: number;
  /** Rate limit in requests per second that the engine names to its agent; undefined if it names none. */
  rateLimit?: number | undefined;
}

/** Where the slots of one engine are. */
export interface SlotFigures {
  /** As entries tell; 0 until one has asked. */
  slots: number;
  /** Given out. */
  granted: number;
  /** Taken by requests that run there without a slot from here. */
  others: number;
  /** Requests of all callers that ran or waited at the engine, as it told last. */
  running: number;
  /** Requests that wait for a slot. */
  waiting: number;
}

/** The rate limit of an engine. */
interface EngineLimit {
  /** In requests per second. */
  rate: number;
  limiter: RateLimiter;
  /** When it was last named, by the engine or by an entry. */
  namedAt: number;
}

/** A slot that is given out. */
interface Lease {
  grantedAt: number;
  /** The limiter that issued its permit; undefined if it was granted without a rate limit. */
  limiter: RateLimiter | undefined;
}

/** The slots of one engine. */
export class SlotTable {
  /** The slots that are given out, the earliest first. */
  readonly #leases = new Map<string, Lease>();
  readonly #waiting = new Map<string, SlotAsk>();
  #slots = 0;
  #start: BackEndIdentity['start'];
  /** Undefined until the engine has been observed. */
  #isServing: boolean | undefined;
  /** Requests that run there without a slot from here: of entries that do not ask, or from before a restart. */
  #unleased = 0;
  #load = 0;
  /** When slots were released lately: the engine may still tell of these requests. */
  #releasedAt: number[] = [];
  /** Slots given out that the engine did not seem to use at the latest look. */
  #unused = 0;
  /** Undefined if none is known. */
  #limit: EngineLimit | undefined;
  /** Whether the engine has shown if it has a limit. Until then, an agent that has restarted uses the limit that entries know. */
  #isLimitObserved = false;

  /** Where the slots are. */
  get figures(): SlotFigures {
    return {
      slots: this.#slots,
      granted: this.#leases.size,
      others: this.#unleased,
      running: this.#load,
      waiting: this.#waiting.size,
    };
  }

  /** Rate limit of the engine in requests per second; undefined if none is known. */
  get rateLimit(): number | undefined {
    return this.#limit?.rate;
  }

  /** When the rate limit allows the next grant; undefined unless a request waits and a slot is free. */
  get nextGrantAt(): number | undefined {
    return this.#limit !== undefined && this.#waiting.size > 0 && this.#hasFreeSlot
      ? this.#limit.limiter.dueAt()
      : undefined;
  }

  /** A request asks for a slot; one that is told again is answered again. */
  ask(ask: SlotAsk, now: number): SlotDecision[] {
    this.#slots = ask.slots;
    if (this.#leases.has(ask.id)) return [{ type: 'granted', id: ask.id }];
    if (this.#isServing === undefined) return [{ type: 'unready', id: ask.id }];
    if (!this.#isLimitObserved && this.#limit === undefined) this.#setLimit(ask.rateLimit, now);
    if (!this.#isServing || this.#wouldMissEnd(ask)) return [{ type: 'refused', id: ask.id }];
    this.#waiting.set(ask.id, ask);
    const decisions = this.grantFree(now);
    if (this.#waiting.has(ask.id)) decisions.push({ type: 'queued', id: ask.id });
    return decisions;
  }

  /**
   * A request does not need its slot any more, or does not wait for one.
   * @param wasUsed - false if nothing was sent to the engine with the slot; its permit is then returned
   */
  release(id: string, now: number, wasUsed = true): SlotDecision[] {
    this.#waiting.delete(id);
    const lease = this.#leases.get(id);
    if (lease !== undefined) {
      this.#leases.delete(id);
      this.#releasedAt.push(now);
      if (!wasUsed) lease.limiter?.returnPermit();
    }
    return this.grantFree(now);
  }

  /**
   * Updates the rate limit from the engine's answer to the request `id`. An answer without a limit lifts the known limit only
   * if the slot was granted after the limit was last named: answers can arrive out of order.
   * @param rateLimit - limit named by the answer, in requests per second; undefined if it names none
   */
  noteAnswer(id: string, rateLimit: number | undefined, now: number): SlotDecision[] {
    const grantedAt = this.#leases.get(id)?.grantedAt;
    if (rateLimit !== undefined) this.#observeLimit(rateLimit, now);
    else if (grantedAt !== undefined && grantedAt > (this.#limit?.namedAt ?? Number.NEGATIVE_INFINITY)) {
      this.#isLimitObserved = true;
      this.#limit = undefined;
    }
    return this.grantFree(now);
  }

  /** All requests that have a slot or wait for one. */
  ids(): string[] {
    return [...this.#leases.keys(), ...this.#waiting.keys()];
  }

  /** A request has a slot that is not known here, as its entry says: it runs at the engine. */
  adopt(id: string, now: number): void {
    this.#waiting.delete(id);
    if (!this.#leases.has(id)) this.#leases.set(id, { grantedAt: now, limiter: undefined });
  }

  /** Takes back the slots and places of requests of which it is not known whether they have ended. */
  forget(ids: readonly string[], now: number): SlotDecision[] {
    for (const id of ids) {
      this.#waiting.delete(id);
      this.#leases.delete(id);
    }
    return this.grantFree(now);
  }

  /** A request waits for an answer that may have been lost: says again what became of it, unless it waits here. */
  repeat(id: string): SlotDecision[] {
    if (this.#waiting.has(id)) return [];
    return [{ type: this.#leases.has(id) ? 'granted' : 'refused', id }];
  }

  /** Nothing is known of the engine: what waits goes elsewhere, and slots are given out once it has been observed again. */
  lose(): SlotDecision[] {
    const refused = this.refuseAll();
    this.#isServing = undefined;
    return refused;
  }

  /** Takes what was read of the engine: slots of entries that have vanished come free, others' requests count. */
  observe({ start, isServing, load, rateLimit }: ObservedEngine, now: number): SlotDecision[] {
    if (!isSameStart(start, this.#start)) this.#forgetLeases();
    this.#start = start ?? this.#start;
    if (rateLimit !== undefined) this.#observeLimit(rateLimit, now);
    this.#isServing = isServing;
    this.#load = load;
    this.#releasedAt = this.#releasedAt.filter((at) => now - at < REPORT_LAG);
    this.#unleased = Math.max(0, load - this.#leases.size - this.#releasedAt.length);
    this.#reclaim(load, now);
    return isServing ? this.grantFree(now) : this.refuseAll();
  }

  /** Takes no requests any more: those that wait are to go elsewhere. */
  refuseAll(): SlotDecision[] {
    this.#isServing = false;
    const refused = [...this.#waiting.keys()];
    this.#waiting.clear();
    return refused.map((id) => ({ type: 'refused', id }));
  }

  /** The engine has started again: what ran there did not survive it. */
  #forgetLeases(): void {
    this.#leases.clear();
    this.#releasedAt = [];
    this.#unused = 0;
    this.#limit = undefined;
    this.#isLimitObserved = false;
  }

  #observeLimit(rate: number, now: number): void {
    this.#isLimitObserved = true;
    this.#setLimit(rate, now);
  }

  #setLimit(rate: number | undefined, now: number): void {
    if (rate === undefined) return;
    const limiter = this.#limit?.limiter ?? new RateLimiter(rate, now);
    limiter.setRate(rate, now);
    this.#limit = { rate, limiter, namedAt: now };
  }

  /** Whether the rate limit delays a request past its `endsAt`, given the requests that already wait. */
  #wouldMissEnd({ id, endsAt }: SlotAsk): boolean {
    const ahead = this.#waiting.has(id) ? this.#waiting.size - 1 : this.#waiting.size;
    return this.#limit !== undefined && this.#limit.limiter.dueAt(ahead) > endsAt;
  }

  /** Takes back slots whose requests the engine did not run at this look nor at the one before. */
  #reclaim(load: number, now: number): void {
    const settled = [...this.#leases].filter(([, { grantedAt }]) => now - grantedAt >= REPORT_LAG);
    const unused = Math.max(0, settled.length - load);
    const vanished = Math.min(unused, this.#unused);
    for (const [id] of settled.slice(0, vanished)) this.#leases.delete(id);
    this.#unused = unused - vanished;
  }

  get #hasFreeSlot(): boolean {
    return this.#isServing === true && this.#leases.size + this.#unleased < this.#slots;
  }

  /** Grants free slots to waiting requests, as far as the rate limit allows. */
  grantFree(now: number): SlotDecision[] {
    const decisions: SlotDecision[] = [];
    while (this.#hasFreeSlot) {
      const next = this.#next(now);
      const limiter = this.#limit?.limiter;
      if (next === undefined || limiter?.tryAcquire(now) === false) break;
      this.#waiting.delete(next.id);
      this.#leases.set(next.id, { grantedAt: now, limiter });
      decisions.push({ type: 'granted', id: next.id });
    }
    return decisions;
  }

  /** The request that goes next; forgets those that are not wanted any more. */
  #next(now: number): SlotAsk | undefined {
    let next: SlotAsk | undefined;
    for (const ask of this.#waiting.values()) {
      if (ask.endsAt <= now) this.#waiting.delete(ask.id);
      else if (next === undefined || goesBefore(ask, next)) next = ask;
    }
    return next;
  }
}

function goesBefore(one: SlotAsk, other: SlotAsk): boolean {
  if (one.urgency !== other.urgency) return one.urgency < other.urgency;
  return one.waitsSince < other.waitsSince;
}
