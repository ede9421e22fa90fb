/**
 * What an entry says of itself as the home of agents. Only the entry itself changes its record; each change makes
 * the next version, so of two copies the higher version is the later one, on whichever way it came.
 */
import { hash32 } from '../../model/random.js';
import type { AgentStatus, EntryInfo, HomeUpdate } from '../../protocol/messages.js';

/** An entry's record as one process knows it. */
export interface HomeRecord {
  info: EntryInfo;
  version: number;
  /** The agents homed there, by identity of their process. */
  agents: Map<string, AgentStatus>;
}

/** What became of news of a home. */
export type NewsOutcome =
  /** The record is now of the news' version. */
  | 'applied'
  /** The same or a later version was known. */
  | 'known'
  /** Versions in between are missing: the whole record is needed. */
  | 'gap';

/** The whole record, for who may know nothing of it. */
export function wholeNews(record: HomeRecord): HomeUpdate {
  const { info, version, agents } = record;
  return {
    type: 'homeNews',
    home: info.id,
    info,
    base: 0,
    version,
    statuses: [...agents.values()],
    gone: [],
  };
}

/** What news would do to a record that may not be known yet. */
export function judgeNews(record: HomeRecord | undefined, news: HomeUpdate): NewsOutcome {
  if (record !== undefined && record.version >= news.version) return 'known';
  if (news.base === 0) return news.info === undefined ? 'gap' : 'applied';
  return record?.version === news.base ? 'applied' : 'gap';
}

/** A part of the digest of a set of records; parts are combined by exclusive or, in any order. */
export function digestPart(home: string, version: number): number {
  return hash32(`${home} ${version}`);
}
