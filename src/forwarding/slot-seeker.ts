/**
 * Obtains an engine's slot for one request: asks the agents chosen by its `SlotSearch` and takes the first slot
 * granted.
 */
import type { Random } from '../model/random.js';
import type { StallDetector } from '../model/stall-detector.js';
import type { ColdState } from '../model/warm-up.js';
import type { SlotCandidate } from '../systems/slot-search.js';
import { SlotSearch } from '../systems/slot-search.js';
import type { BackEndRow, BackEndTable } from './back-end-table.js';
import type { EngineSlots, SlotClaim } from './engine-slots.js';

export interface SlotSeekerOptions {
  slots: EngineSlots;
  table: BackEndTable;
  random: Random;
  /** The engines that are eligible now and whose agents grant slots. */
  candidates: () => SlotCandidate[];
  /** Whether an engine is still eligible; called when its slot has been granted. */
  isEligible: (row: BackEndRow) => boolean;
  /** Whether an engine takes no requests any more or for some time; its slot is then not waited for. */
  isUnavailable: (row: BackEndRow, now: number) => boolean;
  /** Rate limit of an engine in requests per second; undefined if none is known. */
  rateLimitOf: (row: BackEndRow) => number | undefined;
  /** Undefined if an engine is not known to be cold. */
  coldStateOf: (row: BackEndRow, now: number) => ColdState | undefined;
  /** Rank of the request in the queues of agents; 0 is first. */
  urgency: number;
  /** When the request arrived, in milliseconds of the monotonic clock. */
  arrivedAt: number;
  /** Until when the request waits for a slot, in milliseconds of the monotonic clock. */
  endsAt: number;
  /** Until when a slot still lets the request meet its objective, in milliseconds of the monotonic clock. */
  inTimeUntil: number;
  /** Tokens of the prompt; 0 if unknown. */
  promptTokens: number;
  /** Called with the first slot granted; the receiver must release the claim. All other claims have been released. */
  onGranted: (row: BackEndRow, claim: SlotClaim, asked: number) => void;
  /** Called when no agent is left that may grant a slot. */
  onExhausted: () => void;
  /**
   * Called when the agents that were asked predict no slot in the time of the request.
   * @param availableIn - shortest time until one of them expects a slot for such a request, in milliseconds
   */
  onFull: (availableIn: number) => void;
  /** Called on an exception in this process, which must end only the request. */
  onFault: (cause: unknown) => void;
}

/** Obtains a slot for one request. */
export class SlotSeeker {
  readonly #options: SlotSeekerOptions;
  readonly #search: SlotSearch;
  readonly #claims = new Map<string, SlotClaim>();
  #timer: NodeJS.Timeout | undefined;
  /** Shortest time until a slot that an agent predicts; infinite if none of them has refused for that reason. */
  #availableIn = Number.POSITIVE_INFINITY;
  #isStopped = false;

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

  /** Whether the request has waited for as long as it may. */
  hasExpired(now: number): boolean {
    return now >= this.#options.endsAt;
  }

  /** Asks other agents in place of those that do not respond or have refused; called by the shared tick. */
  check(now: number, standstills: StallDetector): void {
    for (const id of this.#search.silent((since) => standstills.runningTime(since, now))) {
      this.#options.table.rows.get(id)?.agent?.noteUnanswered(now);
      this.#release(id);
    }
    for (const id of [...this.#claims.keys()]) if (this.#isUnavailable(id, now)) this.#release(id);
    this.#askOthers(now);
  }

  /** Releases all claims and stops. */
  cancel(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    for (const claim of this.#claims.values()) claim.release(false);
    this.#claims.clear();
  }

  #widen(): void {
    if (this.#isStopped) return;
    this.#catchFaults(() => this.#ask(performance.now()));
  }

  #ask(now: number): void {
    if (!this.#search.wantsMore(now)) return;
    for (const id of this.#search.next(this.#options.candidates(), now)) this.#askOne(id, now);
  }

  #askOne(id: string, now: number): void {
    const { slots, table, rateLimitOf, coldStateOf, urgency, arrivedAt, endsAt, inTimeUntil, promptTokens } =
      this.#options;
    const row = table.rows.get(id);
    if (row?.agent === undefined) return this.#search.noteFailed(id);
    const { agent } = row;
    const request = {
      urgency,
      waitedFor: Math.round(now - arrivedAt),
      patience: Math.round(Math.max(0, endsAt - now)),
      slots: row.record.slots,
      rateLimit: rateLimitOf(row),
      inTimeFor: Math.round(Math.max(0, inTimeUntil - now)),
      promptTokens,
      cold: coldStateOf(row, now),
    };
    const claim = slots.ask(agent.address, request, {
      onGranted: () => {
        agent.noteAnswer();
        this.#catchFaults(() => this.#take(row));
      },
      onQueued: () => {
        agent.noteAnswer();
        this.#search.noteQueued(id);
      },
      onRefused: (availableIn) => {
        agent.noteAnswer();
        this.#catchFaults(() => this.#onRefused(id, availableIn));
      },
      onUnready: () => {
        agent.noteUnready(performance.now());
        this.#catchFaults(() => this.#tryOthers(id));
      },
    });
    this.#claims.set(id, claim);
  }

  #catchFaults(handle: () => void): void {
    try {
      handle();
    } catch (cause) {
      this.#options.onFault(cause);
    }
  }

  #isUnavailable(id: string, now: number): boolean {
    const row = this.#options.table.rows.get(id);
    return row !== undefined && this.#options.isUnavailable(row, now);
  }

  /** Releases the claim at one engine. */
  #release(id: string): void {
    this.#claims.get(id)?.release(false);
    this.#claims.delete(id);
    this.#search.noteFailed(id);
  }

  #onRefused(id: string, availableIn: number | undefined): void {
    this.#release(id);
    if (availableIn !== undefined) {
      this.#search.noteFull(id);
      this.#availableIn = Math.min(availableIn, this.#availableIn);
    }
    this.#askOthers(performance.now());
  }

  #tryOthers(id: string): void {
    this.#release(id);
    this.#askOthers(performance.now());
  }

  #askOthers(now: number): void {
    if (this.#isStopped) return;
    this.#ask(now);
    if (this.#search.isPending) return;
    if (this.#availableIn === Number.POSITIVE_INFINITY) this.#options.onExhausted();
    else this.#options.onFull(this.#availableIn);
  }

  /** Takes a granted slot, unless its engine is no longer eligible. */
  #take(row: BackEndRow): void {
    const { id } = row.record;
    const claim = this.#claims.get(id);
    if (this.#isStopped || claim === undefined) return;
    if (!this.#options.isEligible(row)) return this.#tryOthers(id);
    this.#claims.delete(id);
    this.cancel();
    this.#options.onGranted(row, claim, this.#search.asked);
  }
}
