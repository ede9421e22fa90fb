/**
 * One request's search for a slot: which engines' agents it asks, when it asks more of them, and which it does without.
 *
 * The load that this answers is that of the slot table: entries that cannot know what the others have just sent. Two agents
 * are asked, of the own zone where there is no reason against it, by chance among those that nothing tells apart, and the
 * first slot is taken. Where none is free within a moment the zone is busy, and others are asked beside them, elsewhere too:
 * five in all, as more brought nothing in virtual time. Times are in milliseconds of the steady clock.
 */
import type { Random } from '../model/random.js';

/** Agents that are asked first: one alone would leave slots empty that others wait for; each is a message pair. */
const FIRST_ASKED = 2;
/** Agents that are asked besides, once none of the first had a slot: one of the own zone, the others elsewhere. */
const NEAR_ASKED_LATER = 1;
const FAR_ASKED_LATER = 2;
/** More agents are asked after this, above a message pair between zones (4 ms by the users' sheets) and the turn of
 * a busy agent. */
const WIDEN_AFTER = 25;
/** An agent that has not said a word after this is taken for silent: above the 100 ms that two pieces of weights
 * take on an agent's link. */
const SILENT_AFTER = 120;

/** An engine whose agent may be asked. */
export interface SlotCandidate {
  id: string;
  /** It is in the zone of the request. */
  isNear: boolean;
  /** What speaks against it: its place, failures, slowness, a switch that is due, its load where that is known for fresh. */
  cost: number;
  /** Costs closer than this do not tell two of them apart. */
  spread: number;
}

/** An agent that refused, or was silent, is not asked by the same request again for this: about the time of a switch. */
const ASKED_AGAIN_AFTER = 500;

interface AskedRow {
  askedAt: number;
  state: 'asked' | 'queued' | 'failed';
}

/** The search. */
export class SlotSearch {
  readonly #asked = new Map<string, AskedRow>();
  readonly #random: Random;
  readonly #startedAt: number;
  #hasWidened = false;

  /** @param startedAt - when the request began to look for a slot */
  constructor(startedAt: number, random: Random) {
    this.#startedAt = startedAt;
    this.#random = random;
  }

  /** When more agents are to be asked. */
  get widensAt(): number {
    return this.#startedAt + WIDEN_AFTER;
  }

  /** Agents that have been asked. */
  get asked(): number {
    return this.#asked.size;
  }

  /** Whether more agents are to be asked now, if there are any. */
  wantsMore(now: number): boolean {
    return this.#pendingCount < FIRST_ASKED || (now >= this.widensAt && !this.#hasWidened);
  }

  /** True while an agent may still grant a slot. */
  get isPending(): boolean {
    return this.#pendingCount > 0;
  }

  /** Those of `candidates` whose agents are to be asked now. */
  next(candidates: readonly SlotCandidate[], now: number): string[] {
    const chosen = this.#choose(candidates, now);
    for (const id of chosen) this.#asked.set(id, { askedAt: now, state: 'asked' });
    return chosen;
  }

  /** The agent of `id` has said that the request waits there. */
  noteQueued(id: string): void {
    const row = this.#asked.get(id);
    if (row !== undefined) row.state = 'queued';
  }

  /** The engine `id` takes nothing now, or its agent is silent: another is asked in its place. */
  noteFailed(id: string): void {
    const row = this.#asked.get(id);
    if (row !== undefined) row.state = 'failed';
  }

  /**
   * Engines whose agents have been silent for too long.
   * @param runningTime - the time since a moment in which this process ran: answers that came in a standstill are not read yet
   */
  silent(runningTime: (since: number) => number): string[] {
    const rows = [...this.#asked].filter(
      ([, { askedAt, state }]) => state === 'asked' && runningTime(askedAt) >= SILENT_AFTER,
    );
    return rows.map(([id]) => id);
  }

  get #pendingCount(): number {
    return [...this.#asked.values()].filter(({ state }) => state !== 'failed').length;
  }

  #choose(candidates: readonly SlotCandidate[], now: number): string[] {
    const open = this.#inOrder(candidates.filter(({ id }) => this.#mayAsk(id, now)));
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

  /** By their cost, those that it does not tell apart by chance. */
  #inOrder(candidates: readonly SlotCandidate[]): SlotCandidate[] {
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
