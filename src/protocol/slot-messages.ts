/** What entries and agents say of the slots of engines. */

import type { SlotStatement } from '../systems/slot-claims.js';

/** Messages about slots. `id` names a request of one entry; with the sender's address it names it among all. */
export type SlotMessage =
  /** An entry asks for a slot; times in milliseconds: for how long its caller waits so far, and for how long it will. */
  | {
      type: 'slotAsked';
      id: number;
      urgency: number;
      waitedFor: number;
      patience: number;
      slots: number;
      /** Rate limit of the engine in requests per second, if the entry knows one. */
      rateLimit: number | undefined;
    }
  /** The entry no longer needs the slot or no longer waits for one; `wasUsed` is false if nothing was sent with it. */
  | { type: 'slotReleased'; id: number; wasUsed: boolean }
  /** The engine has answered the request that holds the slot; `rateLimit` is undefined if the answer names none. */
  | { type: 'slotAnswered'; id: number; rateLimit: number | undefined }
  /** All that the entry has open at the agent, told now and then. */
  | ({ type: 'slotsStated' } & SlotStatement)
  /** The agent's answer: the slot is the request's, it waits for one, or it is to go elsewhere; or the agent gives none out yet. */
  | {
      type: 'slotGranted';
      id: number;
      /** The agent knows of a rate limit, so the entry also reports an answer that names none. */
      isLimited: boolean;
    }
  | { type: 'slotQueued'; id: number }
  | { type: 'slotRefused'; id: number }
  | { type: 'slotUnready'; id: number };
