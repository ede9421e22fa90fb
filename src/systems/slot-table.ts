/**
 * The slots of one engine, given out by the agent beside it: each to one request at a time.
 *
 * The load that this answers: many entries send to the same engines, and what each knows of the others' requests is older
 * than a request lasts. Choosing by such news, all take the same engine at once; its queue fills, where requests can
 * neither be reordered nor refused nor sent elsewhere. Here a request waits at the agents of a few engines, and goes to
 * the first that has a slot. An engine is filled to its slots and no further. Times are in milliseconds of the steady clock.
 *
 * ```ts
 * for (const decision of table.ask({ id, urgency: 0, waitsSince: now, endsAt: now + 300, slots: 8 }, now)) tell(decision);
 * for (const decision of table.release(id, now)) tell(decision);
 * ```
 */
import { type BackEndIdentity, isSameStart } from '../fleet/back-end-identity.js';

/**
 * An engine tells of its load as it stood some hundred ms earlier, and a request takes some ms to reach it: what is
 * younger than this is not looked for there, in milliseconds. Chosen, at twice the lag that the users' sheets name.
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
}

/** What becomes of a request for a slot. */
export type SlotDecision =
  /** The slot is its own until it is released. */
  | { type: 'granted'; id: string }
  /** It waits for one. */
  | { type: 'queued'; id: string }
  /** The engine takes no requests now. */
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

/** The slots of one engine. */
export class SlotTable {
  /** When each slot that is given out was granted, the earliest first. */
  readonly #leases = new Map<string, number>();
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

  /** A request asks for a slot; one that is told again is answered again. */
  ask(ask: SlotAsk, now: number): SlotDecision[] {
    this.#slots = ask.slots;
    if (this.#leases.has(ask.id)) return [{ type: 'granted', id: ask.id }];
    if (this.#isServing === undefined) return [{ type: 'unready', id: ask.id }];
    if (!this.#isServing) return [{ type: 'refused', id: ask.id }];
    this.#waiting.set(ask.id, ask);
    const decisions = this.#grantFree(now);
    if (this.#waiting.has(ask.id)) decisions.push({ type: 'queued', id: ask.id });
    return decisions;
  }

  /** A request does not need its slot any more, or does not wait for one. */
  release(id: string, now: number): SlotDecision[] {
    this.#waiting.delete(id);
    if (this.#leases.delete(id)) this.#releasedAt.push(now);
    return this.#grantFree(now);
  }

  /** All requests that have a slot or wait for one. */
  ids(): string[] {
    return [...this.#leases.keys(), ...this.#waiting.keys()];
  }

  /** A request has a slot that is not known here, as its entry says: it runs at the engine. */
  adopt(id: string, now: number): void {
    this.#waiting.delete(id);
    if (!this.#leases.has(id)) this.#leases.set(id, now);
  }

  /** Takes back the slots and places of requests of which it is not known whether they have ended. */
  forget(ids: readonly string[], now: number): SlotDecision[] {
    for (const id of ids) {
      this.#waiting.delete(id);
      this.#leases.delete(id);
    }
    return this.#grantFree(now);
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
  observe({ start, isServing, load }: ObservedEngine, now: number): SlotDecision[] {
    if (!isSameStart(start, this.#start)) this.#forgetLeases();
    this.#start = start ?? this.#start;
    this.#isServing = isServing;
    this.#load = load;
    this.#releasedAt = this.#releasedAt.filter((at) => now - at < REPORT_LAG);
    this.#unleased = Math.max(0, load - this.#leases.size - this.#releasedAt.length);
    this.#reclaim(load, now);
    return isServing ? this.#grantFree(now) : this.refuseAll();
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
  }

  /** Takes back slots whose requests the engine did not run at this look nor at the one before. */
  #reclaim(load: number, now: number): void {
    const settled = [...this.#leases].filter(([, grantedAt]) => now - grantedAt >= REPORT_LAG);
    const unused = Math.max(0, settled.length - load);
    const vanished = Math.min(unused, this.#unused);
    for (const [id] of settled.slice(0, vanished)) this.#leases.delete(id);
    this.#unused = unused - vanished;
  }

  #grantFree(now: number): SlotDecision[] {
    const decisions: SlotDecision[] = [];
    while (this.#isServing === true && this.#leases.size + this.#unleased < this.#slots) {
      const next = this.#next(now);
      if (next === undefined) break;
      this.#waiting.delete(next.id);
      this.#leases.set(next.id, now);
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
