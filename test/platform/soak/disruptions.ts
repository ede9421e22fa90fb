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

/** What a disruption of the store or of the whole system strikes. */
export const EVERYTHING = 'everything';

/** What is cut until this long after the time of grace was cut by the stop, in milliseconds. */
const AFTER_GRACE = 1_000;

/** All of one world. */
export class Disruptions {
  readonly stops: PlannedStop[] = [];
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
