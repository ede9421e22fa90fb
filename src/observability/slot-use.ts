/**
 * Summarizes the use of engine slots from the `slots` log lines of agents: granted, running, waited for, and idle while
 * requests waited. Slots that are granted but not running point to requests whose end has not reached the agent.
 */
import { startTime } from './loss-table.js';
import type { LogLine } from './request-history.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Use of the slots of all engines in one interval, by the mean over the log lines of each agent. */
export interface SlotUse {
  /** Start of the interval, in seconds since the first log line. */
  from: number;
  agents: number;
  slots: number;
  /** Slots granted by agents. */
  granted: number;
  /** Slots used by requests that run without a grant from an agent. */
  others: number;
  /** Requests at the engines, as reported by the engines. */
  running: number;
  /** Requests waiting at agents; a request that waits at several agents is counted at each. */
  waiting: number;
  /** Slots of engines at whose agents requests waited, and those among them that no request used. */
  wanted: number;
  idle: number;
}

/** Computes the slot use for each interval of `step` seconds, sorted by time. */
export function slotUses(lines: readonly LogLine[], step: number): SlotUse[] {
  const start = startTime(lines);
  const samples = new Map<number, Map<string, SlotUse[]>>();
  for (const { message, process, time, fields } of lines) {
    if (message !== 'slots') continue;
    const from = Math.floor((time - start) / MILLISECONDS_PER_SECOND / step) * step;
    const samplesOfInterval = samples.get(from) ?? new Map<string, SlotUse[]>();
    samples.set(
      from,
      samplesOfInterval.set(process, [...(samplesOfInterval.get(process) ?? []), toSlotUse(from, fields)]),
    );
  }
  const intervals = [...samples].sort(([one], [other]) => one - other);
  return intervals.map(([from, samplesOfInterval]) =>
    sumOf(from, [...samplesOfInterval.values()].map(meanOf)),
  );
}

/** Converts the fields of one `slots` log line. */
function toSlotUse(from: number, fields: Record<string, unknown>): SlotUse {
  const [slots, granted, others, running, waiting] = ['slots', 'granted', 'others', 'running', 'waiting'].map(
    (name) => Number(fields[name]) || 0,
  );
  const wanted = waiting > 0 ? slots : 0;
  return {
    from,
    agents: 1,
    slots,
    granted,
    others,
    running,
    waiting,
    wanted,
    idle: Math.max(0, wanted - running),
  };
}

function meanOf(samples: readonly SlotUse[]): SlotUse {
  const sum = sumOf(samples[0].from, samples);
  const figures = Object.entries(sum).map(([name, figure]) => [name, figure / samples.length]);
  return { ...(Object.fromEntries(figures) as unknown as SlotUse), from: sum.from };
}

function sumOf(from: number, uses: readonly SlotUse[]): SlotUse {
  const sum: SlotUse = {
    from,
    agents: 0,
    slots: 0,
    granted: 0,
    others: 0,
    running: 0,
    waiting: 0,
    wanted: 0,
    idle: 0,
  };
  for (const use of uses)
    for (const name of Object.keys(sum) as Array<keyof SlotUse>) if (name !== 'from') sum[name] += use[name];
  return sum;
}

/** Formats the slot use as lines of text. */
export function formatSlotUses(uses: readonly SlotUse[]): string[] {
  const lines = uses.map(({ from, agents, wanted, idle, ...figures }) => {
    const formattedFigures = Object.entries(figures).map(([name, figure]) => `${name}=${figure.toFixed(1)}`);
    const share = wanted === 0 ? '-' : `${((100 * idle) / wanted).toFixed(0)}%`;
    return `${from.toFixed(1).padStart(7)}  agents=${agents}  ${formattedFigures.join(' ')}  idle while waited for=${share}`;
  });
  return ['slots of engines:', ...lines];
}
