/**
 * Limits how much an entry holds of events whose end has not arrived. An event is passed on whole, so that another back end can
 * resume the stream after it; a back end that never ends one must not use up the memory of the entry.
 */

/** Largest event in bytes; events of engines hold some tokens each, and those of other services up to 1 MB. */
export const MAX_EVENT_BYTES = 2_097_152;
/** Most bytes held of all incomplete events: a small part of the memory that a process may use for control (128 MB). */
export const MAX_HELD_OF_EVENTS = 16_777_216;
/** An event of up to this size may be held in any case, in bytes: an ordinary one must not fail because others are too long. */
const ALWAYS_HELD = 65_536;

/** The incomplete events of one entry. */
export class EventBudget {
  #held = 0;
  #exceeded = 0;

  /** Bytes held of all incomplete events. */
  get held(): number {
    return this.#held;
  }

  /** Number of events that exceeded a limit. */
  get exceeded(): number {
    return this.#exceeded;
  }

  /** Records that the held part of an event has changed from `before` to `after` bytes; returns whether it may be held. */
  note(before: number, after: number): boolean {
    this.#held += after - before;
    if (after <= ALWAYS_HELD || (after <= MAX_EVENT_BYTES && this.#held <= MAX_HELD_OF_EVENTS)) return true;
    this.#exceeded++;
    return false;
  }
}
