/** Messages between entries and agents of back ends that entries call directly. */
import type { BackEndListState } from './back-end-list-state.js';
import type { ConfigurationUpdate } from './configuration-update.js';
import type { PoisonUpdate } from './poison-update.js';
import type { RateLimitUpdate } from './rate-limit-update.js';
import type { EngineReport, EntryReport, WeightsPlan } from './reports.js';
import type { StoreUpdate } from './store-update.js';

export type FleetMessage =
  | { type: 'entryReport'; report: EntryReport }
  /** Addresses of entries from which the sender receives reports. */
  | { type: 'entryAddresses'; addresses: string[] }
  /** Requests the state that the sender lacks. */
  | { type: 'fleetWanted'; configuration: boolean; backEnds: boolean }
  /** The configuration document as written by the operator. */
  | { type: 'fleetConfiguration'; document: Uint8Array }
  /** Sent only to entries whose reports say that they take them (`takesConfigurationUpdates`). */
  | { type: 'configurationUpdate'; update: ConfigurationUpdate }
  /** Requests the latest configuration from such an entry; `base` is the revision that the sender has, 0 for none. */
  | { type: 'configurationWanted'; base: number }
  | { type: 'fleetBackEnds'; state: BackEndListState }
  /** Store changes that the sender has read, for the other entries of its zone. */
  | { type: 'storeNews'; news: StoreUpdate }
  /** Updates about request contents that crash back ends. */
  | { type: 'poisonNews'; news: PoisonUpdate[] }
  /** Updates about rate limits that back ends set or lift. */
  | { type: 'limitNews'; news: RateLimitUpdate[] }
  | { type: 'engineReport'; report: EngineReport }
  | { type: 'weightsPlan'; plan: WeightsPlan };
