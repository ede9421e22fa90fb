/**
 * What one entry has asked of agents and not given back: requests that wait for slots, and slots that are theirs. Messages
 * about slots may be lost, so the entry repeats the whole of it to each agent now and then; an agent that has not heard of an
 * end, or whose grant was lost, learns of it from the next statement.
 *
 * The loss that this answers: a slot whose release was lost stayed taken. While entries restarted in turn, and drew weights
 * over links that were full then, 17 in 100 slots were idle at engines for which requests waited (nine engines, 30 s).
 *
 * ```ts
 * const id = claims.open(agent);
 * claims.noteGranted(id);
 * claims.close(id);
 * for (const { agent, statement } of claims.statements()) tell(agent, statement);
 * ```
 */
import type { Random } from '../model/random.js';

/** Numbers of claims of one process: 1,000 a second would use them up in twelve days, and others go on after them. */
const CLAIMS_OF_PROCESS = 2 ** 30;
/** Processes are told apart by chance: of two that start after one another at an address, one in a million is mistaken. */
const PROCESSES = 2 ** 20;
/** An agent at which nothing is open any more is told so in this many statements: each of them may be lost. */
const FAREWELLS = 3;

/** All that an entry has open at one agent. */
export interface SlotStatement {
  /** The process that says so: one that starts at the same address later is another. */
  process: number;
  /** Claims below this number are known here; of those, whatever is not listed has ended. */
  next: number;
  /** Numbers of the claims that have a slot, and of those that wait for one. */
  held: number[];
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
  /** Statements that are still owed to each agent once nothing is open there. */
  readonly #owed = new Map<string, number>();
  #next = 0;

  constructor(random: Random) {
    this.#process = random.below(PROCESSES);
  }

  /** A request asks `agent` for a slot; returns the claim's id. */
  open(agent: string): number {
    const number = this.#next++;
    const id = claimId(this.#process, number);
    this.#claims.set(id, { agent, number, isGranted: false });
    this.#owed.set(agent, FAREWELLS);
    return id;
  }

  /** The claim has a slot; false where it had one before, or is not open any more. */
  noteGranted(id: number): boolean {
    const claim = this.#claims.get(id);
    if (claim === undefined || claim.isGranted) return false;
    claim.isGranted = true;
    return true;
  }

  /** True until the claim is closed. */
  isOpen(id: number): boolean {
    return this.#claims.has(id);
  }

  /** The claim is given back, or was refused; false where it was closed before. */
  close(id: number): boolean {
    return this.#claims.delete(id);
  }

  /** What is to be told to agents now. */
  statements(): Array<{ agent: string; statement: SlotStatement }> {
    const statements = new Map<string, SlotStatement>();
    for (const agent of this.#owed.keys())
      statements.set(agent, { process: this.#process, next: this.#next, held: [], waiting: [] });
    for (const { agent, number, isGranted } of this.#claims.values()) {
      const statement = statements.get(agent);
      (isGranted ? statement?.held : statement?.waiting)?.push(number);
    }
    for (const [agent, { held, waiting }] of statements) this.#noteTold(agent, held.length + waiting.length);
    return [...statements].map(([agent, statement]) => ({ agent, statement }));
  }

  #noteTold(agent: string, open: number): void {
    const owed = open > 0 ? FAREWELLS : this.#owed.get(agent)! - 1;
    if (owed > 0) this.#owed.set(agent, owed);
    else this.#owed.delete(agent);
  }
}
