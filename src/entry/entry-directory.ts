/** The other entries known to this entry, in all zones. */
import type { EntryInfo } from '../protocol/messages.js';

/** All known entries except this one, by identity. */
export class EntryDirectory {
  readonly rows = new Map<string, EntryInfo>();

  /** Replaces the set of known entries. */
  replaceAll(infos: readonly EntryInfo[]): void {
    this.rows.clear();
    for (const info of infos) this.rows.set(info.id, info);
  }
}
