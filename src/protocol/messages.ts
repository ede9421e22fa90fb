/**
 * The messages between the system's own processes. Every message is an object with a `type`; the codec encodes
 * the fields in the order of {@link MESSAGE_FIELDS}, without their names.
 */

import type { Row } from '../clients/table-service.js';
import type { Digest, Manifest } from '../model/manifest.js';
import type { RefusalReason } from '../systems/distribution/commands.js';
import type { Grant, Objective, PeerInfo } from '../systems/distribution/transfer.js';
import type { KeyedCall } from '../systems/once-ledger.js';
import type { OwnersRow } from '../systems/ownership.js';
import type { FleetMessage } from './fleet-messages.js';
import type { SlotMessage } from './slot-messages.js';

/** Short identifier of a version on the wire: the first 48 bits of its digest. Chunks are verified by digest regardless. */
export type TransferKey = number;

const TRANSFER_KEY_DIGITS = 12;

export function transferKeyOf(version: Digest): TransferKey {
  return Number.parseInt(version.slice(0, TRANSFER_KEY_DIGITS), 16);
}

/** First message in each direction of a connection: identifies the sending process. */
export interface HelloMessage {
  type: 'hello';
  role: 'agent' | 'entry';
  peer: PeerInfo;
}

/** Messages of the chunk exchange between agents. */
export type ExchangeMessage =
  | { type: 'greet'; transfer: TransferKey; have: Uint8Array }
  | { type: 'announce'; transfer: TransferKey; chunks: number[]; queueLength: number }
  | { type: 'request'; transfer: TransferKey; chunk: number; have: number; urgent: boolean }
  | { type: 'cancel'; transfer: TransferKey; chunk: number }
  | { type: 'refuse'; transfer: TransferKey; chunk: number; reason: RefusalReason; queueLength: number }
  | { type: 'chunk'; transfer: TransferKey; chunk: number; queueLength: number; data: Uint8Array };

/** Messages between an agent and the coordinator of a burst. */
export type BurstMessage =
  | { type: 'join'; version: Digest; chunkCount: number; objective: Objective; have: Uint8Array }
  | { type: 'leave'; version: Digest }
  | { type: 'report'; transfer: TransferKey; have: number; starving: number[] }
  | {
      type: 'grantEnded';
      transfer: TransferKey;
      grantId: number;
      chunk: number | undefined;
      succeeded: boolean;
    }
  | { type: 'neighbours'; transfer: TransferKey; peers: PeerInfo[] }
  | { type: 'grant'; transfer: TransferKey; grant: Grant };

/** An agent's progress in loading one version. */
export interface VersionProgress {
  version: Digest;
  /** Bytes of the version in memory. */
  bytesHeld: number;
  bytesTotal: number;
  /** True if the engine itself reports this version as loaded. */
  ready: boolean;
  /** Why progress is blocked; empty if it is not. */
  problem: string;
}

/** The status that an agent reports. */
export interface AgentStatus {
  /** Increases with each status of the same process. */
  sequence: number;
  info: PeerInfo;
  /** Address of the agent's HTTP interface for operators. */
  operatorAddress: string;
  backEnd: 'engine' | 'service';
  /** Name of the plain service, or of the engine pool of the machine. */
  pool: string;
  leaving: boolean;
  versions: VersionProgress[];
  /** Requests in progress at the back end. */
  active: number;
  /** Number of requests that the back end runs concurrently. */
  capacity: number;
  /** For a service: the owners' list that this process has adopted, and for how long. */
  ownership: OwnershipClaim | undefined;
}

/** The state of key ownership that an agent reports. */
export interface OwnershipClaim {
  epoch: number;
  /** Time since this process adopted the list of this epoch, in milliseconds. */
  heldFor: number;
  /** True if the process no longer accepts calls for keys that move to another owner under the next list. */
  movesAcknowledged: boolean;
}

/** A version that an agent must load and serve, as decided by the placement duty. */
export interface Assignment {
  deployment: string;
  tenant: string;
  model: string;
  version: Digest;
  places: string[];
  priority: number;
  objective: Objective;
  /** Revision of the declaration behind the assignment; fences orders to the engine. */
  revision: number;
}

