/** Whether a report of an engine is worth sending: it changes at each look, and whoever hears it passes much of it on. */
import type { EngineReport } from '../protocol/reports.js';

/** An engine is reported at least this often, in milliseconds. */
const REPORT_INTERVAL = 1_000;
/** Report at once when the load has changed by this many requests: one report a second is due anyway. */
const LOAD_STEP = 3;
/** Report at once when the expected time of the switch has moved by this much, in milliseconds. */
const SWITCH_TIME_STEP = 400;

/** What was sent last of one engine. */
export class ReportThrottle {
  #sentFields = '';
  #sentAt = 0;
  /** When the engine was last said to switch, in milliseconds of the steady clock; infinite where it is not. */
  #sentSwitchAt = Number.POSITIVE_INFINITY;

  /** The next report is news, whatever it says. */
  reset(): void {
    this.#sentFields = '';
  }

  /** True if `report` is to be sent at `now`, in milliseconds of the steady clock; it counts as sent then. */
  admit(report: EngineReport, now: number): boolean {
    const text = immediateFieldsOf(report);
    const switchAt = now + (report.switchesIn ?? Number.POSITIVE_INFINITY);
    const hasSwitchMoved =
      switchAt !== this.#sentSwitchAt && !(Math.abs(switchAt - this.#sentSwitchAt) < SWITCH_TIME_STEP);
    if (text === this.#sentFields && !hasSwitchMoved && now - this.#sentAt < REPORT_INTERVAL) return false;
    this.#sentFields = text;
    this.#sentSwitchAt = switchAt;
    this.#sentAt = now;
    return true;
  }
}

/** What of a report is news as soon as it changes. */
function immediateFieldsOf({ start, version, isReached, isSwitching, load, held }: EngineReport): string {
  return JSON.stringify([
    start,
    version,
    isReached,
    isSwitching,
    Math.round(load / LOAD_STEP),
    held.map((one) => [one.version, one.have]),
  ]);
}
