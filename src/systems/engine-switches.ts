/**
 * Tracks for one start of an engine which switches its agents have announced and not reported as ended. As long as there is one, the
 * engine may hold weights that are not proven and gets no requests, whether or not its agent is heard: the platform's list shows
 * that an order has been carried out, not that what the engine loaded is intact.
 *
 * - The agent process that announced a switch ends it by a report that the engine does not switch. It reports that only when the
 *   weights are proven or unchanged.
 * - Another process, which does not know what the first one has done, ends it only by a report that it has proven the weights
 *   itself after that. Entries ask it for that in its plan, and it reports that the engine switches until it has done so; its reports
 *   from before end nothing. Two processes may run for a moment, and a proof of the one says nothing of an order of the other.
 * - A version that is listed, or reported by another process without proof, although no agent has reported it before, comes from
 *   a switch whose announcement was lost.
 *
 * Nothing ends a switch by age: an agent that does not come back leaves an engine that nobody has checked. A restart of the engine
 * ends it, since an engine that starts holds no weights.
 *
 * Reports reach an entry through several others, so an old one may arrive after a newer one. Stamps of the agents' hybrid logical
 * clocks order them. Reports without a stamp, from earlier releases, count as the latest.
 */
import { type Stamp, stampTime } from '../model/hybrid-clock.js';

/**
 * An announced switch of which the process has not reported again for this time has been left unfinished, in milliseconds; agents
 * report every second. A proof of another process then ends it, even if it is not known when that began to prove the weights.
 */
const ABANDONED_AFTER = 3_000;

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

/** Stamps of the first and the latest report of a switch. */
interface SwitchStamps {
  since: Stamp;
  latest: Stamp;
}

/** The switches of one start of an engine. */
export class EngineSwitches {
  /** The unfinished switches, by agent process. */
  readonly #unfinished = new Map<string, SwitchStamps>();
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
    return [...this.#unfinished].map(([agent, { latest }]) => ({ agent, stamp: latest }));
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
    if (report.isSwitching) this.#noteUnfinished(agent, report.stamp ?? 0);
    else this.#applyEnd(report);
    return true;
  }

  /** Applies an unfinished switch that another entry knows of. */
  applyUnfinished({ agent, stamp }: AnnouncedSwitch): void {
    const isEnded = agent === this.#latest?.agent && stamp <= this.#latest.stamp;
    if (isEnded || stamp <= this.#provenAt) return;
    this.#noteUnfinished(agent, stamp);
  }

  /** Applies a report that the engine does not switch. */
  #applyEnd({ agent = '', stamp, version, isReached, isProven }: SwitchReport): void {
    const own = this.#unfinished.get(agent);
    this.#unfinished.delete(agent);
    if (isProven === true && stamp !== undefined) this.#endProven(own?.since ?? 0, stamp);
    else if (isProven !== false) this.#unfinished.clear();
    // Agents of earlier releases do not tell whether they have proven the weights.
    if (isProven === undefined) this.#version = undefined;
    else if (isReached) this.#applyVersion(version, isProven, stamp);
  }

  /** Applies the version that the engine is reported to hold while it does not switch. */
  #applyVersion(version: number, isProven: boolean, stamp: Stamp | undefined): void {
    if (isProven) this.#provenAt = stamp ?? this.#provenAt;
    else if (this.hasSwitchedTo(version)) this.#noteUnfinished('', stamp ?? 0);
    if (!this.isUnfinished) this.#version = version;
  }

  #noteUnfinished(agent: string, stamp: Stamp): void {
    const known = this.#unfinished.get(agent) ?? { since: stamp, latest: stamp };
    this.#unfinished.set(agent, { since: known.since, latest: Math.max(known.latest, stamp) });
  }

  /**
   * Ends the switches that a proof covers.
   * @param since - stamp of the first report of the process that it was about to prove the weights; 0 if it has not arrived
   * @param stamp - stamp of the report that it has
   */
  #endProven(since: Stamp, stamp: Stamp): void {
    for (const [agent, { latest }] of this.#unfinished) {
      const isAbandoned = stampTime(stamp) - stampTime(latest) > ABANDONED_AFTER;
      if (latest <= since || isAbandoned) this.#unfinished.delete(agent);
    }
  }
}
