/** Interface to the agents that grant the slots of engines. */

import type { ColdState } from '../model/warm-up.js';

/** A request for a slot. Times are in milliseconds. */
export interface SlotRequest {
  /** Rank in the agent's queue; 0 is first. */
  urgency: number;
  /** Time for which the caller has already waited. */
  waitedFor: number;
  /** Maximum time to wait for the slot. */
  patience: number;
  /** Number of requests that the engine runs concurrently. */
  slots: number;
  /** Rate limit of the engine in requests per second; undefined if none is known. */
  rateLimit: number | undefined;
  /** Time during which a grant still lets the request meet its objective; 0 if it cannot be met any more. */
  inTimeFor: number;
  /** Tokens of the prompt; 0 if unknown. */
  promptTokens: number;
  /** Set if the engine is known to be cold. */
  cold?: ColdState | undefined;
}

/** Callbacks for the answers to one request for a slot. None is called if the agent does not answer. */
export interface SlotAnswers {
  onGranted(): void;
  onQueued(): void;
  /**
   * The engine takes no requests now, or none that can wait no longer than this one.
   * @param availableIn - time until a slot is expected for such a request; undefined if the agent predicts none
   */
  onRefused(availableIn?: number): void;
  /** The agent does not know the state of its engine yet and grants no slots. */
  onUnready(): void;
}

/** A pending request for a slot, or the slot itself once it is granted. */
export interface SlotClaim {
  /**
   * Reports that the engine has answered the request that holds the slot.
   * @param rateLimit - limit named by the answer, in requests per second; undefined if it names none
   */
  noteAnswer(rateLimit: number | undefined): void;
  /** Reports that the engine has read the prompt of the request that holds the slot; without effect once it is released. */
  notePromptRead(): void;
  /**
   * Releases the slot or cancels the request for it. No callback is called afterwards.
   * @param wasUsed - whether the request may have been sent to the engine
   */
  release(wasUsed: boolean): void;
}

/** The slots of all engines whose agents grant them. */
export interface EngineSlots {
  /** Asks the agent at `agent` (`host:port`) for a slot of its engine. */
  ask(agent: string, request: SlotRequest, answers: SlotAnswers): SlotClaim;
}
