/**
 * One request's search for a slot: which engines' agents it asks, when it asks more of them, and which it gives up on.
 *
 * As explained at the slot table, entries cannot know which requests the others have just sent. The search first asks two
 * agents, in its own zone unless their cost is higher, chosen at random among those of equal cost, and takes the first slot
 * granted. If none is free after a short time, the zone is busy, and more agents are asked, also in other zones: five in
 * total, as more brought no improvement in simulation. Times are in milliseconds of the monotonic clock.
 */
import type { Random } from '../model/random.js';

/** Agents asked first. With only one, slots would stay free while requests wait; each costs a pair of messages. */
const FIRST_ASKED = 2;
/** Additional agents asked if none of the first had a free slot: one in the own zone, the others in other zones. */
const NEAR_ASKED_LATER = 1;
const FAR_ASKED_LATER = 2;
/**
 * Time after which more agents are asked. It is above the round trip between zones (4 ms by the users' specifications)
 * plus the response time of a busy agent.
 */
const WIDEN_AFTER = 25;
/**
 * Time without a response after which an agent is considered silent. It is above the 100 ms that two pieces of weights
 * take on an agent's link.
 */
const SILENT_AFTER = 120;

/** An engine whose agent may be asked. */
export interface SlotCandidate {
  id: string;
  /** Whether it is in the zone of the request. */
  isNear: boolean;
  /** Cost of using it: its location, failures, slowness, a pending version switch, and its load if that is up to date. */
  cost: number;
  /** Candidates whose costs differ by less than this are considered equal. */
  spread: number;
}

/** Number of agents that predict no slot in time after which no others are asked: as many as a search asks in all. */
const MAX_FULL = FIRST_ASKED + NEAR_ASKED_LATER + FAR_ASKED_LATER;

/** Time for which a request does not ask an agent again after it refused or was silent: about the time of a switch. */
const ASKED_AGAIN_AFTER = 500;

interface AskedRow {
  askedAt: number;
  state: 'asked' | 'queued' | 'failed' | 'full';
}

/** The slot search of one request. */
export class SlotSearch {
  readonly #asked = new Map<string, AskedRow>();
  readonly #random: Random;
  readonly #startedAt: number;
  #hasWidened = false;

  /** @param startedAt - when the search started */
  constructor(startedAt: number, random: Random) {
    this.#startedAt = startedAt;
    this.#random = random;
  }

  /** When more agents are to be asked. */
  get widensAt(): number {
    return this.#startedAt + WIDEN_AFTER;
  }

  /** Number of agents that have been asked. */
  get asked(): number {
    return this.#asked.size;
  }

  /** Whether more agents should be asked now, if there are any. */
  wantsMore(now: number): boolean {
    if (this.isFull) return false;
    return this.#pendingCount < FIRST_ASKED || (now >= this.widensAt && !this.#hasWidened);
  }

  /** Whether an agent may still grant a slot. */
  get isPending(): boolean {
    return this.#pendingCount > 0;
  }

  /** The ids of the candidates whose agents are to be asked now. */
  next(candidates: readonly SlotCandidate[], now: number): string[] {
    const chosen = this.#choose(candidates, now);
    for (const id of chosen) this.#asked.set(id, { askedAt: now, state: 'asked' });
    return chosen;
  }

  /** Records that the agent of `id` has queued the request. */
  noteQueued(id: string): void {
    const row = this.#asked.get(id);
    if (row !== undefined) row.state = 'queued';
  }

  /** Records that the agent of `id` predicts no slot in the time of the request; another one is asked in its place. */
  noteFull(id: string): void {
    const row = this.#asked.get(id);
    if (row !== undefined) row.state = 'full';
  }

  /** Whether enough agents have predicted no slot in the time of the request. */
  get isFull(): boolean {
    return this.#countOf('full') >= MAX_FULL;
  }

  /** Records that the engine `id` accepts no requests or its agent is silent; another one is asked in its place. */
  noteFailed(id: string): void {
    const row = this.#asked.get(id);
    if (row !== undefined) row.state = 'failed';
  }

  /**
   * Engines whose agents have been silent for too long.
   * @param runningTime - returns the time since a moment during which this process was running. Pauses of the process do
   * not count, as answers that arrived during one have not been read yet.
   */
  silent(runningTime: (since: number) => number): string[] {
    const rows = [...this.#asked].filter(
      ([, { askedAt, state }]) => state === 'asked' && runningTime(askedAt) >= SILENT_AFTER,
    );
    return rows.map(([id]) => id);
  }

  get #pendingCount(): number {
    return this.#countOf('asked') + this.#countOf('queued');
  }

  #countOf(wanted: AskedRow['state']): number {
    return [...this.#asked.values()].filter(({ state }) => state === wanted).length;
  }

  #choose(candidates: readonly SlotCandidate[], now: number): string[] {
    const open = this.#sortByCost(candidates.filter(({ id }) => this.#mayAsk(id, now)));
    const first = open.slice(0, Math.max(0, FIRST_ASKED - this.#pendingCount));
    const later = now < this.widensAt || this.#hasWidened ? [] : this.#widen(open.slice(first.length));
    return [...first, ...later].map(({ id }) => id);
  }

  #widen(open: readonly SlotCandidate[]): SlotCandidate[] {
    this.#hasWidened = true;
    const near = open.filter(({ isNear }) => isNear);
    const far = open.filter(({ isNear }) => !isNear);
    return [...near.slice(0, NEAR_ASKED_LATER), ...far.slice(0, FAR_ASKED_LATER)];
  }

  /** Sorts candidates by cost, in random order among those of similar cost. */
  #sortByCost(candidates: readonly SlotCandidate[]): SlotCandidate[] {
    const costs = new Map(
      candidates.map((one) => [one, one.cost + one.spread * this.#random.fraction()] as const),
    );
    return [...candidates].sort((one, other) => costs.get(one)! - costs.get(other)!);
  }

  #mayAsk(id: string, now: number): boolean {
    const row = this.#asked.get(id);
    return row === undefined || (row.state === 'failed' && now - row.askedAt >= ASKED_AGAIN_AFTER);
  }
}
