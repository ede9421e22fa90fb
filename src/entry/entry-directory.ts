/** The entries that this entry knows, of all zones. */
import type { EntryInfo } from '../protocol/messages.js';

/** All entries known here but this one, by identity. */
export class EntryDirectory {
  readonly rows = new Map<string, EntryInfo>();

  /** Takes news of entries in; returns those that were news. */
  update(infos: readonly EntryInfo[]): EntryInfo[] {
    const fresh = infos.filter((info) => (this.rows.get(info.id)?.sequence ?? -1) < info.sequence);
    for (const info of fresh) {
      // A process replaced under the same address is a new one: the old one is gone.
      for (const known of this.rows.values()) {
        if (known.address === info.address) this.rows.delete(known.id);
      }
      this.rows.set(info.id, info);
    }
    return fresh;
  }

  /** Removes entries; returns those that were there. */
  remove(ids: readonly string[]): string[] {
    return ids.filter((id) => this.rows.delete(id));
  }

  /** The entries of a zone. */
  ofZone(zone: string): EntryInfo[] {
    return [...this.rows.values()].filter((info) => info.zone === zone);
  }
}
