/** Messages between entries and agents about slots of engines. */

import type { ColdState } from '../model/warm-up.js';
import type { SlotStatement } from '../systems/slot-claims.js';

/** `id` identifies a slot request within one entry; together with the address of the entry it is globally unique. */
export type SlotMessage =
  /**
   * An entry requests a slot. `waitedFor` is the time for which its caller has waited, `patience` the time for which it will
   * wait, both in milliseconds.
   */
  | {
      type: 'slotAsked';
      id: number;
      urgency: number;
      waitedFor: number;
      patience: number;
      slots: number;
      /** Rate limit of the engine, in requests per second; undefined if the entry knows none. */
      rateLimit: number | undefined;
      /** Time during which a grant still lets the request meet its objective, in milliseconds; absent from earlier releases. */
      inTimeFor?: number | undefined;
      /** Tokens of the prompt; 0 if unknown, absent from earlier releases. */
      promptTokens?: number | undefined;
      /** Set if the entry knows that the engine is cold; absent from earlier releases. */
      cold?: ColdState | undefined;
    }
  /** The entry releases the slot or cancels its request; `wasUsed` is false if no request was sent with the slot. */
  | { type: 'slotReleased'; id: number; wasUsed: boolean }
  /** The engine has answered the request that holds the slot; `rateLimit` is undefined if the answer names none. */
  | { type: 'slotAnswered'; id: number; rateLimit: number | undefined }
  /** The engine has read the prompt of the request that holds the slot; sent only if the grant asks for it. */
  | { type: 'slotPromptRead'; id: number }
  /** All slot requests that the entry has open at the agent, sent periodically because messages may be lost. */
  | ({ type: 'slotsStated' } & SlotStatement)
  /** The agent grants a slot to the request. */
  | {
      type: 'slotGranted';
      id: number;
      /** The agent knows a rate limit, so the entry must also report answers that name none. */
      isLimited: boolean;
      /** The entry is to report when the engine has read the prompt; absent from earlier releases. */
      isLimitedByWork?: boolean | undefined;
    }
  /** The request waits in the agent's queue. */
  | { type: 'slotQueued'; id: number }
  /** The agent refuses the request; the entry should try another back end. */
  | {
      type: 'slotRefused';
      id: number;
      /** Time until a slot is expected for such a request, in milliseconds; undefined if the agent predicts none. */
      availableIn?: number | undefined;
    }
  /** The agent does not grant slots yet. */
  | { type: 'slotUnready'; id: number };
