/**
 * Where the slots of engines were, from the lines `slots` of their agents: granted, run, waited for, and idle while somebody
 * waited. Slots that are granted and not run tell of requests whose end the agent has not heard.
 */
import { startTime } from './loss-table.js';
import type { LogLine } from './request-history.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Where the slots of all engines were in one span, on average over what their agents told. */
export interface SlotUse {
  /** Begin of the span, in seconds since the first line. */
  from: number;
  agents: number;
  slots: number;
  /** Given out by agents. */
  granted: number;
  /** Taken by requests that run without a slot of an agent. */
  others: number;
  /** Requests at the engines, as these told. */
  running: number;
  /** Requests that waited at agents: one that asks several is counted at each. */
  waiting: number;
  /** Slots of engines at whose agents somebody waited, and those of them that no request used. */
  wanted: number;
  idle: number;
}

/** Where the slots of engines were, by span of `step` seconds in the order of time. */
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

/** What one agent told of its engine at one time. */
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

/** The uses for a reader. */
export function formatSlotUses(uses: readonly SlotUse[]): string[] {
  const lines = uses.map(({ from, agents, wanted, idle, ...figures }) => {
    const formattedFigures = Object.entries(figures).map(([name, figure]) => `${name}=${figure.toFixed(1)}`);
    const share = wanted === 0 ? '-' : `${((100 * idle) / wanted).toFixed(0)}%`;
    return `${from.toFixed(1).padStart(7)}  agents=${agents}  ${formattedFigures.join(' ')}  idle while waited for=${share}`;
  });
  return ['slots of engines:', ...lines];
}
