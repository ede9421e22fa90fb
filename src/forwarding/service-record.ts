/** Records how admitted requests ended: as metrics by route, tenant and rank, and for the floor of service. */
import { Counter } from 'prom-client';
import type { Metrics } from '../observability/metrics.js';
import type { ServiceFloor } from '../systems/service-floor.js';
import type { AdmittedRequest } from './admitted-request.js';
import type { RequestEnding } from './request-ending.js';
import { outcomeOfEnding } from './request-ending.js';

/**
 * Names that are counted by themselves, for each label; the requests of others are counted together. Configurations may name
 * thousands of routes, and each name costs a line of the metrics for each ending.
 */
const MAX_NAMES = 100;
const OTHER_NAMES = 'other';
/** Label of requests that need no key. */
const NO_TENANT = 'none';

/** How a request ended for its caller; `late` is measured by the attempt that completed the answer. */
export type ServiceEnding = 'inTime' | 'late' | 'refused' | 'failed' | 'left';

/** What is recorded of a request. */
export type RecordedRequest = Pick<
  AdmittedRequest,
  'route' | 'tenant' | 'priorityRank' | 'isDrawn' | 'timing'
>;

/** The service that requests got at one entry. */
export class ServiceRecord {
  readonly #floor: ServiceFloor;
  readonly #byRoute: NamedCounter;
  readonly #byTenant: NamedCounter;
  readonly #byRank: NamedCounter;
  #drawn = 0;

  constructor(floor: ServiceFloor, metrics: Metrics) {
    this.#floor = floor;
    this.#byRoute = new NamedCounter('route', metrics);
    this.#byTenant = new NamedCounter('tenant', metrics);
    this.#byRank = new NamedCounter('rank', metrics);
    metrics.add([
      {
        name: 'requests_drawn',
        help: 'Less urgent requests that went with the most urgent ones, so that their kind is not starved',
        read: () => this.#drawn,
      },
    ]);
  }

  /** Records the end of a request. */
  note(request: RecordedRequest, ending: RequestEnding, now: number): void {
    const { route, tenant, priorityRank, isDrawn } = request;
    const serviceEnding = endingOf(request, ending);
    this.#byRoute.count(route.name, serviceEnding);
    this.#byTenant.count(tenant ?? NO_TENANT, serviceEnding);
    this.#byRank.count(String(priorityRank), serviceEnding);
    if (isDrawn) this.#drawn++;
    // A caller that leaves says nothing about who is served.
    if (!route.isStream || serviceEnding === 'left') return;
    const isServed = serviceEnding === 'inTime' || serviceEnding === 'late';
    this.#floor.note({ rank: priorityRank, isDrawn, isServed }, now);
  }
}

/** A counter of endings by one label, with a bounded number of names. */
class NamedCounter {
  readonly #label: string;
  readonly #counter: Counter;
  readonly #names = new Set<string>();

  constructor(label: string, { registry }: Metrics) {
    this.#label = label;
    this.#counter = new Counter({
      name: `thistleway_requests_by_${label}`,
      help: `Admitted requests by ${label}, and how they ended for their callers`,
      labelNames: [label, 'ending'],
      registers: [registry],
    });
  }

  count(name: string, ending: ServiceEnding): void {
    if (this.#names.size < MAX_NAMES) this.#names.add(name);
    this.#counter.inc({ [this.#label]: this.#names.has(name) ? name : OTHER_NAMES, ending });
  }
}

function endingOf({ route, timing }: RecordedRequest, ending: RequestEnding): ServiceEnding {
  const outcome = outcomeOfEnding(ending);
  // A stop of this process ends requests as a caller does that leaves.
  if (outcome === 'left' || outcome === 'stopped') return 'left';
  if (outcome === 'refused') return 'refused';
  if (outcome !== 'served' || ending.type !== 'answered') return 'failed';
  const { attempt, firstAnswerAfter = 0 } = ending.use;
  const firstAnswerAt = attempt.startedAt + firstAnswerAfter;
  return firstAnswerAt - timing.arrivedAt <= route.objective ? 'inTime' : 'late';
}
