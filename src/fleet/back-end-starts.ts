/**
 * Which start of each back end is the present one, by all that is told of it in whatever order. The store's entries come
 * with revisions, which order them; what a back end reports itself has none, and is ordered by the starts themselves.
 *
 * - A start that was not known before and comes in a newer entry than the present one follows that, also where it looks
 *   older: its clock has stepped back. Where the present one was reported and has no entry yet, the later of both holds.
 * - A start that is reported follows the present one where the report says so. Else it does if it is later and was not known
 *   before. If it is earlier, the report is late, or a clock has stepped back: the next entry in the store tells.
 * - A start that another has followed does not come back with a report. An entry of it is late, unless it is the later one.
 * - An entry that is passed over is late. More of them are not: then the present one was taken for newer by mistake, and would
 *   be kept for good.
 */
import type { BackEndIdentity } from '../model/back-end-identity.js';

/**
 * Entries in a row with a start that is passed over after which that is the present one: a reader sees the latest
 * entry alone, twice a second, so that of those written before a restart one or two come after the report of it. A start
 * that was passed over by mistake is out for six seconds with an entry each 1.2 s.
 */
export const ENTRIES_TO_BELIEVE = 5;
/** Former starts of one back end that are remembered: the latest; news are late by seconds, not by so many starts. */
const FORMER_KEPT = 16;
/** Back ends without an entry whose starts are remembered: the latest to go, more than a large deployment has. */
const GONE_KEPT = 1_000;

/** What the news of a start are worth. */
export type StartNews = 'same' | 'newer' | 'older';

interface KnownStarts {
  present: number;
  /** An entry of the present start has come: it was not reported alone. */
  isListed: boolean;
  former: number[];
  /** Entries of a start that was passed over since the latest of the present one. */
  passedOver: { start: number; entries: number; revision: number } | undefined;
}

/** The starts of all back ends. */
export class BackEndStarts {
  readonly #known = new Map<string, KnownStarts>();
  /** Back ends that have no entry, those that went first before the others. */
  readonly #gone = new Set<string>();

  /** The present start of a back end; undefined where none is known. */
  presentOf(id: string): number | undefined {
    return this.#known.get(id)?.present;
  }

  /** Takes the start that an entry of `revision` tells, which is newer than those of the present start. */
  takeListed({ id, start }: BackEndIdentity, revision: number): StartNews {
    this.#gone.delete(id);
    const known = this.#known.get(id);
    if (start == null || start === known?.present) {
      if (known !== undefined) Object.assign(known, { isListed: true, passedOver: undefined });
      return 'same';
    }
    if (known === undefined) return this.#begin(id, start, true);
    const isInOrder = known.isListed && !known.former.includes(start);
    if (!isInOrder && start < known.present && !goesOn(known, start, revision)) return 'older';
    return follow(known, start, true);
  }

  /**
   * Takes the start that a back end has reported itself.
   * @param follows - the start before it, where its agent has seen that
   */
  takeReported({ id, start }: BackEndIdentity, follows?: BackEndIdentity['start']): StartNews {
    const known = this.#known.get(id);
    if (start == null || start === known?.present) return 'same';
    if (known === undefined) return this.#begin(id, start, false);
    const isNext = follows === known.present;
    if (!isNext && (known.former.includes(start) || start < known.present)) return 'older';
    return follow(known, start, false);
  }

  /** The entry of a back end has gone. */
  noteGone(id: string): void {
    if (!this.#known.has(id)) return;
    this.#gone.add(id);
    if (this.#gone.size <= GONE_KEPT) return;
    const [first] = this.#gone;
    this.#gone.delete(first);
    this.#known.delete(first);
  }

  /** The first start that is known of a back end: nothing that is known of it is of another. */
  #begin(id: string, start: number, isListed: boolean): StartNews {
    this.#known.set(id, { present: start, isListed, former: [], passedOver: undefined });
    return 'same';
  }
}

/** Whether so many entries of a start that looks older have come that it is the present one; each counts once. */
function goesOn(known: KnownStarts, start: number, revision: number): boolean {
  const passedOver =
    known.passedOver?.start === start ? known.passedOver : { start, entries: 0, revision: 0 };
  known.passedOver = passedOver;
  if (revision <= passedOver.revision) return false;
  passedOver.revision = revision;
  passedOver.entries++;
  return passedOver.entries >= ENTRIES_TO_BELIEVE;
}

function follow(known: KnownStarts, start: number, isListed: boolean): StartNews {
  const former = known.former.filter((one) => one !== start);
  known.former = [...former, known.present].slice(-FORMER_KEPT);
  known.present = start;
  known.isListed = isListed;
  known.passedOver = undefined;
  return 'newer';
}
