import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { type AdmissionDecision, AdmissionTable, type TenantLimits } from '../../src/systems/admission.js';

const LIMITS = { inProgress: 4, queued: 3, queueTime: 100 };

function tableWith(tenants: Record<string, TenantLimits> = {}): AdmissionTable {
  return new AdmissionTable(LIMITS, (tenant) => tenants[tenant] ?? { inProgress: 4, queued: 3 });
}

/** A table filled by requests 1 to 4 of tenant `large`. */
function fullTable(tenants?: Record<string, TenantLimits>): AdmissionTable {
  const table = tableWith(tenants);
  for (let id = 1; id <= LIMITS.inProgress; id++) table.offer({ id, tenant: 'large', priority: 0 }, 0);
  return table;
}

describe('admission', () => {
  it('starts a request immediately if there is capacity', () => {
    expect(tableWith().offer({ id: 1, tenant: 'a', priority: 0 }, 0)).toEqual([{ type: 'start', id: 1 }]);
  });

  it('keeps a tenant within its own limits without affecting others', () => {
    const table = tableWith({ small: { inProgress: 1, queued: 0 } });
    table.offer({ id: 1, tenant: 'small', priority: 0 }, 0);
    const refused = table.offer({ id: 2, tenant: 'small', priority: 9 }, 0);
    expect(refused).toEqual([{ type: 'refuse', id: 2, reason: 'tenantLimit' }]);
    expect(table.offer({ id: 3, tenant: 'other', priority: 0 }, 0)).toEqual([{ type: 'start', id: 3 }]);
  });

  it('starts the higher priority first, then the tenant with the fewest running requests', () => {
    const table = fullTable();
    table.offer({ id: 5, tenant: 'large', priority: 0 }, 0);
    table.offer({ id: 6, tenant: 'small', priority: 0 }, 0);
    table.offer({ id: 7, tenant: 'large', priority: 1 }, 0);
    const started = [1, 2, 3].flatMap((id) => table.finish(id));
    expect(started.map(({ id }) => id)).toEqual([7, 6, 5]);
  });

  it('sheds the lowest priority when the queue is full, and only for a higher one', () => {
    const table = fullTable();
    for (const [id, priority] of [
      [5, 2],
      [6, 1],
      [7, 2],
    ]) {
      table.offer({ id, tenant: 'small', priority }, 0);
    }
    expect(table.offer({ id: 8, tenant: 'other', priority: 1 }, 0)).toEqual([
      { type: 'refuse', id: 8, reason: 'entryFull' },
    ]);
    expect(table.offer({ id: 9, tenant: 'other', priority: 3 }, 0)).toEqual([
      { type: 'refuse', id: 6, reason: 'shed' },
    ]);
  });

  it('refuses requests that have been queued for too long', () => {
    const table = fullTable();
    table.offer({ id: 5, tenant: 'small', priority: 0 }, 0);
    expect(table.expire(LIMITS.queueTime - 1)).toEqual([]);
    expect(table.expire(LIMITS.queueTime)).toEqual([{ type: 'refuse', id: 5, reason: 'queueTime' }]);
  });

  it('decides each request once, and never exceeds a limit', () => {
    const step = fc.record({
      action: fc.constantFrom('offer', 'offer', 'finish', 'expire'),
      tenant: fc.constantFrom('a', 'b', 'c'),
      priority: fc.nat(3),
      pick: fc.nat(50),
    });
    const property = fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const table = tableWith({ a: { inProgress: 2, queued: 1 } });
      const tenants = new Map<number, string>();
      const running: number[] = [];
      const decided = new Set<number>();
      const take = (decisions: AdmissionDecision[]) => {
        for (const { type, id } of decisions) {
          expect(decided.has(id)).toBe(false);
          decided.add(id);
          if (type === 'start') running.push(id);
        }
      };
      for (const [now, { action, tenant, priority, pick }] of steps.entries()) {
        if (action === 'offer') {
          tenants.set(now, tenant);
          take(table.offer({ id: now, tenant, priority }, now));
        } else if (action === 'expire') take(table.expire(now));
        else if (running.length > 0) take(table.finish(running.splice(pick % running.length, 1)[0]));
        expect(running.length).toBeLessThanOrEqual(LIMITS.inProgress);
        expect(running.filter((id) => tenants.get(id) === 'a').length).toBeLessThanOrEqual(2);
        expect(table.queued).toBeLessThanOrEqual(LIMITS.queued);
        expect(table.inProgress).toBe(running.length);
      }
    });
    fc.assert(property, { seed: 1, numRuns: 500 });
  });
});
