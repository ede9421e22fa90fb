/**
 * Tracks which back ends are cold: they bear few requests for some time after a start under load, or whenever they say so. Each
 * source can only prolong that time, as sources are late in different ways: the back end's record, the report of its agent, a
 * start that this process has seen, its health answer, and the end of an evacuation. Times are in milliseconds of the monotonic
 * clock.
 */
import type { BackEndChange } from '../fleet/back-end-list.js';
import type { FleetView } from '../fleet/fleet-view.js';
import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';
import type { ColdState, WarmUp } from '../model/warm-up.js';
import type { Log } from '../observability/log.js';
import type { Metrics } from '../observability/metrics.js';
import type { BackEndRecord } from '../protocol/back-end-list-state.js';
import type { BackEndHealth } from './back-end-health.js';

/** Maximum number of back ends without a record that are kept, the latest ones: their starts are told apart when they return. */
const MAX_REMOVED = 1_000;

/**
 * Time for which the back ends of a zone count as cold after the operator has taken it back, in milliseconds. They are mostly cold then,
 * and their records come up to a heartbeat and a reading of the list later than the row.
 */
const TAKEN_BACK_TIME = 2_000;

/** From what a back end is known to be cold. */
type ColdSource = 'record' | 'report' | 'start' | 'health' | 'takenBack';

export interface BackEndWarmUpsOptions {
  fleet: Pick<FleetView, 'routes' | 'listen'>;
  /** Health of a back end; undefined if it is not listed. */
  healthOf: (id: string) => Pick<BackEndHealth, 'wasSuspendedWithin' | 'suspendedAt'> | undefined;
  log: Log;
  metrics: Metrics;
}

interface KnownBackEnd {
  start: BackEndIdentity['start'];
  service: string;
  zone: string;
  /** Revision of the latest record whose statement was applied. */
  revision: number;
  coldUntil: number;
  /** Whether it has refused connections since it last accepted one. */
  isStopped: boolean;
  /** When it last became known, without its record, for how long it stays cold. */
  toldAt: number;
}

/** The cold back ends as known to one entry. */
export class BackEndWarmUps {
  readonly #options: BackEndWarmUpsOptions;
  readonly #known = new Map<string, KnownBackEnd>();
  readonly #removed = new Set<string>();
  readonly #counts: Record<ColdSource, number> = { record: 0, report: 0, start: 0, health: 0, takenBack: 0 };

