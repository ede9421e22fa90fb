/**
 * Determines which start of each back end is the current one, from updates that arrive in any order. Records in the store
 * carry revisions, which order them. A start that a back end reports itself carries none and is ordered by its start time.
 *
 * - A listed start that was not known before, in a newer record than the current start's, replaces the current start, even if
 *   its time is earlier: the back end's clock has stepped back. If the current start was reported and has no record yet, the
 *   later of the two is kept.
 * - A reported start replaces the current one if the report names the current one as its predecessor. Otherwise it does so
 *   only if it is later and was not known before. If it is earlier, either the report is delayed or a clock has stepped back;
 *   the next record in the store decides.
 * - A start that has been replaced does not become current again by a report. A record of it is considered delayed, unless
 *   its start time is later.
 * - A single ignored record is taken as delayed. Several in a row mean that the current start was accepted by mistake; without
 *   this rule it would be kept forever.
 */
import type { BackEndIdentity } from '../model/back-end-identity.js';

/**
 * Number of consecutive records with an ignored start after which that start becomes the current one. A reader sees only the
 * latest record, twice a second, so one or two records written before a restart can arrive after the report of the restart.
 * A start that was ignored by mistake is unavailable for 6 s at one record per 1.2 s.
 */
export const RECORDS_TO_CONFIRM = 5;
/** Maximum number of former starts kept per back end, the latest ones; updates are delayed by seconds, not by this many starts. */
const MAX_FORMER_STARTS = 16;
/** Maximum number of back ends without a record whose starts are kept; more than a large deployment has. */
const MAX_REMOVED_BACK_ENDS = 1_000;

/** How a start compares with the current start of its back end. */
export type StartOrder = 'same' | 'newer' | 'older';

interface KnownStarts {
  current: number;
  /** A record of the current start has been read; false if it is known from a report only. */
  isListed: boolean;
  former: number[];
  /** The start that was ignored since the latest record of the current one, with the number of its records. */
  ignored: { start: number; entries: number; revision: number } | undefined;
}

/** Tracks the starts of all back ends. */
export class BackEndStarts {
  readonly #known = new Map<string, KnownStarts>();
  /** Back ends that have no record, in order of removal. */
  readonly #removed = new Set<string>();

  /** The current start of a back end; undefined if none is known. */
  currentOf(id: string): number | undefined {
    return this.#known.get(id)?.current;
  }

  /** Applies the start in a record of `revision`, which is newer than the records of the current start. */
  applyListed({ id, start }: BackEndIdentity, revision: number): StartOrder {
    this.#removed.delete(id);
    const known = this.#known.get(id);
    if (start == null || start === known?.current) {
      if (known !== undefined) Object.assign(known, { isListed: true, ignored: undefined });
      return 'same';
    }
    if (known === undefined) return this.#addFirst(id, start, true);
    const isNewByRevision = known.isListed && !known.former.includes(start);
    if (!isNewByRevision && start < known.current && !isConfirmed(known, start, revision)) return 'older';
    return replaceCurrent(known, start, true);
  }

  /**
   * Applies the start that a back end reports itself.
   * @param follows - the preceding start, if the back end's agent has seen it
   */
  applyReported({ id, start }: BackEndIdentity, follows?: BackEndIdentity['start']): StartOrder {
    const known = this.#known.get(id);
    if (start == null || start === known?.current) return 'same';
    if (known === undefined) return this.#addFirst(id, start, false);
    const isNext = follows === known.current;
    if (!isNext && (known.former.includes(start) || start < known.current)) return 'older';
    return replaceCurrent(known, start, false);
  }

  /** The record of a back end was removed. */
  noteRemoved(id: string): void {
    if (!this.#known.has(id)) return;
    this.#removed.add(id);
    if (this.#removed.size <= MAX_REMOVED_BACK_ENDS) return;
    const [first] = this.#removed;
    this.#removed.delete(first);
    this.#known.delete(first);
  }

  /** Adds the first known start of a back end: anything known about the back end refers to it. */
  #addFirst(id: string, start: number, isListed: boolean): StartOrder {
    this.#known.set(id, { current: start, isListed, former: [], ignored: undefined });
    return 'same';
  }
}

/** Whether enough records of an ignored start have been read to accept it as the current one; each revision counts once. */
function isConfirmed(known: KnownStarts, start: number, revision: number): boolean {
  const ignored = known.ignored?.start === start ? known.ignored : { start, entries: 0, revision: 0 };
  known.ignored = ignored;
  if (revision <= ignored.revision) return false;
  ignored.revision = revision;
  ignored.entries++;
  return ignored.entries >= RECORDS_TO_CONFIRM;
}

function replaceCurrent(known: KnownStarts, start: number, isListed: boolean): StartOrder {
  const former = known.former.filter((one) => one !== start);
  known.former = [...former, known.current].slice(-MAX_FORMER_STARTS);
  known.current = start;
  known.isListed = isListed;
  known.ignored = undefined;
  return 'newer';
}
