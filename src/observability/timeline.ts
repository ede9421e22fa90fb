/** The timeline of one process: a ring buffer of its most recent state changes. */
import type { HybridClock, Stamp } from '../model/hybrid-clock.js';

/** All kinds of timeline events. */
export type TimelineEvent =
  | { type: 'processStarted'; role: string }
  | { type: 'processLeaving' }
  | { type: 'leaseAcquired'; duty: string; epoch: number }
  | { type: 'leaseLost'; duty: string; epoch: number }
  | { type: 'configurationApplied'; revision: number }
  | { type: 'placementDecided'; deployment: string; version: string; agents: number }
  | { type: 'agentConnected'; agent: string }
  | { type: 'agentLost'; agent: string }
  | { type: 'assigned'; deployment: string; version: string }
  | { type: 'transferStarted'; version: string; chunks: number; alreadyHeld: number }
  | { type: 'transferCompleted'; version: string }
  | { type: 'transferStopped'; version: string }
  | { type: 'corruptChunk'; version: string; chunk: number; from: string }
  | { type: 'chunkRefused'; version: string; chunk: number; peer: string; reason: string }
  | { type: 'orderSent'; order: string; version: string; revision: number }
  | { type: 'orderRefused'; order: string; version: string; reason: string }
  | { type: 'versionReady'; version: string }
  | { type: 'versionUnloaded'; version: string }
  | { type: 'burstJoined'; version: string; coordinator: string }
  | { type: 'burstMemberJoined'; version: string; agent: string };

/** An event with its place in the causal order. */
export interface TimelineEntry {
  stamp: Stamp;
  /** Identity of the process. */
  process: string;
  event: TimelineEvent;
}

/** Default capacity of the ring buffer, in events. */
const DEFAULT_CAPACITY = 2_000;

/** The ring buffer of one process. */
export class Timeline {
  readonly #entries: TimelineEntry[] = [];
  #next = 0;
  readonly #process: string;
  readonly #clock: HybridClock;
  readonly #capacity: number;

  constructor(process: string, clock: HybridClock, capacity = DEFAULT_CAPACITY) {
    this.#process = process;
    this.#clock = clock;
    this.#capacity = capacity;
  }

  /** Records an event, overwriting the oldest one if the buffer is full. */
  record(event: TimelineEvent): void {
    this.#entries[this.#next % this.#capacity] = { stamp: this.#clock.next(), process: this.#process, event };
    this.#next++;
  }

  /** Returns the recorded events, oldest first. */
  entries(): TimelineEntry[] {
    return mergeTimelines([this.#entries]);
  }
}

/** Merges the events of several processes in causal order. */
export function mergeTimelines(timelines: ReadonlyArray<readonly TimelineEntry[]>): TimelineEntry[] {
  return timelines.flat().sort((a, b) => a.stamp - b.stamp || (a.process < b.process ? -1 : 1));
}
