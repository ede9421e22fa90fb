/**
 * Tracks for one start of an engine which switches its agents have announced and not reported as ended. As long as there is one, the
 * engine may hold weights that are not proven and gets no requests, whether or not its agent is heard: the platform's list shows
 * that an order has been carried out, not that what the engine loaded is intact.
 *
 * - The agent process that announced a switch ends it by a report that the engine does not switch. It reports that only when the
 *   weights are proven or unchanged.
 * - Another process, which does not know what the first one has done, ends it only by a report that it has proven the weights
 *   itself. Entries ask it for that in its plan; its reports from before that plan end nothing.
 * - A version that is listed, or reported by another process without proof, although no agent has reported it before, comes from
 *   a switch whose announcement was lost.
 *
 * Nothing ends a switch by age: an agent that does not come back leaves an engine that nobody has checked. A restart of the engine
 * ends it, since an engine that starts holds no weights.
 *
 * Reports reach an entry through several others, so an old one may arrive after a newer one. Stamps of the agents' hybrid logical
 * clocks order them. Reports without a stamp, from earlier releases, count as the latest.
 */
import type { Stamp } from '../model/hybrid-clock.js';

/** What an agent reports on one start of its engine. */
export interface SwitchReport {
  /** Identity of the agent process; undefined if it is unknown. */
  agent?: string | undefined;
  stamp?: Stamp | undefined;
  /** The version of which the engine holds all layers; 0 if none or unknown. */
  version: number;
  /** Whether the agent can read the engine's state. */
  isReached: boolean;
  isSwitching: boolean;
  /** The process has proven the weights of the engine itself; undefined from earlier releases. */
  isProven?: boolean | undefined;
}

/** A switch that has not ended. */
export interface AnnouncedSwitch {
  /** Identity of the agent process that announced it; empty if it is unknown. */
  agent: string;
  /** Stamp of its latest report of the switch; 0 if it is unknown. */
  stamp: Stamp;
}

/** The switches of one start of an engine. */
export class EngineSwitches {
  /** Stamps of the unfinished switches, by agent process. */
  readonly #unfinished = new Map<string, Stamp>();
  /** Process and stamp of the latest report. */
  #latest: AnnouncedSwitch | undefined;
  /** Stamp of the latest report of proven weights. */
  #provenAt: Stamp = Number.NEGATIVE_INFINITY;
  #version: number | undefined;

  /** Whether a switch has not ended. */
  get isUnfinished(): boolean {
    return this.#unfinished.size > 0;
  }

  /** The version that the engine was last reported to hold while no switch was unfinished; undefined if that is unknown. */
  get version(): number | undefined {
    return this.#version;
  }

  /** The unfinished switches. */
  get unfinished(): AnnouncedSwitch[] {
    return [...this.#unfinished].map(([agent, stamp]) => ({ agent, stamp }));
  }

  /** Whether a switch that `agent` has not announced itself has not ended. */
  isUnfinishedByOther(agent: string): boolean {
    return [...this.#unfinished.keys()].some((other) => other !== agent);
  }

  /** Whether the engine has loaded `listed`, as the list of back ends shows, by a switch that was not announced here. */
  hasSwitchedTo(listed: number): boolean {
    return this.#version !== undefined && listed > this.#version;
  }

  /** Applies a report; returns false if a later one is known, in which case it has no effect. */
  apply(report: SwitchReport): boolean {
    const known = this.#latest?.stamp ?? 0;
    const { agent = '', stamp = known } = report;
    if (stamp < known) return false;
    this.#latest = { agent, stamp };
    if (report.isSwitching) this.#unfinished.set(agent, report.stamp ?? 0);
    else this.#applyEnd(report);
    return true;
  }

  /** Applies an unfinished switch that another entry knows of. */
  applyUnfinished({ agent, stamp }: AnnouncedSwitch): void {
    const isEnded = agent === this.#latest?.agent && stamp <= this.#latest.stamp;
    if (isEnded || stamp <= this.#provenAt) return;
    this.#unfinished.set(agent, Math.max(stamp, this.#unfinished.get(agent) ?? 0));
  }

  /** Applies a report that the engine does not switch. */
  #applyEnd({ agent = '', stamp, version, isReached, isProven }: SwitchReport): void {
    this.#unfinished.delete(agent);
    if (isProven !== false) this.#endUntil(stamp ?? Number.POSITIVE_INFINITY);
    // Agents of earlier releases do not tell whether they have proven the weights.
    if (isProven === undefined) this.#version = undefined;
    else if (isReached) this.#applyVersion(version, isProven, stamp);
  }

  /** Applies the version that the engine is reported to hold while it does not switch. */
  #applyVersion(version: number, isProven: boolean, stamp: Stamp | undefined): void {
    if (isProven) this.#provenAt = stamp ?? this.#provenAt;
    else if (this.hasSwitchedTo(version)) this.#unfinished.set('', stamp ?? 0);
    if (!this.isUnfinished) this.#version = version;
  }

  #endUntil(stamp: Stamp): void {
    for (const [agent, announcedAt] of this.#unfinished)
      if (announcedAt <= stamp) this.#unfinished.delete(agent);
  }
}