/** Messages between an agent and its home entry. */
export type HomeMessage =
  | { type: 'status'; status: AgentStatus }
  | {
      type: 'assignments';
      revision: number;
      assignments: Assignment[];
      entries: EntryInfo[];
      /** For the agent of a service: the owners of its keys. */
      owners: OwnersRow | undefined;
    }
  | { type: 'fetchManifest'; version: Digest }
  | { type: 'manifest'; version: Digest; manifest: Manifest }
  | { type: 'manifestUnavailable'; version: Digest; reason: string };

/** Public information about an entry. */
export interface EntryInfo {
  id: string;
  /** `host:port` for the system's own processes. */
  address: string;
  /** `host:port` for callers and operators. */
  callerAddress: string;
  place: string;
  zone: string;
  leaving: boolean;
  /** Increases with each change of this information by the same process. */
  sequence: number;
}

/** Frequently changing state of an agent; sent only within a zone. */
export interface AgentLoad {
  id: string;
  /** Requests in progress. */
  active: number;
  /** Bytes held of each version, in the order of `versions` in the agent's status. */
  held: number[];
}

/** A change of an entry's own record from version `base` (0: none) to `version`. */
export interface HomeUpdate {
  type: 'homeNews';
  /** Identity of the entry that the record describes. */
  home: string;
  /** Present in a full record, and in an update if it changed. */
  info: EntryInfo | undefined;
  base: number;
  version: number;
  /** New and changed agents with this home, without their loads. */
  statuses: AgentStatus[];
  /** Identities of agents that no longer have this home. */
  gone: string[];
}

/** Membership messages between entries. */
export type MembershipMessage =
  | HomeUpdate
  /** The sender no longer offers the records of these homes; `died` is true if their own zone has found them dead. */
  | { type: 'homesGone'; homes: string[]; died: boolean }
  /** For each zone, a digest of the record versions that the sender offers on this link. */
  | { type: 'homesDigest'; digests: Array<[zone: string, digest: number]> }
  /** Requests the list of record versions offered for a zone. */
  | { type: 'homesWanted'; zone: string }
  | { type: 'homesOffered'; zone: string; homes: Array<[home: string, version: number]> }
  /** Requests the full record of a home. */
  | { type: 'homeWanted'; home: string };

/** Messages between entries. */
export type EntryMessage =
  | MembershipMessage
  /** Loads of agents, sent within a zone. */
  | { type: 'agentLoads'; loads: AgentLoad[] }
  /** Rows of the platform's tables that changed after revision `base`. */
  | { type: 'configuration'; base: number; revision: number; rows: Row[] };

/** Additional data of a call that must not run twice. */
export interface OnceCall extends KeyedCall {
  /** Epoch of the owners' list by which the agent was chosen. */
  epoch: number;
}

/** Why an agent did not run a request. */
export type CallRefusal =
  | 'leaving'
  | 'overloaded'
  | 'wrongVersion'
  | 'notReady'
  | 'backEndUnreachable'
  /** The agent does not own the key under the epoch of the call. */
  | 'notOwner';

/** Messages about one caller's request, between an entry and an agent. */
export type CallMessage =
  | {
      type: 'call';
      callId: string;
      attempt: number;
      /** Version that must serve the call; empty for a plain service. */
      version: Digest;
      method: string;
      path: string;
      contentType: string;
      body: Uint8Array;
      /** Time left until the answer must be complete, in milliseconds. */
      timeLeft: number;
      /** Set for a call that must not run twice. */
      once: OnceCall | undefined;
    }
  | { type: 'callCancel'; callId: string; attempt: number }
  /** Flow control: the caller has consumed this many bytes of the answer, so as many more may be sent. */
  | { type: 'callTaken'; callId: string; attempt: number; bytes: number }
  | { type: 'callHead'; callId: string; attempt: number; status: number; contentType: string }
  | { type: 'callData'; callId: string; attempt: number; sequence: number; data: Uint8Array }
  | { type: 'callEnd'; callId: string; attempt: number; frames: number }
  | {
      type: 'callRefused';
      callId: string;
      attempt: number;
      reason: CallRefusal;
      notRun: boolean;
      retryAfter: number;
    }
  | { type: 'callFailed'; callId: string; attempt: number; reason: string; ran: 'no' | 'yes' | 'unknown' };

