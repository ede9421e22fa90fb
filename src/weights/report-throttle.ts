/**
 * Decides whether an engine report is sent: reports change with each poll, and receivers forward much of what
 * they hear.
 */
import type { EngineReport } from '../protocol/reports.js';

/** A report is sent at least this often, in milliseconds. */
const REPORT_INTERVAL = 1_000;
/**
 * A report is sent at once when the load has changed by this many requests; smaller changes wait for the next
 * regular report.
 */
const LOAD_STEP = 3;
/** A report is sent at once when the expected time of the switch has moved by this much, in milliseconds. */
const SWITCH_TIME_STEP = 400;

/** Compares the reports of one engine with the last one sent. */
export class ReportThrottle {
  #sentFields = '';
  #sentAt = 0;
  /**
   * Switch time in the last report sent, in milliseconds of the monotonic clock; infinite if none was due.
   */
  #sentSwitchAt = Number.POSITIVE_INFINITY;

  /** Lets the next report through, whatever it contains. */
  reset(): void {
    this.#sentFields = '';
  }

  /**
   * True if `report` is to be sent at `now`, in milliseconds of the monotonic clock; it then counts as sent.
   */
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

/** The fields of which any change is reported at once, serialized for comparison. */
function immediateFieldsOf({
  start,
  version,
  isReached,
  isSwitching,
  isProven,
  load,
  coldLeft,
  held,
}: EngineReport): string {
  return JSON.stringify([
    start,
    version,
    isReached,
    isSwitching,
    isProven,
    Math.round(load / LOAD_STEP),
    (coldLeft ?? 0) > 0,
    held.map((one) => [one.version, one.have]),
  ]);
}
