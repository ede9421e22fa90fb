/**
 * Which start of each back end is the present one, by all that is told of it in whatever order. The store's entries come
 * with revisions, which order them; what a back end reports itself has none, and is ordered by the starts themselves.
 *
 * - A start that was not known before and comes in a newer entry follows the present one, also where it looks older: its
 *   clock has stepped back.
 * - A start that was not known before and is reported follows the present one if it is later. If it is earlier, the report
 *   is late, or a clock has stepped back: the next entry in the store tells.
 * - A start that another has followed does not come back with a report. An entry of it is late, unless it is the later one
 *   or more of them come: then the other was taken for newer by mistake, and would be kept for good.
 */
import type { BackEndIdentity } from './back-end-identity.js';

/**
 * Entries in a row with a start that another has followed after which that is the present one again. Chosen: of those that
 * were written before a restart one or two may come after it, as a follower reads the latest one twice a second.
 */
const ENTRIES_TO_RETURN = 3;
/** Former starts of one back end that are remembered: the latest; news are late by seconds, not by so many starts. */
const FORMER_KEPT = 16;
/** Back ends without an entry whose starts are remembered: the latest to go. Chosen, above those of a large deployment. */
const GONE_KEPT = 1_000;

/** What the news of a start are worth. */
export type StartNews = 'same' | 'newer' | 'older';

interface KnownStarts {
  present: number;
  former: number[];
  /** Entries of a former start since the latest of the present one. */
  returning: { start: number; entries: number; revision: number } | undefined;
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
      if (known !== undefined) known.returning = undefined;
      return 'same';
    }
    if (known === undefined) return this.#begin(id, start);
    const isFormer = known.former.includes(start);
    if (isFormer && start < known.present && !hasReturned(known, start, revision)) return 'older';
    return follow(known, start);
  }

  /** Takes the start that a back end has reported itself. */
  takeReported({ id, start }: BackEndIdentity): StartNews {
    const known = this.#known.get(id);
    if (start == null || start === known?.present) return 'same';
    if (known === undefined) {
      this.#begin(id, start);
      return 'same';
    }
    if (known.former.includes(start) || start < known.present) return 'older';
    return follow(known, start);
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
  #begin(id: string, start: number): StartNews {
    this.#known.set(id, { present: start, former: [], returning: undefined });
    return 'same';
  }
}

/** Whether so many entries of a former start have come that it is the present one; each counts once. */
function hasReturned(known: KnownStarts, start: number, revision: number): boolean {
  const returning = known.returning?.start === start ? known.returning : { start, entries: 0, revision: 0 };
  known.returning = returning;
  if (revision <= returning.revision) return false;
  returning.revision = revision;
  returning.entries++;
  return returning.entries >= ENTRIES_TO_RETURN;
}

function follow(known: KnownStarts, start: number): StartNews {
  const former = known.former.filter((one) => one !== start);
  known.former = [...former, known.present].slice(-FORMER_KEPT);
  known.present = start;
  known.returning = undefined;
  return 'newer';
}
