/**
 * What agents and other entries report of engines that this entry's list does not show: an entry that starts hears of them before it
 * has read its list, and records are lost for a time.
 */
import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';
import type { UnfinishedSwitch } from '../protocol/reports.js';
import { type AnnouncedSwitch, EngineSwitches } from '../systems/engine-switches.js';
import type { EngineNews } from './back-end-table.js';

/** Number of engines kept, the latest reported ones; more than a large deployment has. */
const MAX_ENGINES = 10_000;

interface ReportedEngine {
  news: EngineNews;
  switches: EngineSwitches;
}

/** What has been reported of one engine. */
export interface UnlistedReports {
  /** The latest report of its agent. */
  news: EngineNews | undefined;
  unfinished: AnnouncedSwitch[];
}

/** The reports on unlisted engines. */
export class UnlistedEngines {
  /** By the address in the report, which names no id. */
  readonly #reported = new Map<string, ReportedEngine>();
  /** Unfinished switches that other entries know of, by the id of the engine. */
  readonly #unfinished = new Map<string, UnfinishedSwitch[]>();

  /** Keeps an agent's report on an engine at `address`. */
  noteReport(address: string, news: EngineNews): void {
    const known = this.#reported.get(address);
    // Of two starts, the one with the latest report is kept.
    if (news.stamp !== undefined && news.stamp < (known?.news.stamp ?? 0)) return;
    const isSame = known !== undefined && isSameStart(known.news.start, news.start);
    const switches = isSame ? known.switches : new EngineSwitches();
    if (switches.apply(news)) setLatest(this.#reported, address, { news, switches });
  }

  /** Keeps a switch that another entry knows to be unfinished. */
  noteUnfinished(unfinished: UnfinishedSwitch): void {
    const others = (this.#unfinished.get(unfinished.id) ?? []).filter(
      ({ start, agent }) => start !== unfinished.start || agent !== unfinished.agent,
    );
    setLatest(this.#unfinished, unfinished.id, [...others, unfinished]);
  }

  /** Returns what has been reported of a start of an engine that is listed now, and forgets it. */
  take({ id, address, start }: BackEndIdentity & { address: string }): UnlistedReports {
    const reported = this.#reported.get(address);
    const own = reported !== undefined && isSameStart(reported.news.start, start) ? reported : undefined;
    if (own !== undefined) this.#reported.delete(address);
    const elsewhere = this.#unfinished.get(id) ?? [];
    const isOwn = (unfinished: UnfinishedSwitch) => isSameStart(unfinished.start, start);
    const left = elsewhere.filter((unfinished) => !isOwn(unfinished));
    if (left.length === 0) this.#unfinished.delete(id);
    else this.#unfinished.set(id, left);
    const unfinished = [...(own?.switches.unfinished ?? []), ...elsewhere.filter(isOwn)];
    return { news: own?.news, unfinished };
  }
}

function setLatest<T>(map: Map<string, T>, key: string, value: T): void {
  map.delete(key);
  map.set(key, value);
  if (map.size <= MAX_ENGINES) return;
  const [first] = map.keys();
  map.delete(first);
}
