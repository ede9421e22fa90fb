/**
 * Decides on which versions of the weights a request may start: none that the operator has replaced for longer than the
 * bound, and for the continuation of a stream only the version with which it began. Times are in milliseconds of the monotonic
 * clock.
 */
import type { EngineShape } from '../fleet/configuration.js';
import type { FleetView } from '../fleet/fleet-view.js';
import { type BackEndRow, completeVersion } from './back-end-table.js';
import type { CandidateEstimates } from './candidate-estimates.js';

/**
 * A request that has not started this long before the version expires is withdrawn, in milliseconds. The close of a
 * connection reaches an engine within 6 ms; the rest allows for busy links, the tick of 50 ms and `CLOCK_TOLERANCE`.
 */
export const WITHDRAWAL_LEAD = 250;
/** The engine and version that a selection assumed when the request was sent. */
export interface AssumedEngine {
  /** The engine as declared at that time; undefined if the back end was not an engine. */
  engine: EngineShape | undefined;
  /** The version that the engine was assumed to hold; 0 if none. */
  version: number;
}

/** What a request requires of the version. */
export interface VersionRequirements {
  /** The service's engines as declared when the request was admitted; undefined if its back ends are not engines. */
  engine: EngineShape | undefined;
  /** The version that must answer, if the request continues a stream. */
  version: number | undefined;
}

/** Why the version that an engine holds excludes it. */
export type VersionExclusion = 'noWeights' | 'expired' | 'otherVersion';

export interface VersionRulesOptions {
  fleet: Pick<FleetView, 'routes' | 'versions'>;
  estimates: Pick<CandidateEstimates, 'expiryMargin'>;
  /** Time within which a named version must serve everywhere, in milliseconds. */
  versionBound: number;
}

/** The rules about versions for one entry. */
export class VersionRules {
  readonly #options: VersionRulesOptions;

  constructor(options: VersionRulesOptions) {
    this.#options = options;
  }

  /** Why the version that `row` holds excludes it; undefined if it does not. */
  exclusionOf(
    row: BackEndRow,
    engine: EngineShape,
    requirements: VersionRequirements,
    now: number,
  ): VersionExclusion | undefined {
    const version = completeVersion(row, engine.layers);
    if (version === 0) return 'noWeights';
    // The margin is computed only for a version that will expire: for all engines it would be the most expensive check.
    // As for withdrawal, the engine as declared at admission counts too; otherwise a request could be sent to an engine on
    // which it may not start.
    const lowestAfter = (wait: number) =>
      Math.max(
        this.lowestVersion(engine, now, wait),
        this.lowestVersion(requirements.engine ?? engine, now, wait),
      );
    const mayExpire = version < lowestAfter(this.#options.versionBound);
    if (mayExpire && version < lowestAfter(this.#options.estimates.expiryMargin(row, now))) return 'expired';
    const isOther = requirements.version !== undefined && requirements.version !== version;
    return isOther ? 'otherVersion' : undefined;
  }

  /**
   * Whether a request that has not started at `row` must be withdrawn because the version there is about to expire.
   * Later information does not cancel this: neither a configuration that lacks the engine or its model nor a report
   * that the engine holds no version proves that the engine will not start the request.
   */
  mustWithdraw(row: BackEndRow, assumed: AssumedEngine, now: number): boolean {
    if (this.#isAboutToExpire(row, assumed.engine, assumed, now)) return true;
    const engine = this.#options.fleet.routes?.service(row.record.service)?.engine;
    return engine !== assumed.engine && this.#isAboutToExpire(row, engine, assumed, now);
  }

  #isAboutToExpire(
    row: BackEndRow,
    engine: EngineShape | undefined,
    { version }: AssumedEngine,
    now: number,
  ) {
    if (engine === undefined) return false;
    const held = completeVersion(row, engine.layers, now) || version;
    return held > 0 && held < this.lowestVersion(engine, now, WITHDRAWAL_LEAD);
  }

  /** Time since `version` of `engine` expired for new requests, in milliseconds; negative before it expires. */
  timeSinceExpiry(engine: EngineShape | undefined, version: number, now: number): number {
    const models = engine?.models ?? [];
    const expiries = models.map(({ name }) =>
      this.#options.fleet.versions.expiryOf(name, version, this.#options.versionBound),
    );
    return now - Math.min(Number.POSITIVE_INFINITY, ...expiries);
  }

  /** Lowest version on which a request may start after `wait` milliseconds; 0 if any. */
  lowestVersion(engine: EngineShape, now: number, wait: number): number {
    const lowest = engine.models.map(({ name }) => {
      return this.#options.fleet.versions.lowestAllowed(name, now + wait, this.#options.versionBound);
    });
    return Math.max(0, ...lowest);
  }

  /** The version that a back end must hold once an older version may no longer answer; undefined before that. */
  expectedVersion(row: BackEndRow, engine: EngineShape | undefined, now: number): number | undefined {
    if (engine === undefined || this.lowestVersion(engine, now, 0) === 0) return undefined;
    return completeVersion(row, engine.layers);
  }
}
