/** The processes of a scale run: the platform, a few real entries and agents, and hosts of hollow ones. */
import { setTimeout as pause } from 'node:timers/promises';
import type { PlatformFaults } from '../../emulator/platform/platform.js';
import { freeAddress, ProcessGroup, waitForHttp } from '../processes/child.js';
import { getJson } from '../processes/observation.js';
import { type ProcessUse, processUse } from '../processes/process-use.js';
import type { HollowObservations } from './hollow-host.js';
import { createScalePlan, entrySettingsOf, type ScaleEntry, type ScalePlan } from './scale-plan.js';

/** Entries that are processes of their own: one of each of the first zones. */
const REAL_ENTRIES = 3;
/** Agents that are processes of their own, before plain services. */
const REAL_AGENTS = 2;
const ENTRIES_PER_HOST = 50;
const COMPLETE_LIMIT = 180_000;
const POLL_INTERVAL = 1_000;

/** How many of each. */
export interface ScaleSize {
  entries: number;
  agents: number;
}

interface Host {
  address: string;
  entries: string[];
}

/** A running system of the size to design for. */
export class ScaleCluster {
  readonly processes = new ProcessGroup();
  plan: ScalePlan = { entries: [], agents: [], zones: [] };
  platform = '';
  /** Times that a started entry served with an older revision than one accepted before. */
  servedOlder = 0;
  readonly #size: ScaleSize;
  readonly #hosts: Host[] = [];
  #real: ScaleEntry[] = [];
  readonly #realAgents: string[] = [];
  #acceptedRevision = 0;

  constructor(size: ScaleSize) {
    this.#size = size;
  }

  /** Starts everything at once; returns the seconds until every entry knows all entries and agents. */
  async start(): Promise<number> {
    this.plan = await createScalePlan(this.#size.entries, this.#size.agents);
    this.platform = await freeAddress();
    this.processes.start('platform', ['emulate', 'platform'], {
      listen: this.platform,
      origin: { bytesPerSecond: 1_000_000, versions: [] },
    });
    await waitForHttp(`http://${this.platform}/audit`);
    const startedAt = performance.now();
    this.#real = this.plan.entries.slice(0, Math.min(REAL_ENTRIES, this.plan.entries.length));
    for (const entry of this.#real) {
      this.processes.start(entry.name, ['entry'], entrySettingsOf(entry, this.plan, this.platform));
    }
    await this.#startHosts();
    for (let index = 0; index < REAL_AGENTS; index++) await this.#startAgent(index);
    await this.#untilComplete();
    return Math.round((performance.now() - startedAt) / 100) / 10;
  }

  stop(): void {
    this.processes.stopAll();
  }

  /** Address of a real entry for operators, a different one for each number. */
  operatorEntry(number: number): string {
    return this.#real[number % this.#real.length].callers;
  }

  /** Names of the entries that are hollow. */
  get hollowEntries(): string[] {
    return this.#hosts.flatMap(({ entries }) => entries);
  }

  /** What all hosts saw. */
  async observe(): Promise<HollowObservations[]> {
    const asked = this.#hosts.map(({ address }) =>
      getJson<HollowObservations>(`http://${address}/observations`),
    );
    return (await Promise.all(asked)).filter((observed) => observed !== undefined);
  }