  constructor(options: BackEndWarmUpsOptions) {
    this.#options = options;
    options.fleet.listen({
      onBackEnds: (changes) => this.apply(changes, performance.now()),
      onEvacuation: ({ zone, isEvacuated }) => {
        if (!isEvacuated) this.#noteTakenBack(zone, performance.now());
      },
    });
    options.metrics.add([
      {
        name: 'back_ends_cold',
        help: 'Back ends that are cold after a start or by their own word',
        read: () => this.#coldNow(performance.now()),
      },
      {
        name: 'back_end_warm_ups',
        help: 'Times since the start that a back end was found to be cold, by how it became known',
        label: 'source',
        read: () => ({ ...this.#counts }),
      },
    ]);
  }

  /** Applies changes of the list. */
  apply(changes: readonly BackEndChange[], now: number): void {
    for (const change of changes) {
      if (change.type === 'gone') this.#noteRemoved(change.id);
      else this.#noteRecord(change.record, now);
    }
  }

  /**
   * Applies the report of its agent.
   * @param left - time for which the back end stays cold, in milliseconds
   */
  noteReported({ id, start }: BackEndIdentity, left: number, now: number): void {
    const known = this.#known.get(id);
    if (known !== undefined && isSameStart(known.start, start))
      this.#prolong(id, known, now + left, 'report');
  }

  /**
   * A back end refuses connections: its process has ended, and the next one will be cold. Returns whether this was not known.
   */
  noteStopped({ id, start }: BackEndIdentity): boolean {
    const known = this.#known.get(id);
    if (known === undefined || known.isStopped || !isSameStart(known.start, start)) return false;
    known.isStopped = true;
    return true;
  }

  /**
   * A back end accepts connections; if it refused them before, it has started anew.
   * @param left - time for which it stays cold by its own word, in milliseconds; undefined if it has not told
   */
  noteAccepting({ id, start }: BackEndIdentity, left: number | undefined, now: number): void {
    const known = this.#known.get(id);
    if (known === undefined || !isSameStart(known.start, start)) return;
    const time = known.isStopped ? (this.#warmUpOf(known.service)?.time ?? 0) : 0;
    if (left !== undefined || known.isStopped) known.toldAt = now;
    known.isStopped = false;
    if (left !== undefined) this.#prolong(id, known, now + left, 'health');
    else this.#prolong(id, known, now + time, 'start');
  }

  /** The state of a back end that is known to be cold, for its agent. */
  stateOf({ id, start }: BackEndIdentity, now: number): ColdState | undefined {
    const known = this.#known.get(id);
    if (known === undefined || !isSameStart(known.start, start) || now >= known.coldUntil) return undefined;
    const rate = this.#warmUpOf(known.service)?.rate;
    return rate === undefined ? undefined : { rate, left: known.coldUntil - now };
  }

  /**
   * Requests per second that a back end bears from all entries together when it is called directly; undefined if it is warm. One
   * that did not answer counts as cold until it has answered for as long as it would be cold: it may have started anew. That does
   * not apply once it is known whether it has.
   */
  rateOf(backEnd: BackEndIdentity, now: number): number | undefined {
    const cold = this.stateOf(backEnd, now);
    if (cold !== undefined) return cold.rate;
    const known = this.#known.get(backEnd.id);
    const warmUp = known === undefined ? undefined : this.#warmUpOf(known.service);
    if (known === undefined || warmUp === undefined) return undefined;
    if (known.isStopped) return warmUp.rate;
    const health = this.#options.healthOf(backEnd.id);
    if (health === undefined || health.suspendedAt <= known.toldAt) return undefined;
    return health.wasSuspendedWithin(warmUp.time, now) ? warmUp.rate : undefined;
  }

  #noteTakenBack(zone: string, now: number): void {
    for (const [id, known] of this.#known)
      if (known.zone === zone) this.#prolong(id, known, now + TAKEN_BACK_TIME, 'takenBack');
  }

  #noteRecord({ id, start, service, zone, revision, coldLeft }: BackEndRecord, now: number): void {
    const known = this.#known.get(id);
    this.#removed.delete(id);
    const hasStarted = known !== undefined && !isSameStart(known.start, start);
    // A record is applied again when something else becomes known of its back end.
    const isNew = known === undefined || revision > known.revision;
    const current: KnownBackEnd = {
      start,
      service,
      zone,
      revision,
      coldUntil: hasStarted ? Number.NEGATIVE_INFINITY : (known?.coldUntil ?? Number.NEGATIVE_INFINITY),
      isStopped: !hasStarted && known?.isStopped === true,
      toldAt: hasStarted ? Number.NEGATIVE_INFINITY : (known?.toldAt ?? Number.NEGATIVE_INFINITY),
    };
    this.#known.set(id, current);
    if (isNew) this.#prolong(id, current, now + (coldLeft ?? 0), 'record');
    if (hasStarted) this.#prolong(id, current, now + (this.#warmUpOf(service)?.time ?? 0), 'start');
  }

  #noteRemoved(id: string): void {
    this.#removed.delete(id);
    this.#removed.add(id);
    if (this.#removed.size <= MAX_REMOVED) return;
    const [first] = this.#removed;
    this.#removed.delete(first);
    this.#known.delete(first);
  }

  #prolong(id: string, known: KnownBackEnd, until: number, source: ColdSource): void {
    const now = performance.now();
    if (until <= Math.max(now, known.coldUntil)) return;
    const isFirst = known.coldUntil <= now;
    known.coldUntil = until;
    const warmUp = this.#warmUpOf(known.service);
    if (!isFirst || warmUp === undefined) return;
    this.#counts[source]++;
    const { rate } = warmUp;
    this.#options.log.info('back end cold', {
      backEnd: id,
      start: known.start,
      milliseconds: Math.round(until - now),
      rate,
      source,
    });
  }

  #warmUpOf(service: string): WarmUp | undefined {
    return this.#options.fleet.routes?.service(service)?.warmUp;
  }

  #coldNow(now: number): number {
    const cold = [...this.#known.values()].filter(
      ({ service, coldUntil }) => now < coldUntil && this.#warmUpOf(service) !== undefined,
    );
    return cold.length;
  }
}
