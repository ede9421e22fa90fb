/** The layout of a scale run: regions, zones, entries and agents, and the processes that they share. */
import type { EntrySettings } from '../../src/settings/schemas.js';
import { freeAddress } from '../processes/child.js';

const REGIONS = 8;
const ZONES = 30;

/** An entry of the run. */
export interface ScaleEntry {
  name: string;
  region: string;
  zone: string;
  callers: string;
  peers: string;
}

/** An agent of the run; hollow ones have no back end and listen nowhere. */
export interface ScaleAgent {
  name: string;
  region: string;
  zone: string;
}

/** Everything that takes part. */
export interface ScalePlan {
  entries: ScaleEntry[];
  agents: ScaleAgent[];
  zones: string[];
}

/** Spreads entries and agents over the zones of the design size, or over fewer when there are few entries. */
export async function createScalePlan(entryCount: number, agentCount: number): Promise<ScalePlan> {
  const zoneCount = Math.max(1, Math.min(ZONES, Math.floor(entryCount / 2)));
  const zones = Array.from({ length: zoneCount }, (_, index) => `zone-${String(index).padStart(2, '0')}`);
  const location = (index: number) => {
    const zone = index % zoneCount;
    return { region: `region-${zone % Math.min(REGIONS, zoneCount)}`, zone: zones[zone] };
  };
  const entries: ScaleEntry[] = [];
  for (let index = 0; index < entryCount; index++) {
    const [callers, peers] = [await freeAddress(), await freeAddress()];
    entries.push({ name: `entry-${index}`, ...location(index), callers, peers });
  }
  const agents = Array.from({ length: agentCount }, (_, index) => ({
    name: `agent-${index}`,
    ...location(index),
  }));
  return { entries, agents, zones };
}

/** The settings of an entry: a place a region. */
export function entrySettingsOf(entry: ScaleEntry, plan: ScalePlan, platform: string): EntrySettings {
  const url = `http://${platform}`;
  return {
    place: entry.region,
    region: entry.region,
    zone: entry.zone,
    listen: { callers: entry.callers, peers: entry.peers },
    entries: plan.entries
      .filter((other) => other.name !== entry.name)
      .map((other) => ({ address: other.peers, zone: other.zone })),
    platform: { tables: `${url}/tables`, objects: `${url}/objects`, machines: `${url}/machines` },
    bursts: { strategy: 'swarm' },
    discovery: { addressLifetimeSeconds: 20 },
    calls: { deadline: 60_000, inProgress: 2_000, queued: 500, queueTime: 2_000 },
    log: { level: 'error' },
  };
}
