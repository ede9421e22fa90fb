/**
 * Idempotency ledger of one process for the keys that it owns: which keys ran, with which outcome, and which were
 * refused. It decides for each call whether it may run, so that a key runs at most once.
 *
 * @example
 * ```ts
 * const verdict = ledger.admit({ key, attempt: 1, fresh: true }, now);
 * if (verdict.type === 'run') ledger.finish(key, await run(), now);
 * ```
 */

/** The outcome of a run, kept so that later calls with the same key get the same answer. */
export type KeptOutcome =
  | { type: 'answered'; status: number; contentType: string; body: Uint8Array }
  /** There is no complete answer: it was lost on the way from the back end, or was too large to keep. */
  | { type: 'unanswered'; ran: 'yes' | 'unknown'; reason: string };

/** A call with an idempotency key. */
export interface KeyedCall {
  key: string;
  /** Number of the caller's attempt with this key, from 1. */
  attempt: number;
  /** True if no other process can have received an earlier attempt. */
  fresh: boolean;
}

/** The decision on a call. */
export type OnceVerdict =
  | { type: 'run' }
  /** The key has already run with this outcome. */
  | { type: 'ran'; outcome: KeptOutcome }
  /** The key is running; `wait` resolves to the outcome, or to undefined if it did not run after all. */
  | { type: 'running'; wait: Promise<KeptOutcome | undefined> }
  /** An earlier attempt may have run in another process. */
  | { type: 'unknown' }
  /** This attempt was refused before, and the caller was told that it had not run. */
  | { type: 'refusedBefore' }
  /** The ledger has no room for another key. */
  | { type: 'full' };

type Settle = (outcome: KeptOutcome | undefined) => void;

type Entry =
  | { state: 'running'; wait: Promise<KeptOutcome | undefined>; resolve: Settle; at: number }
  | { state: 'ran'; outcome: KeptOutcome; at: number }
  | { state: 'refused'; attempt: number; at: number };

/** Limits of a ledger. */
export interface OnceLedgerLimits {
  /** Maximum number of keys. */
  keys: number;
  /** Time for which a key is kept, in milliseconds; callers may not repeat a key after that. */
  lifetime: number;
}

/** Defaults: at most about 60 MB with answers of 512 bytes. */
export const DEFAULT_ONCE_LIMITS: OnceLedgerLimits = { keys: 100_000, lifetime: 900_000 };

/** The ledger of one process. */
export class OnceLedger {
  readonly #entries = new Map<string, Entry>();
  readonly #limits: OnceLedgerLimits;

  constructor(limits: OnceLedgerLimits = DEFAULT_ONCE_LIMITS) {
    this.#limits = limits;
  }

  get size(): number {
    return this.#entries.size;
  }

  /** True if the key is running, has run or was refused here. */
  knows(key: string): boolean {
    return this.#entries.has(key);
  }

  /** Decides on a call. The verdict `run` marks the key as running. */
  admit(call: KeyedCall, now: number): OnceVerdict {
    this.#forget(now);
    const known = this.#entries.get(call.key);
    if (known?.state === 'running') return { type: 'running', wait: known.wait };
    if (known?.state === 'ran') return { type: 'ran', outcome: known.outcome };
    if (known?.state === 'refused' && call.attempt <= known.attempt) return { type: 'refusedBefore' };
    if (known === undefined && !call.fresh) return { type: 'unknown' };
    if (known === undefined && this.#entries.size >= this.#limits.keys) return { type: 'full' };
    this.#begin(call.key, now);
    return { type: 'run' };
  }

  /** Whether a refusal of this call may state that it has not run. If so, this attempt is refused from now on. */
  refuse(call: KeyedCall, now: number): boolean {
    const known = this.#entries.get(call.key);
    if (known?.state === 'running' || known?.state === 'ran') return false;
    if (known === undefined && !call.fresh) return false;
    if (known === undefined && this.#entries.size >= this.#limits.keys) return call.attempt === 1;
    const attempt = Math.max(call.attempt, known?.attempt ?? 0);
    this.#set(call.key, { state: 'refused', attempt, at: now });
    return true;
  }

  /** Withdraws a run that provably did not reach the back end; the key may run at a later attempt. */
  withdraw(call: KeyedCall, now: number): void {
    const known = this.#entries.get(call.key);
    if (known?.state !== 'running') return;
    this.#set(call.key, { state: 'refused', attempt: call.attempt, at: now });
    known.resolve(undefined);
  }

  /** Records the outcome of a run and passes it to the calls that wait for it. */
  finish(key: string, outcome: KeptOutcome, now: number): void {
    const known = this.#entries.get(key);
    if (known?.state !== 'running') return;
    this.#set(key, { state: 'ran', outcome, at: now });
    known.resolve(outcome);
  }

  #begin(key: string, now: number): void {
    let resolve: Settle = () => {};
    const wait = new Promise<KeptOutcome | undefined>((settle) => {
      resolve = settle;
    });
    this.#set(key, { state: 'running', wait, resolve, at: now });
  }

  /** Sets an entry, keeping the map ordered by the time of the last change. */
  #set(key: string, entry: Entry): void {
    this.#entries.delete(key);
    this.#entries.set(key, entry);
  }

  #forget(now: number): void {
    for (const [key, entry] of this.#entries) {
      if (now - entry.at < this.#limits.lifetime) return;
      if (entry.state !== 'running') this.#entries.delete(key);
    }
  }
}
