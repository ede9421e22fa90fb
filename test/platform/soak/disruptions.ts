/** Records what was done to the parts of a soak, and when: guarantees about planned work apply only where nothing else failed. */

/** An unplanned disruption of a part; times are in milliseconds of the monotonic clock. */
export interface Disruption {
  /** Name of a process, id of a worker, or `everything`. */
  part: string;
  from: number;
  to: number;
}

/** A process that was sent SIGTERM. */
export interface PlannedStop {
  process: string;
  at: number;
  /** When it exited; infinite while it runs. */
  endedAt: number;
}

/** An operator's action; times are in milliseconds of the monotonic clock. */
export interface PlannedWork {
  kind: 'SIGTERM' | 'SIGHUP' | 'configuration' | 'version';
  /** Name of a process, or the number of a configuration or version. */
  about: string;
  at: number;
}

/** The part of a configuration that the judges need. */
export interface DeclaredConfiguration {
  at: number;
  /** Timeouts of the routes, in milliseconds. */
  timeouts: Readonly<Record<string, number>>;
  /** Routes that callers use and that it does not contain. */
  missing: readonly string[];
  /** Regions to which routes are bound, by route; any if there are none. */
  regions: Readonly<Record<string, readonly string[]>>;
}

/** Time within which every entry applies a configuration, in milliseconds: after it, the previous one is no longer in force. */
const CONFIGURATION_BOUND = 4_000;
/** A request is admitted up to this long after it was sent, in milliseconds. */
const ADMISSION_TIME = 300;

/** The part that a disruption of the store or of the whole system affects. */
export const EVERYTHING = 'everything';

/** Cuts up to this long after the end of the grace period, in milliseconds, are attributed to the stop. */
const GRACE_MARGIN = 1_000;

/** All disruptions and planned work of one soak. */
export class Disruptions {
  readonly stops: PlannedStop[] = [];
  readonly plannedWork: PlannedWork[] = [];
  readonly configurations: DeclaredConfiguration[] = [];
  readonly #disruptions: Disruption[] = [];
  readonly #interruptions: Disruption[] = [];

  record(parts: readonly string[], duration: number): void {
    const from = performance.now();
    for (const part of parts) this.#disruptions.push({ part, from, to: from + duration });
  }

  /** Whether no unplanned disruption affected any of these parts in a period. */
  areUndisturbed(parts: readonly string[], from: number, to: number): boolean {
    const affected = new Set([...parts, EVERYTHING]);
    return !this.#disruptions.some(
      (disruption) => affected.has(disruption.part) && disruption.from <= to && disruption.to >= from,
    );
  }

  /** Records that a process stops or pauses, or that a worker cannot be reached, for `duration` milliseconds from now. */
  recordInterruption(part: string, duration = 0): void {
    const now = performance.now();
    this.#interruptions.push({ part, from: now, to: now + duration });
  }

  /**
   * Whether none of these parts stopped, paused or was cut off from others in a period. In contrast to `areUndisturbed`, an
   * outage of the store does not count.
   */
  wereRunning(parts: readonly string[], from: number, to: number): boolean {
    return !this.#interruptions.some((one) => parts.includes(one.part) && one.from <= to && one.to >= from);
  }

  recordPlanned(kind: PlannedWork['kind'], about: string): void {
    this.plannedWork.push({ kind, about, at: performance.now() });
  }

  /** The planned work nearest to a time among that which concerns this process: its own signals, and configurations and versions. */
  nearestPlannedWork(process: string, at: number): PlannedWork | undefined {
    const concerning = this.plannedWork.filter(
      ({ kind, about }) => about === process || (kind !== 'SIGTERM' && kind !== 'SIGHUP'),
    );
    return concerning.sort((one, other) => Math.abs(one.at - at) - Math.abs(other.at - at))[0];
  }

  /** Timeouts of a route in the configurations that may have been in force when an entry admitted a request sent at `sentAt`. */
  timeoutsOf(route: string, sentAt: number): number[] {
    return this.#possiblyInForce(sentAt, sentAt).flatMap(({ timeouts }) => timeouts[route] ?? []);
  }

  /** Regions of a route in the configurations that may have been in force in this period; an empty list allows any. */
  regionsOf(route: string, from: number, to: number): Array<readonly string[]> {
    return this.#possiblyInForce(from, to).map(({ regions }) => regions[route] ?? []);
  }

  /** Whether a configuration without this route may have been in force in this period. */
  mayLackRoute(route: string, from: number, to: number): boolean {
    return this.#possiblyInForce(from, to).some(({ missing }) => missing.includes(route));
  }

  #possiblyInForce(from: number, to: number): DeclaredConfiguration[] {
    return this.configurations.filter(({ at }, place) => {
      const next = this.configurations[place + 1]?.at ?? Number.POSITIVE_INFINITY;
      return at <= to + ADMISSION_TIME && next + CONFIGURATION_BOUND >= from;
    });
  }

  /** How often a process was sent SIGTERM in a period. */
  signalsTo(process: string, from: number, to: number): number {
    return this.stops.filter((stop) => stop.process === process && stop.at >= from && stop.at <= to).length;
  }

  /** The planned stop of a process during which a request to it ended, if any. */
  stopDuring(process: string, sentAt: number, endedAt: number, grace: number): PlannedStop | undefined {
    return this.stops.find((stop) => {
      const isOfProcess = stop.process === process && sentAt < stop.endedAt;
      return isOfProcess && endedAt >= stop.at && endedAt <= stop.at + grace + GRACE_MARGIN;
    });
  }
}
