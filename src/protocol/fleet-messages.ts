/** What entries and agents of directly called back ends tell one another. */
import type { BackEndListState } from './back-end-list-state.js';
import type { PoisonUpdate } from './poison-update.js';
import type { RateLimitUpdate } from './rate-limit-update.js';
import type { EngineReport, EntryReport, WeightsPlan } from './reports.js';
import type { StoreUpdate } from './store-update.js';

/** Messages of these processes. */
export type FleetMessage =
  | { type: 'entryReport'; report: EntryReport }
  /** Addresses of entries that the sender hears. */
  | { type: 'entryAddresses'; addresses: string[] }
  /** Asks for what the sender lacks. */
  | { type: 'fleetWanted'; configuration: boolean; backEnds: boolean }
  /** The configuration as the operator wrote it. */
  | { type: 'fleetConfiguration'; document: Uint8Array }
  | { type: 'fleetBackEnds'; state: BackEndListState }
  /** What the sender has read of the store, for the others of its zone. */
  | { type: 'storeNews'; news: StoreUpdate }
  /** Of contents under which back ends crash. */
  | { type: 'poisonNews'; news: PoisonUpdate[] }
  /** Of rate limits that back ends name or lift. */
  | { type: 'limitNews'; news: RateLimitUpdate[] }
  | { type: 'engineReport'; report: EngineReport }
  | { type: 'weightsPlan'; plan: WeightsPlan };
