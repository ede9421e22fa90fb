/**
 * The slots of one engine, granted by its agent. Each slot is held by one request at a time.
 *
 * Many entries send requests to the same engines, and what each entry knows about the others' requests is older than the
 * duration of a request. If entries chose engines by this information, all would choose the same engine at once, and its
 * queue would fill with requests that can no longer be reordered, refused or moved. Instead, a request waits at the agents
 * of a few engines and goes to the first one that grants it a slot, so that an engine never runs more requests than it has
 * slots. If the engine names a rate limit, each grant also takes a permit of a rate limiter. Times are in milliseconds of
 * the monotonic clock.
 *
 * ```ts
 * for (const decision of table.ask({ id, urgency: 0, waitsSince: now, endsAt: now + 300, slots: 8 }, now)) tell(decision);
 * for (const decision of table.release(id, now)) tell(decision);
 * ```
 */
import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';
import { type KnownPace, PromptBacklog } from './prompt-backlog.js';
import { RateLimiter } from './rate-limiter.js';
import { type ColdEngine, type SlotAsk, SlotQueue } from './slot-queue.js';

/**
 * Age below which grants and releases may not be visible in the reported load yet, in milliseconds. An engine reports its
 * load a few hundred milliseconds late, and a request takes a few to reach it. This is twice the lag in the users'
 * specifications.
 */
const REPORT_LAG = 400;

/** Factor by which a wait may exceed the expected one, as more urgent requests that arrive later go first. */
const WAIT_MARGIN = 1.5;

/** The decision on a request for a slot. */
export type SlotDecision =
  /** The request holds a slot until it is released. */
  | { type: 'granted'; id: string }
  /** The request waits for a slot. */
  | { type: 'queued'; id: string }
  /**
   * The engine accepts no requests now, or cannot accept this one in time. `availableIn` is the time until a slot is expected
   * for such a request; undefined if none is predicted.
   */
  | { type: 'refused'; id: string; availableIn?: number }
  /** The state of the engine is not known yet; it may accept requests. */
  | { type: 'unready'; id: string };

/** The state of the engine, as read by its agent. */
export interface ObservedEngine extends KnownPace {
  /** Its start; undefined if it does not report one. */
  start?: BackEndIdentity['start'];
  /** False while it accepts no new requests, for example during a version switch. */
  isServing: boolean;
  /** Number of requests that run or wait at the engine. */
  load: number;
  /** Rate limit in requests per second that the engine names to its agent; undefined if it names none. */
  rateLimit?: number | undefined;
  /** Set if the agent knows that the engine is cold. */
  cold?: ColdEngine | undefined;
}

/** Metrics of the slots of one engine. */
export interface SlotFigures {
  /** Number of slots, as stated by entries; 0 until one has asked. */
  slots: number;
  /** Granted slots. */
  granted: number;
  /** Slots taken by requests that run without a grant. */
  others: number;
  /** Requests that ran or waited at the engine, as last reported. */
  running: number;
  /** Requests that wait for a slot. */
  waiting: number;
}

/** The rate limit that an engine names. */
interface NamedLimit {
  /** In requests per second. */
  rate: number;
  /** When it was last named, by the engine or by an entry. */
  namedAt: number;
}

/** A granted slot. */
interface Lease {
  grantedAt: number;
  /** The limiter that issued its permit; undefined if it was granted without a rate limit. */
  limiter: RateLimiter | undefined;
}

/** The slots of one engine. */
export class SlotTable {
  /** The granted slots, earliest first. */
  readonly #leases = new Map<string, Lease>();
  readonly #waiting = new SlotQueue();
  readonly #backlog = new PromptBacklog();
  /** When the backlog lets the next request have a slot, as of the last attempt to grant it one. */
  #readableAt: number | undefined;
  #slots = 0;
  #start: BackEndIdentity['start'];
  /** Undefined until the engine has been observed. */
  #isServing: boolean | undefined;
  /** Requests that run without a grant: sent by entries that do not ask for slots, or before a restart of the agent. */
  #unleased = 0;
  #load = 0;
  /** Times of recent releases: the engine may still report these requests. */
  #releasedAt: number[] = [];
  /** Granted slots that the engine did not seem to use when it was last observed. */
  #unused = 0;
  /** The rate limit that the engine names; undefined if none is known. */
  #limit: NamedLimit | undefined;
  /** Undefined if the engine is warm. */
  #cold: ColdEngine | undefined;
  /** Issues the permits of the lower one of both rates; undefined if there is neither. */
  #limiter: RateLimiter | undefined;
  /** Whether the engine has shown if it has a limit. Until then, a restarted agent uses the limit known to entries. */
  #isLimitObserved = false;

