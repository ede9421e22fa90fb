/**
 * Tracks, at an engine's agent, the entries that hold or request slots. It corrects the slot table by their statements and
 * releases the slots of processes that have ended. Only the agent's own clock is used. Times are in milliseconds of the
 * monotonic clock.
 *
 * - A statement lists all open claims of a process. Other claims of that process in the table are released, lost grants
 *   are repeated, and claims that wait according to the statement but are not in the table are refused.
 * - The first message of a new process releases the claims of the previous process at the same address.
 * - An entry that is silent has stopped or is unreachable, and its slots are given to others. When it is heard again, its
 *   first statement is accepted in full, as it is after a restart of the agent.
 */
import { claimId, processOf, type SlotStatement } from './slot-claims.js';
import type { SlotDecision, SlotTable } from './slot-table.js';

/**
 * Time without a message after which an entry is considered stopped. Entries with claims send a statement every 100 ms;
 * one of three arrives even if a link is saturated for 400 ms. If seven entries share the slots of an engine, one that is
 * killed wastes a seventh of the slots for 0.3 s, or 43 ms of the engine's time.
 */
const SILENCE_LIMIT = 300;

interface Holder {
  process: number;
  heardAt: number;
  /** True once it has sent a statement; from then on the table knows all its slots. */
  isKnown: boolean;
}

/** The id of a claim in the slot table. */
export function tableId(entry: string, id: number): string {
  return `${entry}/${id}`;
}

/** The entry and the claim of an id in the slot table. */
export function claimOf(tableId: string): { entry: string; id: number } {
  const [entry, id] = tableId.split('/');
  return { entry, id: Number(id) };
}

/** The entries that hold or request slots of one engine. */
export class SlotHolders {
  readonly #table: SlotTable;
  readonly #holders = new Map<string, Holder>();

  constructor(table: SlotTable) {
    this.#table = table;
  }

  /** Records that `entry` has requested a slot with the claim `id`. */
  noteRequest(entry: string, id: number, now: number): SlotDecision[] {
    const { decisions } = this.#noteMessage(entry, processOf(id), now);
    return decisions;
  }

  /** Applies a statement of `entry`. */
  takeStatement(entry: string, statement: SlotStatement, now: number): SlotDecision[] {
    const { holder, decisions } = this.#noteMessage(entry, statement.process, now);
    const idOf = (number: number) => tableId(entry, claimId(statement.process, number));
    const held = new Set(statement.held.map(idOf));
    const waiting = new Set(statement.waiting.map(idOf));
    if (!holder.isKnown) for (const id of held) this.#table.adopt(id, now);
    holder.isKnown = true;
    const latest = claimId(statement.process, statement.next);
    const ended = this.#idsOf(entry).filter(
      (id) => !held.has(id) && !waiting.has(id) && claimOf(id).id < latest,
    );
    decisions.push(...this.#release(ended, now));
    for (const id of waiting) decisions.push(...this.#table.repeat(id));
    return decisions;
  }

  /**
   * Takes back the claims of silent entries.
   * @param runningTime - returns the time since a moment during which this process was running. Pauses of the process do
   * not count, as messages that arrived during one have not been read yet.
   */
  check(now: number, runningTime: (since: number) => number): SlotDecision[] {
    const silent = [...this.#holders].filter(([, { heardAt }]) => runningTime(heardAt) >= SILENCE_LIMIT);
    const ids = silent.flatMap(([entry]) => this.#idsOf(entry));
    for (const [entry] of silent) this.#holders.delete(entry);
    // Their requests may still be running; until the entry is heard again, these count as requests without a slot.
    return this.#table.forget(ids, now);
  }

  #noteMessage(entry: string, process: number, now: number): { holder: Holder; decisions: SlotDecision[] } {
    const known = this.#holders.get(entry);
    if (known?.process === process) {
      known.heardAt = now;
      return { holder: known, decisions: [] };
    }
    const holder = { process, heardAt: now, isKnown: false };
    this.#holders.set(entry, holder);
    const former = this.#idsOf(entry).filter((id) => processOf(claimOf(id).id) !== process);
    return { holder, decisions: this.#release(former, now) };
  }

  #release(ids: readonly string[], now: number): SlotDecision[] {
    return ids.flatMap((id) => this.#table.release(id, now));
  }

  #idsOf(entry: string): string[] {
    const start = tableId(entry, 0).slice(0, -1);
    return this.#table.ids().filter((id) => id.startsWith(start));
  }
}
