/** Applies the admission table's decisions to callers' requests: starts, queues or refuses them. */
import type { Startable } from '../model/startable.js';
import {
  type AdmissionDecision,
  type AdmissionLimits,
  type AdmissionRefusal,
  AdmissionTable,
  type TenantLimits,
} from '../systems/admission.js';

const EXPIRY_INTERVAL = 50;

/** Counts of started requests, and of refused ones by reason, for metrics. */
export type AdmissionCounters = Record<AdmissionRefusal | 'started', number>;

/** The admission decision for one request. A started request must call `finish` when it is done. */
export type Admitted =
  | { type: 'started'; finish: () => void }
  | { type: 'refused'; reason: AdmissionRefusal };

/** Admission control for callers' requests. */
export class Admission implements Startable {
  readonly counters: AdmissionCounters = { started: 0, tenantLimit: 0, entryFull: 0, shed: 0, queueTime: 0 };
  readonly #table: AdmissionTable;
  readonly #waiting = new Map<number, (admitted: Admitted) => void>();
  #nextId = 1;
  #timer: NodeJS.Timeout | undefined;

  constructor(limits: AdmissionLimits, limitsOf: (tenant: string) => TenantLimits) {
    this.#table = new AdmissionTable(limits, limitsOf);
  }

  /** Does nothing: the expiry timer starts with the first queued request. */
  async start(): Promise<void> {}

  async stop(): Promise<void> {
    clearTimeout(this.#timer);
  }

  /** Resolves when the request may run or is refused; an aborted `signal` withdraws it from the queue. */
  admit(tenant: string, priority: number, signal: AbortSignal): Promise<Admitted> {
    const id = this.#nextId++;
    return new Promise((resolve) => {
      this.#waiting.set(id, resolve);
      signal.addEventListener('abort', () => this.#withdraw(id), { once: true });
      this.#apply(this.#table.offer({ id, tenant, priority }, performance.now()));
      this.#expireLater();
    });
  }

  #expireLater(): void {
    if (this.#table.queued === 0 || this.#timer !== undefined) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#apply(this.#table.expire(performance.now()));
      this.#expireLater();
    }, EXPIRY_INTERVAL);
  }

  #withdraw(id: number): void {
    const waiting = this.#waiting.get(id);
    if (waiting === undefined) return;
    this.#waiting.delete(id);
    this.#apply(this.#table.finish(id));
    waiting({ type: 'refused', reason: 'queueTime' });
  }

  #apply(decisions: AdmissionDecision[]): void {
    for (const decision of decisions) {
      const waiting = this.#waiting.get(decision.id);
      this.#waiting.delete(decision.id);
      if (decision.type === 'refuse') {
        this.counters[decision.reason]++;
        waiting?.({ type: 'refused', reason: decision.reason });
        continue;
      }
      this.counters.started++;
      waiting?.({ type: 'started', finish: () => this.#apply(this.#table.finish(decision.id)) });
    }
  }
}
