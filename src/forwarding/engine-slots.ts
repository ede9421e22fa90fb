/** The contract of whoever gives out the slots of engines. */

/** A request for a slot. Times are in milliseconds. */
export interface SlotWish {
  /** 0 goes first. */
  urgency: number;
  /** For how long its caller has waited. */
  waitedFor: number;
  /** For how long it waits for the slot. */
  patience: number;
  /** Requests that the engine runs at the same time. */
  slots: number;
  /** Rate limit of the engine in requests per second; undefined if none is known. */
  rateLimit: number | undefined;
}

/** Takes the answers to one request for a slot; they may never come. */
export interface SlotAnswers {
  onGranted(): void;
  onQueued(): void;
  /** The engine takes nothing now. */
  onRefused(): void;
  /** The agent gives out no slots yet, and knows nothing of the engine. */
  onUnready(): void;
}

/** A request for a slot, or the slot itself once it is granted. */
export interface SlotClaim {
  /**
   * Reports that the engine has answered the request that holds the slot.
   * @param rateLimit - limit named by the answer, in requests per second; undefined if it names none
   */
  noteAnswer(rateLimit: number | undefined): void;
  /**
   * Gives it back; nothing is answered any more.
   * @param wasUsed - whether the request may have been sent to the engine
   */
  release(wasUsed: boolean): void;
}

/** The slots of all engines whose agents give them out. */
export interface EngineSlots {
  /** Asks the agent at `agent` (`host:port`) for a slot of its engine. */
  ask(agent: string, wish: SlotWish, answers: SlotAnswers): SlotClaim;
}