  /** The current metrics. */
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
    const rates = [this.#limit?.rate, this.#cold?.rate].filter((rate) => rate !== undefined);
    return rates.length === 0 ? undefined : Math.min(...rates);
  }

  /** When the backlog and the rate limit allow the next grant; undefined unless a request waits and a slot is free. */
  get nextGrantAt(): number | undefined {
    if (this.#waiting.size === 0 || !this.#hasFreeSlot) return undefined;
    const permitAt = this.#permitDueAt(0);
    if (this.#readableAt === undefined) return permitAt;
    return Math.max(this.#readableAt, permitAt ?? this.#readableAt);
  }

  /** Handles a request for a slot. A repeated message is answered again. */
  ask(ask: SlotAsk, now: number): SlotDecision[] {
    this.#slots = ask.slots;
    if (this.#leases.has(ask.id)) return [{ type: 'granted', id: ask.id }];
    if (this.#isServing === undefined) return [{ type: 'unready', id: ask.id }];
    if (!this.#isLimitObserved && this.#limit === undefined) this.#setLimit(ask.rateLimit, now);
    this.#noteCold(ask.cold);
    this.#updateLimiter(now);
    if (!this.#isServing || this.#wouldMissEnd(ask)) return [{ type: 'refused', id: ask.id }];
    const isWaiting = this.#waiting.has(ask.id);
    const availableIn = this.#hasFreeSlot || isWaiting ? 0 : this.#waiting.expectedWait(ask, now);
    if (availableIn !== undefined && now + WAIT_MARGIN * availableIn > ask.endsAt)
      return [{ type: 'refused', id: ask.id, availableIn }];
    this.#waiting.add(ask);
    const decisions = this.grantFree(now);
    if (this.#waiting.has(ask.id)) decisions.push({ type: 'queued', id: ask.id });
    return decisions;
  }

  /**
   * Releases the slot of a request, or removes it from the queue.
   * @param wasUsed - false if nothing was sent to the engine with the slot; its permit is then returned
   */
  release(id: string, now: number, wasUsed = true): SlotDecision[] {
    this.#waiting.withdraw(id, now);
    this.#backlog.noteReleased(id);
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

  /** The engine has read the prompt of the request `id`. */
  notePromptRead(id: string, now: number): SlotDecision[] {
    this.#backlog.noteRead(id);
    return this.grantFree(now);
  }

  /** Whether entries are to report when a prompt is read. */
  get isLimitedByWork(): boolean {
    return this.#backlog.isLimiting;
  }

  /** The ids of all requests that have a slot or wait for one. */
  ids(): string[] {
    return [...this.#leases.keys(), ...this.#waiting.ids()];
  }

  /** Records a slot that a request holds according to its entry, although it may be unknown here. */
  adopt(id: string, now: number): void {
    this.#waiting.remove(id);
    if (!this.#leases.has(id)) this.#leases.set(id, { grantedAt: now, limiter: undefined });
  }

  /** Takes back the slots and queue positions of requests that may or may not have ended. */
  forget(ids: readonly string[], now: number): SlotDecision[] {
    for (const id of ids) {
      this.#waiting.remove(id);
      this.#backlog.noteReleased(id);
      this.#leases.delete(id);
    }
    return this.grantFree(now);
  }

  /** Repeats the decision on a request whose answer may have been lost, unless the request is still queued here. */
  repeat(id: string): SlotDecision[] {
    if (this.#waiting.has(id)) return [];
    return [{ type: this.#leases.has(id) ? 'granted' : 'refused', id }];
  }

  /** Handles the loss of the engine's state: refuses queued requests, and grants none until it is observed again. */
  invalidate(): SlotDecision[] {
    const refused = this.refuseAll();
    this.#isServing = undefined;
    return refused;
  }

  /** Applies the observed state of the engine: reclaims unused slots and counts requests that run without a grant. */
  observe(engine: ObservedEngine, now: number): SlotDecision[] {
    const { start, isServing, load, rateLimit, cold } = engine;
    if (!isSameStart(start, this.#start)) this.#forgetLeases();
    this.#backlog.observe(engine);
    this.#start = start ?? this.#start;
    if (rateLimit !== undefined) this.#observeLimit(rateLimit, now);
    this.#noteCold(cold);
    this.#isServing = isServing;
    this.#load = load;
    this.#releasedAt = this.#releasedAt.filter((at) => now - at < REPORT_LAG);
    this.#unleased = Math.max(0, load - this.#leases.size - this.#releasedAt.length);
    this.#reclaim(load, now);
    return isServing ? this.grantFree(now) : this.refuseAll();
  }

  /** Stops granting slots and refuses all queued requests. */
  refuseAll(): SlotDecision[] {
    this.#isServing = false;
    return this.#waiting.clear().map((id) => ({ type: 'refused', id }));
  }

  /** Handles a restart of the engine, which ended all requests there. */
  #forgetLeases(): void {
    this.#leases.clear();
    this.#backlog.clear();
    this.#releasedAt = [];
    this.#unused = 0;
    this.#limit = undefined;
    this.#cold = undefined;
    this.#limiter = undefined;
    this.#isLimitObserved = false;
  }

  #observeLimit(rate: number, now: number): void {
    this.#isLimitObserved = true;
    this.#setLimit(rate, now);
  }

  #setLimit(rate: number | undefined, now: number): void {
    if (rate === undefined) return;
    this.#limit = { rate, namedAt: now };
    this.#updateLimiter(now);
  }

  /** Each statement can only prolong the time for which the engine is cold. */
  #noteCold(cold: ColdEngine | undefined): void {
    if (cold === undefined) return;
    this.#cold = { rate: cold.rate, until: Math.max(cold.until, this.#cold?.until ?? cold.until) };
  }

  #updateLimiter(now: number): void {
    if (this.#cold !== undefined && now >= this.#cold.until) this.#cold = undefined;
    const rate = this.rateLimit;
    if (rate === undefined) {
      this.#limiter = undefined;
      return;
    }
    this.#limiter ??= new RateLimiter(rate, now);
    this.#limiter.setRate(rate, now);
  }

  /** When the permit after `permitsAhead` others is due, at the latest as the engine gets warm; undefined without a limit. */
  #permitDueAt(permitsAhead: number): number | undefined {
    const dueAt = this.#limiter?.dueAt(permitsAhead);
    if (dueAt === undefined || this.#cold === undefined || this.#limit !== undefined) return dueAt;
    return Math.min(dueAt, this.#cold.until);
  }

  /** Whether the rate limit delays a request past its `endsAt`, given the requests already queued. */
  #wouldMissEnd({ id, endsAt }: SlotAsk): boolean {
    const ahead = this.#waiting.has(id) ? this.#waiting.size - 1 : this.#waiting.size;
    return (this.#permitDueAt(ahead) ?? Number.NEGATIVE_INFINITY) > endsAt;
  }

  /** Takes back slots that the engine used neither in this observation nor in the previous one. */
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
    this.#updateLimiter(now);
    while (this.#hasFreeSlot) {
      const next = this.#waiting.next(now);
      const limiter = this.#limiter;
      this.#readableAt = next && this.#backlog.grantableAt(next, now);
      if (this.#readableAt !== undefined && this.#readableAt > now) break;
      if (next === undefined || limiter?.tryAcquire(now) === false) break;
      this.#waiting.noteGranted(next, now);
      this.#backlog.noteGranted(next, now);
      this.#leases.set(next.id, { grantedAt: now, limiter });
      decisions.push({ type: 'granted', id: next.id });
    }
    return decisions;
  }
}
