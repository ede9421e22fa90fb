/**
 * The requests that wait for a slot of one engine, and the wait that a new one has to expect. Requests that can still meet
 * their objective go before late ones, each in the order of urgency, then of arrival.
 *
 * A request waits at up to five agents, and most of those ahead of it leave because another agent granted them a slot. So
 * the wait is predicted from how fast this queue has moved lately, grants and withdrawals, rather than from the duration of
 * requests. Times are in milliseconds of the monotonic clock.
 */

/** A request that wants a slot. */
export interface SlotAsk {
  id: string;
  /** 0 is the most urgent. */
  urgency: number;
  /** Since when its caller has been waiting; at equal urgency, the earliest goes first. */
  waitsSince: number;
  /** When the request expires. */
  endsAt: number;
  /** Number of concurrent requests of the engine, as known to the asking entry. */
  slots: number;
  /** Rate limit of the engine in requests per second, as the asking entry knows it; undefined if it knows of none. */
  rateLimit?: number | undefined;
  /** Until when a grant lets the request meet its objective; undefined if the asking entry does not say. */
  inTimeUntil?: number | undefined;
  /** Tokens of its prompt; 0 or undefined if unknown. */
  promptTokens?: number | undefined;
  /** Set if the asking entry knows that the engine is cold. */
  cold?: ColdEngine | undefined;
}

/** An engine that bears few requests until a certain time. */
export interface ColdEngine {
  /** In requests per second, from all entries together. */
  rate: number;
  until: number;
}

/** Added to the urgency of late requests; no urgency is as large. */
const LATE = 1_000;
/** Movement is counted in this many parts of a window, each of this length. */
const WINDOW_PARTS = 8;
const PART_LENGTH = 250;
const MILLISECONDS = 1_000;
/**
 * A request that leaves the queue this long before its end, or longer, has got a slot elsewhere; others have given up. It is
 * above the interval at which entries look whether a wait has ended.
 */
const GIVEN_UP_WITHIN = 75;

/** Requests by place in the order that were granted a slot, or left for one elsewhere. */
interface Movement {
  /** Number of the part since the start of the clock. */
  part: number;
  granted: Map<number, number>;
  left: Map<number, number>;
}

/** The waiting requests of one engine. */
export class SlotQueue {
  readonly #waiting = new Map<string, SlotAsk>();
  #movements: Movement[] = [];
  /** Since when movement has been observed. */
  #observedSince: number | undefined;

  /** Number of waiting requests. */
  get size(): number {
    return this.#waiting.size;
  }

  ids(): string[] {
    return [...this.#waiting.keys()];
  }

  has(id: string): boolean {
    return this.#waiting.has(id);
  }

  add(ask: SlotAsk): void {
    this.#waiting.set(ask.id, ask);
  }

  /** Removes a request whose entry has withdrawn it. */
  withdraw(id: string, now: number): void {
    const ask = this.#waiting.get(id);
    this.#waiting.delete(id);
    if (ask !== undefined && ask.endsAt - now >= GIVEN_UP_WITHIN)
      count(this.#movementAt(now).left, placeOf(ask, now));
  }

  /** Removes a request of which nothing more is known. */
  remove(id: string): void {
    this.#waiting.delete(id);
  }

  /** Removes all requests; returns their ids. */
  clear(): string[] {
    const ids = this.ids();
    this.#waiting.clear();
    return ids;
  }

  /** Removes `ask`, as it has been granted a slot. */
  noteGranted(ask: SlotAsk, now: number): void {
    this.#waiting.delete(ask.id);
    count(this.#movementAt(now).granted, placeOf(ask, now));
  }

  /** The request to grant next; removes expired requests. */
  next(now: number): SlotAsk | undefined {
    let next: SlotAsk | undefined;
    for (const ask of this.#waiting.values()) {
      if (ask.endsAt <= now) this.#waiting.delete(ask.id);
      else if (next === undefined || precedes(ask, next, now)) next = ask;
    }
    return next;
  }

  /**
   * Time until a slot is expected for a new request, in milliseconds; undefined if the queue has not been observed for long
   * enough. If no other request of its urgency waits, it is 0: such a request finds out whether the queue moves.
   */
  expectedWait(ask: SlotAsk, now: number): number | undefined {
    if (this.#observedSince === undefined || now - this.#observedSince < WINDOW_PARTS * PART_LENGTH)
      return undefined;
    this.#forgetBefore(now);
    const place = placeOf(ask, now);
    let before = 0;
    let beside = 0;
    for (const other of this.#waiting.values()) {
      if (other.id === ask.id || other.endsAt <= now || precedes(ask, other, now)) continue;
      if (placeOf(other, now) === place) beside++;
      else before++;
    }
    if (beside === 0) return 0;
    // What less urgent requests were granted could have been granted to one of this urgency.
    const rate = this.#rate(
      (other) => other >= place,
      (other) => other === place,
    );
    const rateOfAll = this.#rate(
      () => true,
      () => true,
    );
    return (beside / rate + (before === 0 ? 0 : before / rateOfAll)) * MILLISECONDS;
  }

  /** Requests a second that were granted a slot, or left for one elsewhere, at the given places in the order. */
  #rate(isGrantCounted: (place: number) => boolean, isLeavingCounted: (place: number) => boolean): number {
    const moved = this.#movements.reduce(
      (sum, { granted, left }) => sum + total(granted, isGrantCounted) + total(left, isLeavingCounted),
      0,
    );
    return (moved * MILLISECONDS) / (WINDOW_PARTS * PART_LENGTH);
  }

  #movementAt(now: number): Movement {
    this.#observedSince ??= now;
    this.#forgetBefore(now);
    const part = Math.floor(now / PART_LENGTH);
    const latest = this.#movements.at(-1);
    if (latest?.part === part) return latest;
    const movement = { part, granted: new Map(), left: new Map() };
    this.#movements.push(movement);
    return movement;
  }

  #forgetBefore(now: number): void {
    const oldest = Math.floor(now / PART_LENGTH) - WINDOW_PARTS + 1;
    if (this.#movements.length > 0 && this.#movements[0].part < oldest)
      this.#movements = this.#movements.filter(({ part }) => part >= oldest);
  }
}

/** Whether `one` is granted a slot before `other`. */
function precedes(one: SlotAsk, other: SlotAsk, now: number): boolean {
  const difference = placeOf(one, now) - placeOf(other, now);
  return difference === 0 ? one.waitsSince < other.waitsSince : difference < 0;
}

/** Place in the order of requests, before that of arrival: those in time by urgency, then late ones by urgency. */
function placeOf({ inTimeUntil, urgency }: SlotAsk, now: number): number {
  return inTimeUntil !== undefined && inTimeUntil <= now ? LATE + urgency : urgency;
}

function count(counts: Map<number, number>, place: number): void {
  counts.set(place, (counts.get(place) ?? 0) + 1);
}

function total(counts: ReadonlyMap<number, number>, isCounted: (place: number) => boolean): number {
  let sum = 0;
  for (const [place, number] of counts) if (isCounted(place)) sum += number;
  return sum;
}
