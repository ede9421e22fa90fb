/** The machines of the placement simulation: entries, engines beside their agents, and the messages between them. */
import type { Random } from '../../src/model/random.js';
import { SlotClaims } from '../../src/systems/slot-claims.js';
import { SlotHolders } from '../../src/systems/slot-holders.js';
import { SlotTable } from '../../src/systems/slot-table.js';
import type { Caller } from './placement-callers.js';
import type { PlacementSite } from './placement-loads.js';
import { SimulatedEngine } from './simulated-engine.js';
import type { VirtualClock } from './virtual-clock.js';

/** One way between an entry and an engine of the same zone, and of another one, in milliseconds. */
const NEAR_DELAY = 0.9;
const FAR_DELAY = 1.8;
/** Delay after which a refused caller comes back, in milliseconds, times 1 to 2. */
export const RETRY_AFTER = 400;
/** Cost of an engine in another zone. */
export const OTHER_ZONE_COST = 55;

/** An engine and its agent. */
export interface PlacementEngine {
  number: number;
  zone: number;
  startsAt: number;
  engine: SimulatedEngine;
  slots: SlotTable;
  holders: SlotHolders;
  isAgentSilent: boolean;
}

export interface PlacementEntry {
  number: number;
  zone: number;
  isLost: boolean;
  /** Processes before this one. */
  life: number;
  /** What it has asked of agents. */
  claims: SlotClaims;
  /** Ends what the process has in progress, as it is killed. */
  inProgress: Set<() => void>;
  /** Requests in flight by engine, from here and, as last told, from all others. */
  own: number[];
  told: Map<number, number[]>;
}

/** How requests are brought to engines. */
export interface RequestPlacement {
  /** Begins what it does from time to time. */
  begin(): void;
  /** Takes a request that has reached `entry`; undefined stands for a placement without entries. */
  place(caller: Caller, entry: PlacementEntry): void;
}

/** What the placement uses of the simulation. */
export interface PlacementContext {
  readonly clock: VirtualClock;
  readonly site: PlacementSite;
  readonly random: Random;
  readonly engines: readonly PlacementEngine[];
  readonly entries: readonly PlacementEntry[];
  /** The engines that have started. */
  living(): PlacementEngine[];
  /** Sends a request to an engine; `onEnd` is called once its end is known at the entry, `onFirstEvent` at its first event. */
  send(
    caller: Caller,
    entry: PlacementEntry,
    engine: PlacementEngine,
    urgency: number,
    onEnd: () => void,
    onFirstEvent?: () => void,
  ): void;
  /** Refuses a request; its caller may come back after `retryAfter` milliseconds. */
  refuse(caller: Caller, retryAfter: number): void;
}

export function createEngine(
  number: number,
  startsAt: number,
  isAgentSilent: boolean,
  site: PlacementSite,
  clock: VirtualClock,
): PlacementEngine {
  const slots = new SlotTable();
  return {
    number,
    zone: number % site.zones,
    startsAt,
    engine: new SimulatedEngine(clock, site.pace),
    slots,
    holders: new SlotHolders(slots),
    isAgentSilent,
  };
}

export function createEntry(number: number, site: PlacementSite, random: Random): PlacementEntry {
  return {
    number,
    zone: number % site.zones,
    isLost: false,
    life: 0,
    claims: new SlotClaims(random),
    inProgress: new Set(),
    own: [],
    told: new Map(),
  };
}

/** One way between the two, in milliseconds. */
export function delayBetween(entry: PlacementEntry, engine: PlacementEngine): number {
  return entry.zone === engine.zone ? NEAR_DELAY : FAR_DELAY;
}