  /** Processor time and memory of the real processes. */
  realUse(): { entry: ProcessUse[]; agent: ProcessUse[] } {
    const use = (name: string) => processUse(this.processes.get(name).pid);
    return { entry: this.#real.map(({ name }) => use(name)), agent: this.#realAgents.map(use) };
  }

  /** Notes that a revision was accepted: entries that start later must serve it. */
  noteAccepted(revision: number): void {
    this.#acceptedRevision = Math.max(this.#acceptedRevision, revision);
  }

  /** Sets what fails in the platform. */
  async setFaults(faults: Partial<PlatformFaults>): Promise<void> {
    await fetch(`http://${this.platform}/faults`, { method: 'POST', body: JSON.stringify(faults) });
  }

  /** Ends hollow entries at once. */
  async stopEntries(names: readonly string[]): Promise<void> {
    await this.#tellHosts('stop', names);
  }

  /** Starts hollow entries anew under their addresses, and counts those that serve an older revision. */
  async startEntries(names: readonly string[]): Promise<void> {
    const accepted = this.#acceptedRevision;
    await this.#tellHosts('start', names);
    for (const name of names) {
      const { callers } = this.plan.entries.find((entry) => entry.name === name)!;
      if (!(await this.#servesAtLeast(callers, accepted))) this.servedOlder++;
    }
  }

  /** Whether an entry, from when it serves callers, holds at least this revision. */
  async #servesAtLeast(callers: string, revision: number): Promise<boolean> {
    for (let attempt = 0; attempt < 40; attempt++) {
      const answer = await fetch(`http://${callers}/v1/models`).catch(() => undefined);
      await answer?.arrayBuffer();
      if (answer?.status === 200) {
        const status = await getJson<{ revision: number }>(`http://${callers}/status`);
        return (status?.revision ?? 0) >= revision;
      }
      await pause(250);
    }
    return true;
  }

  async #tellHosts(order: 'stop' | 'start', names: readonly string[]): Promise<void> {
    const wanted = new Set(names);
    await Promise.all(
      this.#hosts.map(async ({ address, entries }) => {
        const body = JSON.stringify({ names: entries.filter((name) => wanted.has(name)) });
        await fetch(`http://${address}/${order}`, { method: 'POST', body });
      }),
    );
  }

  async #startHosts(): Promise<void> {
    const { entries, agents } = this.plan;
    const hollow = entries.filter((entry) => !this.#real.includes(entry));
    const count = Math.max(1, Math.ceil(hollow.length / ENTRIES_PER_HOST));
    for (let index = 0; index < count; index++) {
      const share = <T extends { name: string }>(rows: readonly T[]) =>
        rows.filter((_, number) => number % count === index).map(({ name }) => name);
      const host: Host = { address: await freeAddress(), entries: share(hollow) };
      this.#hosts.push(host);
      this.processes.start(`host-${index}`, ['bench', 'hollow'], {
        listen: host.address,
        platform: this.platform,
        plan: this.plan,
        entries: host.entries,
        agents: share(agents),
      });
    }
  }

  async #startAgent(index: number): Promise<void> {
    const { region, zone } = this.plan.entries[index % this.plan.entries.length];
    const [peers, operators, backEnd] = [await freeAddress(), await freeAddress(), await freeAddress()];
    const name = `real-agent-${index}`;
    this.processes.start(`${name}-service`, ['emulate', 'service'], { listen: backEnd });
    this.processes.start(name, ['agent'], {
      place: region,
      region,
      zone,
      listen: { peers, operators },
      entries: this.plan.entries.map((entry) => ({ address: entry.peers, zone: entry.zone })),
      backEnd: { kind: 'service', url: `http://${backEnd}`, name: 'control' },
      origin: `http://${this.platform}/origin`,
      weights: { memoryBytes: 1_000_000, linkBytesPerSecond: 1_000_000 },
      log: { level: 'error' },
    });
    this.#realAgents.push(name);
  }

  async #untilComplete(): Promise<void> {
    const endsAt = performance.now() + COMPLETE_LIMIT;
    const agents = this.plan.agents.length + REAL_AGENTS;
    for (;;) {
      const entries = (await this.observe()).flatMap((observed) => observed.entries);
      const complete = entries.filter(
        (row) => row.entries === this.plan.entries.length && row.agents === agents,
      );
      if (complete.length === this.hollowEntries.length) return;
      if (performance.now() > endsAt) {
        const known = entries.map((row) => `${row.entries}/${row.agents}`).slice(0, 10);
        throw new Error(
          `not complete: ${complete.length} of ${this.hollowEntries.length}; ${known.join(' ')}`,
        );
      }
      await pause(POLL_INTERVAL);
    }
  }
}
