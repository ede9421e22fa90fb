/** Lists the back-end crashes in the logs of a run, with the request contents that were quarantined for them. */
import { startTime } from './loss-table.js';
import type { LogLine } from './request-history.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** One crash of a back end. */
export interface CrashSummary {
  backEnd: string;
  /** Seconds since the first line. */
  from: number;
  /** Number of entries that detected the crash. */
  entries: number;
  /** Requests of all entries that were in progress at the back end. */
  suspects: number;
  /** Fingerprints of contents that were quarantined because of the crash. */
  quarantined: string[];
}

/** Summarizes the crashes in `lines`, sorted by time. */
export function summarizeCrashes(lines: readonly LogLine[]): CrashSummary[] {
  const start = startTime(lines);
  const losses = new Map<string, CrashSummary>();
  for (const { message, time, fields } of lines) {
    const { backEnd, fingerprint } = fields;
    if (typeof backEnd !== 'string') continue;
    if (message === 'back end crashed') {
      const from = (time - start) / MILLISECONDS_PER_SECOND;
      const loss = losses.get(backEnd) ?? { backEnd, from, entries: 0, suspects: 0, quarantined: [] };
      losses.set(backEnd, loss);
      loss.from = Math.min(loss.from, from);
      loss.entries++;
      loss.suspects += Number(fields.suspects) || 0;
    }
    const loss = losses.get(backEnd);
    if (message !== 'content quarantined' || loss === undefined) continue;
    if (!loss.quarantined.includes(String(fingerprint))) loss.quarantined.push(String(fingerprint));
  }
  return [...losses.values()].sort((one, other) => one.from - other.from);
}

/** Formats the crashes as lines of text; empty if there are none. */
export function formatCrashes(losses: readonly CrashSummary[]): string[] {
  if (losses.length === 0) return [];
  const rows = losses.map(({ backEnd, from, entries, suspects, quarantined }) =>
    [
      from.toFixed(1).padStart(7),
      backEnd,
      `entries=${entries} suspects=${suspects} quarantined=${quarantined.join(',') || '-'}`,
    ].join('  '),
  );
  return ['back ends lost to a request, or crashed beside one:', ...rows];
}
