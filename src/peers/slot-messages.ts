/** What entries and agents say of the slots of engines. */

import type { SlotStatement } from '../systems/slot-claims.js';

/** Messages about slots. `id` names a request of one entry; with the sender's address it names it among all. */
export type SlotMessage =
  /** An entry asks for a slot; times in milliseconds: for how long its caller waits so far, and for how long it will. */
  | { type: 'slotAsked'; id: number; urgency: number; waitedFor: number; patience: number; slots: number }
  /** The entry does not need the slot, or does not wait for one, any more. */
  | { type: 'slotReleased'; id: number }
  /** All that the entry has open at the agent, told now and then. */
  | ({ type: 'slotsStated' } & SlotStatement)
  /** The agent's answer: the slot is the request's, it waits for one, or it is to go elsewhere; or the agent gives none out yet. */
  | { type: 'slotGranted'; id: number }
  | { type: 'slotQueued'; id: number }
  | { type: 'slotRefused'; id: number }
  | { type: 'slotUnready'; id: number };
