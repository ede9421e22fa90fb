/** A whole system of real processes on the loopback address: platform, entries, agents and their back ends. */

import type { PlatformAudit, PlatformFaults } from '../../emulator/platform/platform.js';
import type { OriginVersion } from '../../emulator/platform/weights.js';
import { OriginWeights } from '../../emulator/platform/weights.js';
import type { PlatformEmulatorSettings } from '../../src/settings/schemas.js';
import { freeAddress, ProcessGroup, waitForHttp } from './child.js';
import { CuttableLink } from './cuttable-link.js';

/** Where a machine stands. */
export interface MachineLocation {
  place: string;
  region: string;
  zone: string;
}

/** An entry machine. */
export interface EntryPlan extends MachineLocation {
  name: string;
  /** Whether the other processes reach it by a link that can be cut. */
  cuttable?: boolean;
}

/** A back-end machine with its agent. */
export interface AgentPlan extends MachineLocation {
  name: string;
  /** Whether the others reach it by a link that can be cut. */
  cuttable?: boolean;
  /** Name of the plain service, or undefined for an engine of the pool `pool`. */
  service?: string;
  pool?: string;
}

/** What to build. */
export interface ClusterPlan {
  entries: EntryPlan[];
  agents: AgentPlan[];
  versions: PlatformEmulatorSettings['origin']['versions'];
  originBytesPerSecond: number;
  machineBytesPerSecond: number;
  machineDuplex: 'shared' | 'full';
  weightsMemoryBytes: number;
  strategy?: 'swarm' | 'tree' | 'origin';
  engine?: { loadMilliseconds?: number; stepMilliseconds?: number };
  /** How long callers may keep an entry's address, in seconds. */
  addressLifetimeSeconds?: number;
}

/** Addresses of a started entry. */
export interface StartedEntry extends EntryPlan {
  callers: string;
  /** Where other processes reach it. */
  peers: string;
  /** The link by which they do, where it can be cut. */
  link?: CuttableLink;
}

/** Addresses of a started agent. */
export interface StartedAgent extends AgentPlan {
  peers: string;
  operators: string;
  backEnd: string;
  /** The link by which the others reach it, where it can be cut. */
  link?: CuttableLink;
  /** When its agent process was started again, in milliseconds since 1970. */
  restartedAt?: number;
}

/** A running system. */
export class Cluster {
  readonly processes = new ProcessGroup();
  readonly plan: ClusterPlan;
  readonly versions: OriginVersion[];
  platform = '';
  entries: StartedEntry[] = [];
  agents: StartedAgent[] = [];

  constructor(plan: ClusterPlan) {
    this.plan = plan;
    this.versions = new OriginWeights(plan.versions).versions;
  }

  /** Starts everything and waits until it answers. */
  async start(): Promise<void> {
    await this.#startPlatform();
    this.entries = await Promise.all(
      this.plan.entries.map(async (entry) => {
        const [callers, listened] = [await freeAddress(), await freeAddress()];
        const link = entry.cuttable ? new CuttableLink(await freeAddress(), listened) : undefined;
        await link?.start();
        return { ...entry, callers, peers: link?.address ?? listened, link };
      }),
    );
    for (const entry of this.entries) this.#startEntry(entry);
    for (const agent of this.plan.agents) this.agents.push(await this.#startAgent(agent));
    await this.#untilAllAnswer();
    await this.listMachines(this.agents);
  }

  async #untilAllAnswer(): Promise<void> {
    const addresses = [
      ...this.entries.map(({ callers }) => callers),
      ...this.agents.map(({ operators }) => operators),
    ];
    try {
      await Promise.all(addresses.map((address) => waitForHttp(`http://${address}/status`)));
    } catch (cause) {
      throw new Error(`the processes do not all answer; ended: ${this.processes.lastWords()}`, { cause });
    }
  }

  stop(): void {
    this.processes.stopAll();
    for (const { link } of [...this.agents, ...this.entries]) link?.stop();
  }

  /** Sets which machines the platform lists as live, some time later. */
  async listMachines(agents: readonly StartedAgent[]): Promise<void> {
    const machines = agents.map(({ peers }) => ({ address: peers, state: 'live' }));
    await fetch(`http://${this.platform}/machines`, { method: 'PUT', body: JSON.stringify(machines) });
  }

  /** Sets what fails in the platform. */
  async setFaults(faults: Partial<PlatformFaults>): Promise<void> {
    await fetch(`http://${this.platform}/faults`, { method: 'POST', body: JSON.stringify(faults) });
  }

  /** What the platform's stand-in says truly happened. */
  async platformAudit(): Promise<PlatformAudit> {
    return (await fetch(`http://${this.platform}/audit`)).json() as never;
  }

  /** The first entry that serves. */
  get entry(): StartedEntry {
    return this.entries[0];
  }

  async #startPlatform(): Promise<void> {
    this.platform = await freeAddress();
    const origin = { bytesPerSecond: this.plan.originBytesPerSecond, versions: this.plan.versions };
    this.processes.start('platform', ['emulate', 'platform'], { listen: this.platform, origin });
    await waitForHttp(`http://${this.platform}/audit`);
  }

  #startEntry(entry: StartedEntry): void {
    const { name, place, region, zone, callers, peers, link } = entry;
    const platform = `http://${this.platform}`;
    this.processes.start(name, ['entry'], {
      place,
      region,
      zone,
      listen: { callers, peers: link?.target ?? peers },
      advertisedPeers: link?.address,
      entries: this.entries
        .filter((other) => other !== entry)
        .map((other) => ({ address: other.peers, zone: other.zone })),
      platform: {
        tables: `${platform}/tables`,
        objects: `${platform}/objects`,
        machines: `${platform}/machines`,
      },
      bursts: { strategy: this.plan.strategy ?? 'swarm' },
      discovery: { addressLifetimeSeconds: this.plan.addressLifetimeSeconds ?? 20 },
      log: { level: 'warn' },
    });
  }

  async #startAgent(agent: AgentPlan): Promise<StartedAgent> {
    const { name, place, region, zone, service, pool } = agent;
    const [peers, operators, backEnd] = [await freeAddress(), await freeAddress(), await freeAddress()];
    const url = `http://${backEnd}`;
    const link = agent.cuttable ? new CuttableLink(await freeAddress(), peers) : undefined;
    await link?.start();
    if (service === undefined) {
      this.processes.start(`${name}-engine`, ['emulate', 'engine'], { listen: backEnd, ...this.plan.engine });
    } else {
      this.processes.start(`${name}-service`, ['emulate', 'service'], { listen: backEnd });
    }
    this.processes.start(name, ['agent'], {
      place,
      region,
      zone,
      listen: { peers, operators },
      advertisedPeers: link?.address,
      entries: this.entries.map((entry) => ({ address: entry.peers, zone: entry.zone })),
      backEnd:
        service === undefined ? { kind: 'engine', url, pool } : { kind: 'service', url, name: service },
      origin: `http://${this.platform}/origin`,
      weights: {
        memoryBytes: this.plan.weightsMemoryBytes,
        linkBytesPerSecond: this.plan.machineBytesPerSecond,
        linkDuplex: this.plan.machineDuplex,
      },
      log: { level: 'warn' },
    });
    return { ...agent, peers: link?.address ?? peers, operators, backEnd, link };
  }
}
