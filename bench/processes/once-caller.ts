/** A caller of a service whose calls may not be repeated: it keeps to the rules for keys, and notes what it was told. */
import { setTimeout as pause } from 'node:timers/promises';
import { BENCH_TENANT } from './observation.js';

const ATTEMPTS = 4;
const ATTEMPT_TIMEOUT = 4_000;
const RETRY_PAUSE = 250;

/** What a caller was told of a key in the end. */
export type KeyOutcome = 'answered' | 'notRun' | 'unknown';

/** What became of the calls. */
export interface OnceCounts {
  sent: number;
  answeredWhole: number;
  refusedNotRun: number;
  unknown: number;
  /** Answers that belong to another key. */
  crossed: number;
}

type AttemptResult = KeyOutcome | 'notSent';

/** Calls a service with a fresh key each time. */
export class OnceCaller {
  readonly counts: OnceCounts = { sent: 0, answeredWhole: 0, refusedNotRun: 0, unknown: 0, crossed: 0 };
  /** What was told of each key; judged against the services' audits. */
  readonly outcomes = new Map<string, KeyOutcome>();
  readonly #entries: readonly string[];
  readonly #service: string;
  readonly #pending = new Set<Promise<void>>();
  readonly #prefix: string;

  constructor(entries: readonly string[], service: string, seed: number) {
    this.#entries = entries;
    this.#service = service;
    this.#prefix = `key-${seed}`;
  }

  /** Starts a call with a new key. */
  start(): void {
    const call = this.call();
    this.#pending.add(call);
    void call.finally(() => this.#pending.delete(call));
  }

  /** Returns when every call has ended. */
  async settle(): Promise<void> {
    await Promise.all(this.#pending);
  }

  /** Calls with a new key, and with the same key again while nothing is known of it. */
  async call(): Promise<void> {
    const number = this.counts.sent++;
    const key = `${this.#prefix}-${number}`;
    const startedAt = performance.now();
    let attempt = 1;
    let result: AttemptResult = 'unknown';
    for (let step = 0; step < ATTEMPTS + this.#entries.length && attempt <= ATTEMPTS; step++) {
      const entry = this.#entries[(number + step) % this.#entries.length];
      result = await this.#attempt(entry, key, attempt, performance.now() - startedAt);
      if (result === 'answered' || result === 'notRun') break;
      if (result === 'notSent') continue;
      attempt++;
      await pause(RETRY_PAUSE);
    }
    this.#note(key, result === 'notSent' ? (attempt === 1 ? 'notRun' : 'unknown') : result);
  }

  #note(key: string, outcome: KeyOutcome): void {
    this.outcomes.set(key, outcome);
    if (outcome === 'answered') this.counts.answeredWhole++;
    else if (outcome === 'notRun') this.counts.refusedNotRun++;
    else this.counts.unknown++;
  }

  async #attempt(entry: string, key: string, attempt: number, elapsed: number): Promise<AttemptResult> {
    try {
      const answer = await fetch(`http://${entry}/services/${this.#service}/start`, {
        method: 'POST',
        headers: {
          'x-thistleway-tenant': BENCH_TENANT,
          'idempotency-key': key,
          'idempotency-attempt': String(attempt),
          'idempotency-elapsed': String(Math.ceil(elapsed)),
        },
        body: key,
        signal: AbortSignal.timeout(ATTEMPT_TIMEOUT),
      });
      const body = (await answer.json()) as { key?: string; error?: { notRun: boolean } };
      if (!answer.ok) return body.error?.notRun === true ? 'notRun' : 'unknown';
      if (body.key !== key) this.counts.crossed++;
      return 'answered';
    } catch (cause) {
      const code = ((cause as Error).cause as { code?: string } | undefined)?.code;
      return code === 'ECONNREFUSED' ? 'notSent' : 'unknown';
    }
  }
}
