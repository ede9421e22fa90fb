/** What entries and agents of directly called back ends tell one another of themselves. */
import type { BackEndIdentity } from '../model/back-end-identity.js';

/** One version of a model that was named. */
export interface NamedVersion {
  model: string;
  version: number;
  /** It was not named before this, in milliseconds of the store's clock; minus infinity where nothing is known. */
  notBefore: number;
}

/** Requests in flight at a back end from one entry. */
export interface BackEndLoad extends BackEndIdentity {
  inFlight: number;
}

/** What a process holds of a version of weights. */
export interface HeldPieces {
  model: string;
  version: number;
  count: number;
  /** One bit a piece. */
  have: Uint8Array;
  /** Pieces that are on their way from the origin: nobody else is to draw them meanwhile. */
  drawing: number[];
  /** Parts that are known to lie in the object store. */
  stored: number[];
}

/** The state of the engine beside an agent. */
export interface EngineReport {
  /** The start of the engine that all of this is about; undefined where it does not tell it. */
  start?: BackEndIdentity['start'];
  /** The start of the engine before this one, where the agent has seen it: it tells the order where a clock stepped back. */
  follows?: BackEndIdentity['start'];
  /** Address at which the engine takes requests. */
  address: string;
  /** `host:port` at which its agent is asked for slots of it. */
  slotAddress: string;
  /** Version whose layers are all there; 0 for none, or where that is not known. */
  version: number;
  /** The engine answers its agent: what is told of it is what it holds, whatever the list of back ends says. */
  isReached: boolean;
  isSwitching: boolean;
  /** Requests of all callers that run or wait there. */
  load: number;
  /** Time until it is to be ordered to take another version, in milliseconds; undefined where none is due. */
  switchesIn: number | undefined;
  /** What the agent holds. */
  held: HeldPieces[];
}

/** What an entry tells of itself, several times a second. */
export interface EntryReport {
  id: string;
  /** `host:port` for the system's own processes. */
  address: string;
  /** `host:port` for callers. */
  callerAddress: string;
  zone: string;
  region: string;
  /** Rate of its link in Mbit/s; 0 where it does not know it. */
  linkRate: number;
  /** It takes requests of callers. */
  isReady: boolean;
  configurationRevision: number;
  backEndsRevision: number;
  /** The store's time as it is told, in milliseconds; minus infinity where the sender does not know it. */
  storeTime: number;
  versions: NamedVersion[];
  /** Most entries that it has known since its start, or was told of by another. */
  entriesKnown: number;
  /** Requests in flight, by back end. */
  loads: BackEndLoad[];
  held: HeldPieces[];
  /** Engines whose agents are connected to it. */
  engines: EngineReport[];
}

/** What an agent is to know. */
export interface WeightsPlan {
  /** The versions that matter, as the configuration and the operator name them. */
  versions: NamedVersion[];
  /** The store's time as it is told, in milliseconds; minus infinity where the sender does not know it. */
  storeTime: number;
  /** Time in which a named version must serve everywhere, in milliseconds. */
  bound: number;
  /** Address of the origin, empty for none. */
  origin: string;
  /** Number of layers of a model. */
  layers: number;
  /** The engine's number among those of its zone that hold a version. */
  position: number;
  /** All requests that run at the engine are known to be able to go on at others. Agents of earlier releases drop them then. */
  canMoveRequests: boolean;
  /** What entries hold, those of the agent's zone marked as near. */
  holders: Array<{ address: string; isNear: boolean; held: HeldPieces[] }>;
  /** Entries of all zones, of the agent's own first. */
  entries: string[];
  /** The first of them is in the agent's own zone. */
  hasNearEntry: boolean;
}
