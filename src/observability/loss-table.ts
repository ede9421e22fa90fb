/**
 * Where service is lost, from the logs of a run: per span of time and service, what became of requests and why back
 * ends were left out; and which engines were away for a change of version.
 */
import type { LogLine } from './request-history.js';

const MILLISECONDS = 1_000;

/** What happened to the requests of one service in one span. */
export interface LossRow {
  /** Begin of the span, in seconds since the first line. */
  from: number;
  service: string;
  /** Attempts sent, and those among them that followed another one. */
  sent: number;
  sentAgain: number;
  served: number;
  /** Median time to the first part of an answer, in milliseconds; undefined without one. */
  firstMedian: number | undefined;
  /** Medians over what was sent: back ends to choose from, and the load of the chosen one. */
  choicesMedian: number | undefined;
  loadMedian: number | undefined;
  held: number;
  cut: number;
  /** Callers that left. */
  left: number;
  /** Ended with an error, by status and reason. */
  refused: Record<string, number>;
  /** Why attempts failed. */
  failures: Record<string, number>;
  /** Back ends that were left out, by reason, on average over the refusals of the span. */
  excluded: Record<string, number>;
  /** Served, by version; 0 where it is not told. */
  versions: Record<string, number>;
}

/** A time in which an engine took nothing, as it changed its version. */
export interface SwitchOutage {
  process: string;
  /** Seconds since the first line. */
  from: number;
  /** Version before and after; 0 for none. */
  fromVersion: number;
  toVersion: number;
  /** What became of its requests, and how many there were. */
  running: string;
  load: number;
  /** In milliseconds; undefined where the end was not logged. */
  took: number | undefined;
}

interface Tally {
  row: LossRow;
  firsts: number[];
  choices: number[];
  loads: number[];
  exclusions: number;
}

/** The losses by span of `step` seconds and service, in the order of time. */
export function lossTable(lines: readonly LogLine[], step: number): LossRow[] {
  const start = firstTime(lines);
  const tallies = new Map<string, Tally>();
  for (const line of lines) {
    const { service } = line.fields;
    if (line.request === undefined || typeof service !== 'string') continue;
    const from = Math.floor((line.time - start) / MILLISECONDS / step) * step;
    const key = `${from} ${service}`;
    const tally = tallies.get(key) ?? createTally(from, service);
    tallies.set(key, tally);
    count(tally, line);
  }
  return [...tallies.values()].map(finished).sort((one, other) => one.from - other.from);
}

/** The switches of engines, in the order of time. */
export function switchOutages(lines: readonly LogLine[]): SwitchOutage[] {
  const start = firstTime(lines);
  const outages: SwitchOutage[] = [];
  const open = new Map<string, SwitchOutage>();
  for (const { message, process, time, fields } of lines) {
    if (message === 'engine ordered') {
      const outage: SwitchOutage = {
        process,
        from: (time - start) / MILLISECONDS,
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

/** The table for a reader. */
export function formatLosses(rows: readonly LossRow[], outages: readonly SwitchOutage[]): string[] {
  const losses = rows.map((row) =>
    [
      row.from.toFixed(1).padStart(7),
      row.service,
      `sent=${row.sent} again=${row.sentAgain} served=${row.served} held=${row.held} cut=${row.cut} left=${row.left}`,
      `first=${row.firstMedian ?? '-'}ms choices=${row.choicesMedian ?? '-'} load=${row.loadMedian ?? '-'}`,
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

/** Time of the first line, from which spans are counted. */
export function firstTime(lines: readonly LogLine[]): number {
  return lines.reduce((first, { time }) => Math.min(first, time), Number.POSITIVE_INFINITY);
}

function createTally(from: number, service: string): Tally {
  const row: LossRow = {
    from,
    service,
    sent: 0,
    sentAgain: 0,
    served: 0,
    firstMedian: undefined,
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
  return { row, firsts: [], choices: [], loads: [], exclusions: 0 };
}

function count(tally: Tally, { message, fields }: LogLine): void {
  const { row } = tally;
  switch (message) {
    case 'sent':
      row.sent++;
      if (Number(fields.send) > 1) row.sentAgain++;
      tally.choices.push(Number(fields.choices));
      tally.loads.push(Number(fields.load));
      return;
    case 'served':
      row.served++;
      if (typeof fields.firstMs === 'number') tally.firsts.push(fields.firstMs);
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
      tally.exclusions++;
      for (const [reason, number] of Object.entries(fields.excluded ?? {}))
        increase(row.excluded, reason, Number(number));
  }
}

function finished({ row, firsts, choices, loads, exclusions }: Tally): LossRow {
  const excluded = Object.fromEntries(
    Object.entries(row.excluded).map(([reason, sum]) => [reason, Math.round((10 * sum) / exclusions) / 10]),
  );
  return {
    ...row,
    firstMedian: median(firsts),
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
