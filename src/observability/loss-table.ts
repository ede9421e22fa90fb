/**
 * Summarizes failed and delayed requests from the logs of a run: for each time interval and service, the outcomes of requests
 * and the reasons for excluding back ends; and the outages of engines during version switches.
 */
import type { LogLine } from './request-history.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Outcomes of the requests of one service in one interval. */
export interface LossRow {
  /** Start of the interval, in seconds since the first log line. */
  from: number;
  service: string;
  /** Attempts sent, and those among them that were retries. */
  sent: number;
  sentRetries: number;
  served: number;
  /** Median time to the first part of an answer, in milliseconds; undefined if nothing was served. */
  firstPartMedian: number | undefined;
  /** Medians over the attempts sent: number of eligible back ends, and load of the chosen one. */
  choicesMedian: number | undefined;
  loadMedian: number | undefined;
  held: number;
  cut: number;
  /** Requests whose callers disconnected. */
  left: number;
  /** Requests that ended with an error, by status and reason. */
  refused: Record<string, number>;
  /** Failed attempts by reason. */
  failures: Record<string, number>;
  /** Mean number of excluded back ends, by reason, over the refusals of the interval. */
  excluded: Record<string, number>;
  /** Requests served, by version; version 0 if the log line has none. */
  versions: Record<string, number>;
}

/** A period in which an engine accepted no requests because it was switching versions. */
export interface SwitchOutage {
  process: string;
  /** Start of the outage, in seconds since the first log line. */
  from: number;
  /** Versions before and after the switch; 0 for none. */
  fromVersion: number;
  toVersion: number;
  /** How the running requests were handled, and their number. */
  running: string;
  load: number;
  /** Duration in milliseconds; undefined if the end was not logged. */
  took: number | undefined;
}

interface RowAccumulator {
  row: LossRow;
  firstPartTimes: number[];
  choices: number[];
  loads: number[];
  exclusions: number;
}

/** Computes a row for each interval of `step` seconds and service, sorted by time. */
export function lossTable(lines: readonly LogLine[], step: number): LossRow[] {
  const start = startTime(lines);
  const accumulators = new Map<string, RowAccumulator>();
  for (const line of lines) {
    const { service } = line.fields;
    if (line.request === undefined || typeof service !== 'string') continue;
    const from = Math.floor((line.time - start) / MILLISECONDS_PER_SECOND / step) * step;
    const key = `${from} ${service}`;
    const accumulator = accumulators.get(key) ?? createAccumulator(from, service);
    accumulators.set(key, accumulator);
    count(accumulator, line);
  }
  return [...accumulators.values()].map(toLossRow).sort((one, other) => one.from - other.from);
}

/** Lists the outages of engines during version switches, in the order of `lines`. */
export function switchOutages(lines: readonly LogLine[]): SwitchOutage[] {
  const start = startTime(lines);
  const outages: SwitchOutage[] = [];
  const open = new Map<string, SwitchOutage>();
  for (const { message, process, time, fields } of lines) {
    if (message === 'engine ordered') {
      const outage: SwitchOutage = {
        process,
        from: (time - start) / MILLISECONDS_PER_SECOND,
        fromVersion: Number(fields.from) || 0,
        toVersion: Number(fields.version) || 0,
        running: String(fields.running),
        load: Number(fields.load) || 0,
        took: undefined,
      };
      outages.push(outage);
      open.set(process, outage);
    }
    if (message !== 'switch ended') continue;
    const outage = open.get(process);
    if (outage !== undefined) outage.took = Number(fields.tookMs);
    open.delete(process);
  }
  return outages;
}

/** Formats the table as lines of text. */
export function formatLosses(rows: readonly LossRow[], outages: readonly SwitchOutage[]): string[] {
  const losses = rows.map((row) =>
    [
      row.from.toFixed(1).padStart(7),
      row.service,
      `sent=${row.sent} again=${row.sentRetries} served=${row.served} held=${row.held} cut=${row.cut} left=${row.left}`,
      `first=${row.firstPartMedian ?? '-'}ms choices=${row.choicesMedian ?? '-'} load=${row.loadMedian ?? '-'}`,
      ...['refused', 'failures', 'excluded', 'versions'].map(
        (name) => `${name}=${JSON.stringify(row[name as keyof LossRow])}`,
      ),
    ].join('  '),
  );
  const switches = outages.map(
    ({ process, from, fromVersion, toVersion, running, load, took }) =>
      `${from.toFixed(1).padStart(7)}  ${process}  version ${fromVersion} to ${toVersion}  load=${load} running=${running} took=${took ?? '?'}ms`,
  );
  return ['requests:', ...losses, 'engines away:', ...switches];
}

/** Time of the earliest line, which is the origin of all intervals. */
export function startTime(lines: readonly LogLine[]): number {
  return lines.reduce((first, { time }) => Math.min(first, time), Number.POSITIVE_INFINITY);
}

function createAccumulator(from: number, service: string): RowAccumulator {
  const row: LossRow = {
    from,
    service,
    sent: 0,
    sentRetries: 0,
    served: 0,
    firstPartMedian: undefined,
    choicesMedian: undefined,
    loadMedian: undefined,
    held: 0,
    cut: 0,
    left: 0,
    refused: {},
    failures: {},
    excluded: {},
    versions: {},
  };
  return { row, firstPartTimes: [], choices: [], loads: [], exclusions: 0 };
}

function count(accumulator: RowAccumulator, { message, fields }: LogLine): void {
  const { row } = accumulator;
  switch (message) {
    case 'sent':
      row.sent++;
      if (Number(fields.send) > 1) row.sentRetries++;
      accumulator.choices.push(Number(fields.choices));
      accumulator.loads.push(Number(fields.load));
      return;
    case 'served':
      row.served++;
      if (typeof fields.firstMs === 'number') accumulator.firstPartTimes.push(fields.firstMs);
      return increase(row.versions, String(fields.version ?? 0));
    case 'held':
      row.held++;
      return;
    case 'answer cut':
      row.cut++;
      return;
    case 'caller left':
      row.left++;
      return;
    case 'attempt failed':
      return increase(row.failures, String(fields.status ?? fields.reason));
    case 'ended':
      return increase(row.refused, `${fields.status} ${fields.reason ?? fields.type}`);
    case 'no back end':
      accumulator.exclusions++;
      for (const [reason, number] of Object.entries(fields.excluded ?? {}))
        increase(row.excluded, reason, Number(number));
  }
}

function toLossRow({ row, firstPartTimes, choices, loads, exclusions }: RowAccumulator): LossRow {
  const excluded = Object.fromEntries(
    Object.entries(row.excluded).map(([reason, sum]) => [reason, Math.round((10 * sum) / exclusions) / 10]),
  );
  return {
    ...row,
    firstPartMedian: median(firstPartTimes),
    choicesMedian: median(choices),
    loadMedian: median(loads),
    excluded,
  };
}

function increase(counts: Record<string, number>, name: string, by = 1): void {
  counts[name] = (counts[name] ?? 0) + by;
}

function median(numbers: number[]): number | undefined {
  return numbers.sort((one, other) => one - other)[Math.floor(numbers.length / 2)];
}
