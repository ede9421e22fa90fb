/** What was done to the parts of a soak's world and when: promises about planned work hold where nothing else went wrong. */

/** Something unplanned that struck a part; times are in milliseconds of the steady clock. */
export interface Disruption {
  /** Name of a process, identity of a worker, or `everything`. */
  part: string;
  from: number;
  to: number;
}

/** A process that was told to stop. */
export interface PlannedStop {
  process: string;
  at: number;
  /** When it was gone; infinite while it lives. */
  endedAt: number;
}

/** Something that operators did; times are in milliseconds of the steady clock. */
export interface PlannedWork {
  kind: 'SIGTERM' | 'SIGHUP' | 'configuration' | 'version';
  /** Name of a process, or a number of a configuration or version. */
  about: string;
  at: number;
}

/** What a configuration says that the judges must know. */
export interface DeclaredConfiguration {
  at: number;
  /** Time-outs of the routes, in milliseconds. */
  timeouts: Readonly<Record<string, number>>;
  /** Routes of requests that it does not name. */
  missing: readonly string[];
}

/** Time in which every entry has taken a configuration, in milliseconds: after it, only the newer one is in force. */
const CONFIGURATION_BOUND = 4_000;
/** A request is admitted up to this long after it was sent, in milliseconds. */
const ADMISSION_TIME = 300;

/** What a disruption of the store or of the whole system strikes. */
export const EVERYTHING = 'everything';

/** What is cut until this long after the time of grace was cut by the stop, in milliseconds. */
const AFTER_GRACE = 1_000;

/** All of one world. */
export class Disruptions {
  readonly stops: PlannedStop[] = [];
  readonly plannedWork: PlannedWork[] = [];
  readonly configurations: DeclaredConfiguration[] = [];
  readonly #disruptions: Disruption[] = [];

  note(parts: readonly string[], lasts: number): void {
    const from = performance.now();
    for (const part of parts) this.#disruptions.push({ part, from, to: from + lasts });
  }

  /** Whether nothing unplanned struck any of these parts in a time. */
  areCalm(parts: readonly string[], from: number, to: number): boolean {
    const concerned = new Set([...parts, EVERYTHING]);
    return !this.#disruptions.some(
      (disruption) => concerned.has(disruption.part) && disruption.from <= to && disruption.to >= from,
    );
  }

  notePlanned(kind: PlannedWork['kind'], about: string): void {
    this.plannedWork.push({ kind, about, at: performance.now() });
  }

  /** The work nearest to a time that concerned this process: its signals, and what is told to all. */
  nearestWork(process: string, at: number): PlannedWork | undefined {
    const concerning = this.plannedWork.filter(
      ({ kind, about }) => about === process || (kind !== 'SIGTERM' && kind !== 'SIGHUP'),
    );
    return concerning.sort((one, other) => Math.abs(one.at - at) - Math.abs(other.at - at))[0];
  }

  /** Time-outs of a route in the configurations that an entry may have had as it took a request sent then. */
  timeoutsOf(route: string, sentAt: number): number[] {
    return this.#mayBeInForce(sentAt, sentAt).flatMap(({ timeouts }) => timeouts[route] ?? []);
  }

  /** Whether a configuration without this route may have been in force in this time. */
  mayLack(route: string, from: number, to: number): boolean {
    return this.#mayBeInForce(from, to).some(({ missing }) => missing.includes(route));
  }

  #mayBeInForce(from: number, to: number): DeclaredConfiguration[] {
    return this.configurations.filter(({ at }, place) => {
      const next = this.configurations[place + 1]?.at ?? Number.POSITIVE_INFINITY;
      return at <= to + ADMISSION_TIME && next + CONFIGURATION_BOUND >= from;
    });
  }

  /** How often a process was told to stop in a time. */
  signalsTo(process: string, from: number, to: number): number {
    return this.stops.filter((stop) => stop.process === process && stop.at >= from && stop.at <= to).length;
  }

  /** The planned stop of a process into which a request falls that it was sent in this time, if any. */
  stopDuring(process: string, sentAt: number, endedAt: number, grace: number): PlannedStop | undefined {
    return this.stops.find((stop) => {
      const isOfProcess = stop.process === process && sentAt < stop.endedAt;
      return isOfProcess && endedAt >= stop.at && endedAt <= stop.at + grace + AFTER_GRACE;
    });
  }
}
