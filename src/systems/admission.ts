/**
 * Admission control for caller requests at an entry. Each tenant has its own limits. The capacity of the entry is given to
 * higher priorities first and shared fairly between tenants. A full queue sheds the request with the lowest priority.
 *
 * @example
 * ```ts
 * for (const decision of table.offer({ id, tenant, priority }, now)) apply(decision);
 * ```
 */

/** Limits of one tenant at one entry. */
export interface TenantLimits {
  /** Maximum number of concurrent requests. */
  inProgress: number;
  /** Maximum number of queued requests. */
  queued: number;
}

/** Limits of an entry. */
export interface AdmissionLimits {
  /** Maximum number of concurrent requests, over all tenants. */
  inProgress: number;
  /** Maximum number of queued requests, over all tenants. */
  queued: number;
  /** Maximum time in the queue, in milliseconds. */
  queueTime: number;
}

/** A request to be admitted. */
export interface AdmissionRequest {
  id: number;
  tenant: string;
  /** Higher goes first. */
  priority: number;
}

/** Why a request is refused. */
export type AdmissionRefusal = 'tenantLimit' | 'entryFull' | 'shed' | 'queueTime';

/** The decision on a request, which may be one that was queued earlier. */
export type AdmissionDecision =
  | { type: 'start'; id: number }
  | { type: 'refuse'; id: number; reason: AdmissionRefusal };

interface QueuedRow extends AdmissionRequest {
  queuedAt: number;
}

/** Limits of tenants that declare none. */
export const DEFAULT_TENANT_LIMITS: TenantLimits = { inProgress: 500, queued: 200 };

/** The running and queued requests of one entry. */
export class AdmissionTable {
  readonly #limits: AdmissionLimits;
  readonly #limitsOf: (tenant: string) => TenantLimits;
  readonly #running = new Map<number, string>();
  readonly #runningOf = new Map<string, number>();
  #queue: QueuedRow[] = [];

  /** @param limitsOf - returns the limits of a tenant; called for each decision */
  constructor(limits: AdmissionLimits, limitsOf: (tenant: string) => TenantLimits) {
    this.#limits = limits;
    this.#limitsOf = limitsOf;
  }

  get inProgress(): number {
    return this.#running.size;
  }

  get queued(): number {
    return this.#queue.length;
  }

  /** Starts, queues or refuses a new request. A queued request may be shed in its favour. */
  offer(request: AdmissionRequest, now: number): AdmissionDecision[] {
    const limits = this.#limitsOf(request.tenant);
    const isFirst = this.#queue.every((row) => !this.#mayStart(row));
    if (isFirst && this.#mayStart(request)) return [this.#start(request)];
    const ownQueued = this.#queue.filter((row) => row.tenant === request.tenant).length;
    if (ownQueued >= limits.queued) return [{ type: 'refuse', id: request.id, reason: 'tenantLimit' }];
    const shed = this.#queue.length >= this.#limits.queued ? this.#shedCandidate(request) : undefined;
    if (this.#queue.length >= this.#limits.queued && shed === undefined) {
      return [{ type: 'refuse', id: request.id, reason: 'entryFull' }];
    }
    this.#queue = this.#queue.filter((row) => row !== shed);
    this.#queue.push({ ...request, queuedAt: now });
    return shed === undefined ? [] : [{ type: 'refuse', id: shed.id, reason: 'shed' }];
  }

  /** Removes a request that has ended, or whose caller left while it was queued, and starts queued requests. */
  finish(id: number): AdmissionDecision[] {
    const tenant = this.#running.get(id);
    this.#queue = this.#queue.filter((row) => row.id !== id);
    if (tenant === undefined) return [];
    this.#running.delete(id);
    this.#runningOf.set(tenant, (this.#runningOf.get(tenant) ?? 1) - 1);
    return this.#startWaiting();
  }

  /** Refuses requests that have been queued for too long. */
  expire(now: number): AdmissionDecision[] {
    const late = this.#queue.filter((row) => now - row.queuedAt >= this.#limits.queueTime);
    this.#queue = this.#queue.filter((row) => !late.includes(row));
    return late.map((row) => ({ type: 'refuse', id: row.id, reason: 'queueTime' }));
  }

  #startWaiting(): AdmissionDecision[] {
    const decisions: AdmissionDecision[] = [];
    for (;;) {
      const next = this.#nextWaiting();
      if (next === undefined) return decisions;
      this.#queue = this.#queue.filter((row) => row !== next);
      decisions.push(this.#start(next));
    }
  }

  /** Highest priority first; at equal priority the tenant with the fewest running requests; then the earliest request. */
  #nextWaiting(): QueuedRow | undefined {
    let best: QueuedRow | undefined;
    for (const row of this.#queue) {
      if (!this.#mayStart(row)) continue;
      if (best === undefined || this.#precedes(row, best)) best = row;
    }
    return best;
  }

  #precedes(a: QueuedRow, b: QueuedRow): boolean {
    if (a.priority !== b.priority) return a.priority > b.priority;
    return this.#runningFor(a.tenant) < this.#runningFor(b.tenant);
  }

  #mayStart(request: AdmissionRequest): boolean {
    if (this.#running.size >= this.#limits.inProgress) return false;
    return this.#runningFor(request.tenant) < this.#limitsOf(request.tenant).inProgress;
  }

  #start(request: AdmissionRequest): AdmissionDecision {
    this.#running.set(request.id, request.tenant);
    this.#runningOf.set(request.tenant, this.#runningFor(request.tenant) + 1);
    return { type: 'start', id: request.id };
  }

  #runningFor(tenant: string): number {
    return this.#runningOf.get(tenant) ?? 0;
  }

  /** The latest queued request of the lowest priority, if that priority is lower than that of `request`. */
  #shedCandidate(request: AdmissionRequest): QueuedRow | undefined {
    let lowest: QueuedRow | undefined;
    for (const row of this.#queue) {
      if (lowest === undefined || row.priority <= lowest.priority) lowest = row;
    }
    return lowest !== undefined && lowest.priority < request.priority ? lowest : undefined;
  }
}
