/** Looks for a slot at an engine on behalf of one request: asks agents as its search says, and takes the first grant. */
import type { Random } from '../model/random.js';
import type { StallDetector } from '../model/standstills.js';
import type { SlotCandidate } from '../systems/slot-search.js';
import { SlotSearch } from '../systems/slot-search.js';
import type { BackEndRow, BackEndTable } from './back-end-table.js';
import type { EngineSlots, SlotClaim } from './engine-slots.js';

/** What a seeker works with. */
export interface SlotSeekerOptions {
  slots: EngineSlots;
  table: BackEndTable;
  random: Random;
  /** The engines that may take the request now, and whose agents give out slots. */
  candidates: () => SlotCandidate[];
  /** Whether this engine still may, now that it has a slot for it. */
  mayTake: (row: BackEndRow) => boolean;
  /** Rate limit of an engine in requests per second; undefined if none is known. */
  rateLimitOf: (row: BackEndRow) => number | undefined;
  /** 0 goes first. */
  urgency: number;
  /** When the request arrived, and until when it waits for a slot, in milliseconds of the steady clock. */
  arrivedAt: number;
  endsAt: number;
  /** The first slot: whoever takes it releases the claim. The others are given back. */
  onGranted: (row: BackEndRow, claim: SlotClaim, asked: number) => void;
  /** No agent had a slot within a moment: the request waits. */
  onWait: () => void;
  /** No agent is left that may grant a slot. */
  onNobody: () => void;
  /** A fault of this process: it ends one request, not the process. */
  onFault: (cause: unknown) => void;
}

/** The search for a slot of one request. */
export class SlotSeeker {
  readonly #options: SlotSeekerOptions;
  readonly #search: SlotSearch;
  readonly #claims = new Map<string, SlotClaim>();
  #timer: NodeJS.Timeout | undefined;
  #isOver = false;

  constructor(options: SlotSeekerOptions) {
    this.#options = options;
    this.#search = new SlotSearch(performance.now(), options.random);
  }

  /** Asks the first agents. */
  begin(): void {
    const now = performance.now();
    this.#timer = setTimeout(() => this.#widen(), this.#search.widensAt - now);
    this.#ask(now);
  }

  /** True once the time for which the request waits is over. */
  isOver(now: number): boolean {
    return now >= this.#options.endsAt;
  }

  /** Asks others in place of agents that are silent or have refused; called by the shared tick. */
  check(now: number, standstills: StallDetector): void {
    for (const id of this.#search.silent((since) => standstills.runningTime(since, now))) {
      this.#options.table.rows.get(id)?.agent?.noteSilence(now);
      this.#giveBack(id);
    }
    this.#askOthers(now);
  }

  /** Gives back what was asked for. */
  cancel(): void {
    this.#isOver = true;
    clearTimeout(this.#timer);
    for (const claim of this.#claims.values()) claim.release(false);
    this.#claims.clear();
  }

  #widen(): void {
    if (this.#isOver) return;
    this.#guard(() => {
      this.#options.onWait();
      if (!this.#isOver) this.#ask(performance.now());
    });
  }

  #ask(now: number): void {
    if (!this.#search.wantsMore(now)) return;
    for (const id of this.#search.next(this.#options.candidates(), now)) this.#askOne(id, now);
  }

  #askOne(id: string, now: number): void {
    const { slots, table, rateLimitOf, urgency, arrivedAt, endsAt } = this.#options;
    const row = table.rows.get(id);
    if (row?.agent === undefined) return this.#search.noteFailed(id);
    const { agent } = row;
    const wish = {
      urgency,
      waitedFor: Math.round(now - arrivedAt),
      patience: Math.round(Math.max(0, endsAt - now)),
      slots: row.record.slots,
      rateLimit: rateLimitOf(row),
    };
    const claim = slots.ask(agent.address, wish, {
      onGranted: () => {
        agent.noteAnswer();
        this.#guard(() => this.#take(row));
      },
      onQueued: () => {
        agent.noteAnswer();
        this.#search.noteQueued(id);
      },
      onRefused: () => {
        agent.noteAnswer();
        this.#guard(() => this.#goElsewhere(id));
      },
      onUnready: () => {
        agent.noteUnready(performance.now());
        this.#guard(() => this.#goElsewhere(id));
      },
    });
    this.#claims.set(id, claim);
  }

  #guard(handle: () => void): void {
    try {
      handle();
    } catch (cause) {
      this.#options.onFault(cause);
    }
  }

  /** Waits at this engine no more. */
  #giveBack(id: string): void {
    this.#claims.get(id)?.release(false);
    this.#claims.delete(id);
    this.#search.noteFailed(id);
  }

  #goElsewhere(id: string): void {
    this.#giveBack(id);
    this.#askOthers(performance.now());
  }

  #askOthers(now: number): void {
    if (this.#isOver) return;
    this.#ask(now);
    if (!this.#search.isPending) this.#options.onNobody();
  }

  /** Takes a slot, unless its engine may not take the request any more. */
  #take(row: BackEndRow): void {
    const { id } = row.record;
    const claim = this.#claims.get(id);
    if (this.#isOver || claim === undefined) return;
    if (!this.#options.mayTake(row)) return this.#goElsewhere(id);
    this.#claims.delete(id);
    this.cancel();
    this.#options.onGranted(row, claim, this.#search.asked);
  }
}
