/**
 * The record that an entry publishes about itself and the agents it is home to. Only the entry itself changes its
 * record, and each change increments the version, so the copy with the higher version is the newer one, regardless of
 * the path it took.
 */
import { hash32 } from '../../model/random.js';
import type { AgentStatus, EntryInfo, HomeUpdate } from '../../protocol/messages.js';

/** One process's copy of an entry's record. */
export interface HomeRecord {
  info: EntryInfo;
  version: number;
  /** The agents homed at the entry, by process identity. */
  agents: Map<string, AgentStatus>;
}

/** Result of applying an update of a record. */
export type NewsOutcome =
  /** The record now has the version of the update. */
  | 'applied'
  /** The same or a later version was known already. */
  | 'known'
  /** Versions in between are missing, so the full record is needed. */
  | 'gap';

/** An update with the full record, for receivers that may not have a copy. */
export function fullRecordNews(record: HomeRecord): HomeUpdate {
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

/** The result of applying an update to a record; undefined if there is no copy of the record yet. */
export function classifyNews(record: HomeRecord | undefined, news: HomeUpdate): NewsOutcome {
  if (record !== undefined && record.version >= news.version) return 'known';
  if (news.base === 0) return news.info === undefined ? 'gap' : 'applied';
  return record?.version === news.base ? 'applied' : 'gap';
}

/** The contribution of one record to the digest of a set; contributions are combined by XOR, in any order. */
export function digestPart(home: string, version: number): number {
  return hash32(`${home} ${version}`);
}
