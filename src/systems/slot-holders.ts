/**
 * The entries that hold or want slots of one engine, as its agent hears them: corrects the slot table by what each says of
 * itself, and takes back what belongs to a process that has ended. No clock but the agent's own is believed. Times are in
 * milliseconds of the steady clock.
 *
 * - A statement lists all that a process has open: whatever else of it the table has is released, a grant that did not
 *   arrive is told again, and who waits in a line that has no such place is sent elsewhere.
 * - The first word of a process frees what another one had at the same address.
 * - Who is not heard any more has ended, or cannot be reached: its slots are given to others. If it is heard again, its
 *   first statement is believed as a whole, as it is where the agent itself has just started.
 */
import { claimId, processOf, type SlotStatement } from './slot-claims.js';
import type { SlotDecision, SlotTable } from './slot-table.js';

/**
 * An entry that has slots or waits for them is heard every 100 ms; one that is not heard for this has ended: of three
 * statements one arrives while a link is full for 400 ms; of seven entries that share the slots of an engine, one that is
 * killed costs 0.3 s times its seventh, 43 ms of the engine's time.
 */
const SILENCE_LIMIT = 300;

interface Holder {
  process: number;
  heardAt: number;
  /** It has said all that it has open: from then on the table knows its slots. */
  isKnown: boolean;
}

/** The id of a claim in the slot table. */
export function tableId(entry: string, id: number): string {
  return `${entry}/${id}`;
}

/** Entry and claim of an id in the slot table. */
export function claimOf(tableId: string): { entry: string; id: number } {
  const [entry, id] = tableId.split('/');
  return { entry, id: Number(id) };
}

/** The entries that hold or want slots of one engine. */
export class SlotHolders {
  readonly #table: SlotTable;
  readonly #holders = new Map<string, Holder>();

  constructor(table: SlotTable) {
    this.#table = table;
  }

  /** `entry` has asked for a slot with the claim `id`. */
  noteAsk(entry: string, id: number, now: number): SlotDecision[] {
    const { decisions } = this.#hear(entry, processOf(id), now);
    return decisions;
  }

  /** Takes what `entry` says that it has open. */
  takeStatement(entry: string, statement: SlotStatement, now: number): SlotDecision[] {
    const { holder, decisions } = this.#hear(entry, statement.process, now);
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
   * Takes back what belongs to entries that are not heard any more.
   * @param runningTime - the time since a moment in which this process ran: what came in a standstill is not read yet
   */
  check(now: number, runningTime: (since: number) => number): SlotDecision[] {
    const silent = [...this.#holders].filter(([, { heardAt }]) => runningTime(heardAt) >= SILENCE_LIMIT);
    const ids = silent.flatMap(([entry]) => this.#idsOf(entry));
    for (const [entry] of silent) this.#holders.delete(entry);
    // Whether their requests run on is not known: those that do count as others' until they are heard again.
    return this.#table.forget(ids, now);
  }

  #hear(entry: string, process: number, now: number): { holder: Holder; decisions: SlotDecision[] } {
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
