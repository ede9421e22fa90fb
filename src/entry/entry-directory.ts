/** The entries that this entry knows, of all zones. */
import type { EntryInfo } from '../protocol/messages.js';

/** All entries known here but this one, by identity. */
export class EntryDirectory {
  readonly rows = new Map<string, EntryInfo>();

  /** Sets which entries there are. */
  replaceAll(infos: readonly EntryInfo[]): void {
    this.rows.clear();
    for (const info of infos) this.rows.set(info.id, info);
  }
}
