/**
 * The open slot claims of one entry: requests that wait for a slot at an agent, and slots granted to them. Messages about
 * slots may be lost, so the entry periodically sends each agent a statement of all its claims there. An agent that missed
 * a release, or whose grant was lost, recovers at the next statement.
 *
 * Without statements, a slot whose release was lost remained taken. During a rolling restart of the entries, with links
 * saturated by weights, 17 % of the slots were idle at engines for which requests waited (nine engines, 30 s).
 *
 * ```ts
 * const id = claims.open(agent);
 * claims.noteGranted(id);
 * claims.close(id);
 * for (const { agent, statement } of claims.statements()) tell(agent, statement);
 * ```
 */
import type { Random } from '../model/random.js';

/** Claim numbers of one process. At 1,000 per second they last for twelve days; ids then run into the next process's. */
const CLAIMS_OF_PROCESS = 2 ** 30;
/** Process numbers are random: two consecutive processes at an address have the same with a probability of 1 in a million. */
const PROCESSES = 2 ** 20;
/** Number of empty statements sent to an agent once no claim is open there, as each of them may be lost. */
const FINAL_STATEMENTS = 3;

/** All open claims of an entry at one agent. */
export interface SlotStatement {
  /** The process that sends the statement; a later process at the same address has another number. */
  process: number;
  /** Number of the next claim: claims below it that are not listed have ended. */
  next: number;
  /** Numbers of the claims that have a slot. */
  held: number[];
  /** Numbers of the claims that wait for a slot. */
  waiting: number[];
}

/** The process that opened the claim `id`. */
export function processOf(id: number): number {
  return Math.floor(id / CLAIMS_OF_PROCESS);
}

/** The id of claim `number` of `process`. */
export function claimId(process: number, number: number): number {
  return process * CLAIMS_OF_PROCESS + number;
}

interface OpenClaim {
  agent: string;
  number: number;
  isGranted: boolean;
}

/** The open claims of one entry. */
export class SlotClaims {
  readonly #process: number;
  readonly #claims = new Map<number, OpenClaim>();
  /** Number of statements still to be sent to each agent if no claim is open there. */
  readonly #remainingStatements = new Map<string, number>();
  #next = 0;

  constructor(random: Random) {
    this.#process = random.below(PROCESSES);
  }

  /** Opens a claim for a slot at `agent`; returns the claim's id. */
  open(agent: string): number {
    const number = this.#next++;
    const id = claimId(this.#process, number);
    this.#claims.set(id, { agent, number, isGranted: false });
    this.#remainingStatements.set(agent, FINAL_STATEMENTS);
    return id;
  }

  /** Records that the claim has a slot; false if it had one already, or is no longer open. */
  noteGranted(id: number): boolean {
    const claim = this.#claims.get(id);
    if (claim === undefined || claim.isGranted) return false;
    claim.isGranted = true;
    return true;
  }

  isOpen(id: number): boolean {
    return this.#claims.has(id);
  }

  /** Closes a claim that was released or refused; false if it was closed before. */
  close(id: number): boolean {
    return this.#claims.delete(id);
  }

  /** The statements to send to agents now. */
  statements(): Array<{ agent: string; statement: SlotStatement }> {
    const statements = new Map<string, SlotStatement>();
    for (const agent of this.#remainingStatements.keys())
      statements.set(agent, { process: this.#process, next: this.#next, held: [], waiting: [] });
    for (const { agent, number, isGranted } of this.#claims.values()) {
      const statement = statements.get(agent);
      (isGranted ? statement?.held : statement?.waiting)?.push(number);
    }
    for (const [agent, { held, waiting }] of statements)
      this.#countStatement(agent, held.length + waiting.length);
    return [...statements].map(([agent, statement]) => ({ agent, statement }));
  }

  #countStatement(agent: string, open: number): void {
    const remaining = open > 0 ? FINAL_STATEMENTS : this.#remainingStatements.get(agent)! - 1;
    if (remaining > 0) this.#remainingStatements.set(agent, remaining);
    else this.#remainingStatements.delete(agent);
  }
}