/** Any message between the system's own processes. */
export type Message =
  | HelloMessage
  | ExchangeMessage
  | BurstMessage
  | HomeMessage
  | EntryMessage
  | CallMessage
  | FleetMessage
  | SlotMessage
  | { type: 'ping' };

/** Field names of each message in wire order. A change here changes the protocol. */
export const MESSAGE_FIELDS: { [T in Message['type']]: ReadonlyArray<string> } = {
  hello: ['type', 'role', 'peer'],
  greet: ['type', 'transfer', 'have'],
  announce: ['type', 'transfer', 'chunks', 'queueLength'],
  request: ['type', 'transfer', 'chunk', 'have', 'urgent'],
  cancel: ['type', 'transfer', 'chunk'],
  refuse: ['type', 'transfer', 'chunk', 'reason', 'queueLength'],
  chunk: ['type', 'transfer', 'chunk', 'queueLength', 'data'],
  join: ['type', 'version', 'chunkCount', 'objective', 'have'],
  leave: ['type', 'version'],
  report: ['type', 'transfer', 'have', 'starving'],
  grantEnded: ['type', 'transfer', 'grantId', 'chunk', 'succeeded'],
  neighbours: ['type', 'transfer', 'peers'],
  grant: ['type', 'transfer', 'grant'],
  status: ['type', 'status'],
  assignments: ['type', 'revision', 'assignments', 'entries', 'owners'],
  fetchManifest: ['type', 'version'],
  manifest: ['type', 'version', 'manifest'],
  manifestUnavailable: ['type', 'version', 'reason'],
  homeNews: ['type', 'home', 'info', 'base', 'version', 'statuses', 'gone'],
  homesGone: ['type', 'homes', 'died'],
  homesDigest: ['type', 'digests'],
  homesWanted: ['type', 'zone'],
  homesOffered: ['type', 'zone', 'homes'],
  homeWanted: ['type', 'home'],
  agentLoads: ['type', 'loads'],
  configuration: ['type', 'base', 'revision', 'rows'],
  call: ['type', 'callId', 'attempt', 'version', 'method', 'path', 'contentType', 'body', 'timeLeft', 'once'],
  callCancel: ['type', 'callId', 'attempt'],
  callTaken: ['type', 'callId', 'attempt', 'bytes'],
  callHead: ['type', 'callId', 'attempt', 'status', 'contentType'],
  callData: ['type', 'callId', 'attempt', 'sequence', 'data'],
  callEnd: ['type', 'callId', 'attempt', 'frames'],
  callRefused: ['type', 'callId', 'attempt', 'reason', 'notRun', 'retryAfter'],
  callFailed: ['type', 'callId', 'attempt', 'reason', 'ran'],
  ping: ['type'],
  entryReport: ['type', 'report'],
  entryAddresses: ['type', 'addresses'],
  fleetWanted: ['type', 'configuration', 'backEnds'],
  fleetConfiguration: ['type', 'document'],
  fleetBackEnds: ['type', 'state'],
  storeNews: ['type', 'news'],
  poisonNews: ['type', 'news'],
  limitNews: ['type', 'news'],
  engineReport: ['type', 'report'],
  weightsPlan: ['type', 'plan'],
  slotAsked: [
    'type',
    'id',
    'urgency',
    'waitedFor',
    'patience',
    'slots',
    'rateLimit',
    'inTimeFor',
    'promptTokens',
    'cold',
  ],
  slotReleased: ['type', 'id', 'wasUsed'],
  slotAnswered: ['type', 'id', 'rateLimit'],
  slotGranted: ['type', 'id', 'isLimited', 'isLimitedByWork'],
  slotQueued: ['type', 'id'],
  slotRefused: ['type', 'id', 'availableIn'],
  slotUnready: ['type', 'id'],
  slotsStated: ['type', 'process', 'next', 'held', 'waiting'],
  // New types are added at the end: a type is sent by its number.
  slotPromptRead: ['type', 'id'],
  configurationUpdate: ['type', 'update'],
  configurationWanted: ['type', 'base'],
};
