/** Reports about themselves that entries and agents of directly called back ends exchange. */
import type { StoreRevision } from '../clients/store-revision.js';
import type { BackEndIdentity } from '../model/back-end-identity.js';
import type { Stamp } from '../model/hybrid-clock.js';
import type { WarmUp } from '../model/warm-up.js';
import type { AnnouncedSwitch } from '../systems/engine-switches.js';
import type { DeclaredPace } from '../systems/wait-policy.js';

/** How much of a table of the store a process knows. */
export interface TableState {
  /** All changes up to this revision are known. */
  revision: StoreRevision;
  /** There was no later change at this time of the store, in milliseconds. */
  asOf: number;
}

/** A version of a model that the configuration or the operator names. */
export interface NamedVersion {
  model: string;
  version: number;
  /** Earliest time at which it can have been named, in milliseconds of the store's clock; -Infinity if unknown. */
  notBefore: number;
}

/** The operator's latest decision on whether the back ends of a zone get new requests. */
export interface ZoneEvacuation {
  zone: string;
  /** Revision of the row that takes the zone out of service, or of its removal. */
  revision: StoreRevision;
  isEvacuated: boolean;
}

/** Number of requests that one entry has in flight at a back end. */
export interface BackEndLoad extends BackEndIdentity {
  inFlight: number;
}

/** The pieces of a weights version that a process holds. */
export interface HeldPieces {
  model: string;
  version: number;
  count: number;
  /** Bitmap with one bit per piece. */
  have: Uint8Array;
  /** Pieces being fetched from the origin; other processes should not fetch them there meanwhile. */
  drawing: number[];
  /** Parts known to be in the object store. */
  stored: number[];
}

/** The state of an agent's engine. */
export interface EngineReport {
  /** The start of the engine to which this report applies; undefined if the engine does not report it. */
  start?: BackEndIdentity['start'];
  /** The previous start of the engine, if the agent has seen it. It gives the order of starts if a clock stepped back. */
  follows?: BackEndIdentity['start'];
  /** Address at which the engine accepts requests. */
  address: string;
  /** `host:port` at which its agent accepts requests for slots of the engine. */
  slotAddress: string;
  /** Version of which all layers are loaded; 0 if there is none or it is unknown. */
  version: number;
  /** The engine answers its agent, so this report takes precedence over the list of back ends. */
  isReached: boolean;
  /**
   * The engine must get no requests: its agent is about to order it to load a version, it carries out an order, or the weights
   * that it loaded by one are not proven yet. Reported before the order is sent.
   */
  isSwitching: boolean;
  /**
   * This agent process has itself proven, at this start of the engine, the weights that the engine holds. False as long as it has
   * not: in all reports before its first proof, also if it has found no reason for doubt, and again from an order until the
   * layers that this loads are proven. Entries need it only to forget an unfinished switch ({@link UnfinishedSwitch}) of another
   * agent process: an engine that is not proven gets requests if none is known. Absent from earlier releases.
   */
  isProven?: boolean;
  /** Identity of the agent process; set by the entry that received the report from it, absent from earlier releases. */
  agent?: string;
  /**
   * Time since the report reached the entry that passes it on, in milliseconds; absent in the agent's own message, and from earlier
   * releases.
   */
  age?: number;
  /**
   * Stamp of the message in which the agent sent the report, by which receivers order reports on one engine that reach them
   * through different entries; set like `agent`.
   */
  stamp?: Stamp;
  /** Requests of all callers that run or wait at the engine. */
  load: number;
  /** Time until the engine is ordered to switch to another version, in milliseconds; undefined if no switch is due. */
  switchesIn: number | undefined;
  /** Time for which the engine stays cold, in milliseconds; 0 if it is warm, undefined from earlier releases. */
  coldLeft?: number | undefined;
  /** Pieces that the agent holds. */
  held: HeldPieces[];
}

/**
 * A switch that an agent process has announced for one start of its engine and of which it has not reported the end: the engine may
 * hold weights that are not proven.
 */
export interface UnfinishedSwitch extends BackEndIdentity, AnnouncedSwitch {}

/** The report that an entry sends about itself several times per second. */
export interface EntryReport {
  id: string;
  /** `host:port` for the system's own processes. */
  address: string;
  /** `host:port` for callers. */
  callerAddress: string;
  zone: string;
  region: string;
  /** Rate of its network link in Mbit/s; 0 if unknown. */
  linkRate: number;
  /** It accepts requests from callers. */
  isReady: boolean;
  configurationRevision: number;
  /**
   * Its configuration, `versions` and `evacuations` are what the operator's table contains; absent from earlier releases, before the
   * first read, and while it lacks a configuration that others have.
   */
  operatorTable?: TableState | undefined;
  /**
   * It understands configuration updates. Contained in the first report on a connection; absent from earlier releases, which close
   * a connection on which one arrives.
   */
  takesConfigurationUpdates?: true;
  backEndsRevision: number;
  /**
   * The store has answered it or others without an outage between these times of the store, in milliseconds; undefined before the
   * first answer, absent from earlier releases.
   */
  storeAvailable?: { since: number; until: number } | undefined;
  /**
   * Its list of back ends is complete as of this time of the store, in milliseconds; -Infinity before the first read, absent from
   * earlier releases.
   */
  backEndsAsOf?: number;
  /** Store time when the report is sent, in milliseconds; -Infinity if the sender does not know it. */
  storeTime: number;
  versions: NamedVersion[];
  /** Largest number of entries that it has known since its start, or that another entry has reported. */
  entriesKnown: number;
  /** Requests in flight, by back end. */
  loads: BackEndLoad[];
  held: HeldPieces[];
  /** Engines whose agents are connected to this entry. */
  engines: EngineReport[];
  /** All evacuations that the entry knows of; absent if there are none, and from earlier releases. */
  evacuations?: ZoneEvacuation[];
  /**
   * All unfinished switches that the entry knows of; only in the first report on each connection, as all entries hear of later ones
   * from the agents' reports. Absent if there are none, and from earlier releases.
   */
  unfinishedSwitches?: UnfinishedSwitch[];
}

/** State that an agent needs to load and distribute weights. */
export interface WeightsPlan {
  /** The versions that the configuration and the operator name. */
  versions: NamedVersion[];
  /** Store time when the plan is sent, in milliseconds; -Infinity if the sender does not know it. */
  storeTime: number;
  /** Time within which a named version must be served everywhere, in milliseconds. */
  bound: number;
  /** Address of the origin; empty if there is none. */
  origin: string;
  /** Number of layers of a model. */
  layers: number;
  /**
   * How the engine warms up, at a rate of 0 if its service declares nothing; undefined if the sender knows no configuration, or
   * is of an earlier release.
   */
  warmUp?: WarmUp | undefined;
  /** Index of the engine among those of its zone that hold a version. */
  position: number;
  /** Number of those engines; absent if the sender does not know, and from earlier releases. */
  engines?: number | undefined;
  /**
   * All requests that run at the engine can continue at other engines. Agents of earlier releases drop the requests if this is
   * set.
   */
  canMoveRequests: boolean;
  /**
   * What the engine's service declares of its pace; undefined if that is not known, or from earlier releases: grants are then
   * not limited by work.
   */
  declaredPace?: DeclaredPace | undefined;
  /** Pieces that entries hold; entries of the agent's zone are marked as near. */
  holders: Array<{ address: string; isNear: boolean; held: HeldPieces[] }>;
  /** Entries of all zones, those of the agent's own zone first. */
  entries: string[];
  /** The first of `entries` is in the agent's own zone. */
  hasNearEntry: boolean;
  /** Whether the agent's zone is evacuated; absent if the sender does not know, and from earlier releases. */
  evacuation?: ZoneEvacuation | undefined;
  /**
   * A previous agent process of this engine has announced a switch for the start in the agent's latest report, and has not reported
   * its end: the engine may hold weights that are not proven, or may still carry out an order of that process. The agent reports
   * `isSwitching` from the receipt of such a plan until it has proven the weights, then `isProven` and no longer `isSwitching`.
   * Plans repeat this until the entry has received that report, so one that arrives after the agent's own proof asks for no
   * other. Absent if the entry knows of no such switch, if the agent has not reported yet, and from earlier releases: this
   * does not tell that there was none.
   */
  hasUnfinishedSwitch?: boolean;
}
