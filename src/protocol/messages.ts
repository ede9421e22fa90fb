/**
 * The messages between the system's own processes. Every message is an object with a `type`; the codec sends
 * the fields in the order given in {@link MESSAGE_FIELDS}, without their names.
 */

import type { Row } from '../clients/table-service.js';
import type { Digest, Manifest } from '../model/manifest.js';
import type { RefusalReason } from '../systems/distribution/commands.js';
import type { Grant, Objective, PeerInfo } from '../systems/distribution/transfer.js';
import type { KeyedCall } from '../systems/once-ledger.js';
import type { OwnersRow } from '../systems/ownership.js';
import type { FleetMessage } from './fleet-messages.js';
import type { SlotMessage } from './slot-messages.js';

/** Short name of a version on the wire: the first 48 bits of its digest. Chunks are verified all the same. */
export type TransferKey = number;

const TRANSFER_KEY_DIGITS = 12;

/** The short name of `version`. */
export function transferKeyOf(version: Digest): TransferKey {
  return Number.parseInt(version.slice(0, TRANSFER_KEY_DIGITS), 16);
}

/** First message on every connection: who the connecting process is. */
export interface HelloMessage {
  type: 'hello';
  role: 'agent' | 'entry';
  peer: PeerInfo;
}

/** Chunk exchange between agents. */
export type ExchangeMessage =
  | { type: 'greet'; transfer: TransferKey; have: Uint8Array }
  | { type: 'announce'; transfer: TransferKey; chunks: number[]; queueLength: number }
  | { type: 'request'; transfer: TransferKey; chunk: number; have: number; urgent: boolean }
  | { type: 'cancel'; transfer: TransferKey; chunk: number }
  | { type: 'refuse'; transfer: TransferKey; chunk: number; reason: RefusalReason; queueLength: number }
  | { type: 'chunk'; transfer: TransferKey; chunk: number; queueLength: number; data: Uint8Array };

/** Between an agent and the coordinator of a burst. */
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

/** How far an agent is with one version. */
export interface VersionProgress {
  version: Digest;
  /** Bytes of it in memory. */
  bytesHeld: number;
  bytesTotal: number;
  /** True when the engine itself reports this version as loaded. */
  ready: boolean;
  /** What stands in the way, empty where nothing does. */
  problem: string;
}

/** What an agent tells of itself. */
export interface AgentStatus {
  /** Grows with each status of the same process. */
  sequence: number;
  info: PeerInfo;
  /** Address of the agent's HTTP interface for operators. */
  operatorAddress: string;
  backEnd: 'engine' | 'service';
  /** Name of the plain service, or of the machine's pool of engines. */
  pool: string;
  leaving: boolean;
  versions: VersionProgress[];
  /** Requests in progress at the back end. */
  active: number;
  /** Requests that the back end runs at the same time. */
  capacity: number;
  /** For a service: the owners' list that this process follows, and for how long it has. */
  ownership: OwnershipClaim | undefined;
}

/** What an agent says of its part in owning keys. */
export interface OwnershipClaim {
  epoch: number;
  /** Time for which this process has followed the list of this epoch, in milliseconds. */
  heldFor: number;
  /** True when it takes no keys any more that move under the list to come. */
  movesAcknowledged: boolean;
}

/** What one agent is to do, as decided by the placement duty. */
export interface Assignment {
  deployment: string;
  tenant: string;
  model: string;
  version: Digest;
  places: string[];
  priority: number;
  objective: Objective;
  /** Revision of the declaration that the assignment follows; it fences orders to the engine. */
  revision: number;
}

/** Between an agent and its home entry. */
export type HomeMessage =
  | { type: 'status'; status: AgentStatus }
  | {
      type: 'assignments';
      revision: number;
      assignments: Assignment[];
      entries: EntryInfo[];
      /** For the agent of a service: who owns its keys. */
      owners: OwnersRow | undefined;
    }
  | { type: 'fetchManifest'; version: Digest }
  | { type: 'manifest'; version: Digest; manifest: Manifest }
  | { type: 'manifestUnavailable'; version: Digest; reason: string };

/** An entry as its peers and agents know it. */
export interface EntryInfo {
  id: string;
  /** `host:port` for the system's own processes. */
  address: string;
  /** `host:port` for callers and operators. */
  callerAddress: string;
  place: string;
  zone: string;
  leaving: boolean;
  /** Grows with each change of what the same process says. */
  sequence: number;
}

/** What changes often about an agent: told inside a zone only. */
export interface AgentLoad {
  id: string;
  /** Requests in progress. */
  active: number;
  /** Bytes held of each version, in the order of the agent's status. */
  held: number[];
}

/** A change of an entry's record of itself, from version `base` (0: nothing known) to `version`. */
export interface HomeUpdate {
  type: 'homeNews';
  /** Identity of the entry. */
  home: string;
  /** Present in a whole record, and when it changed. */
  info: EntryInfo | undefined;
  base: number;
  version: number;
  /** Agents homed there that are new or changed, without their loads. */
  statuses: AgentStatus[];
  /** Identities of agents that are not homed there any more. */
  gone: string[];
}

/** Between entries: who there is. */
export type MembershipMessage =
  | HomeUpdate
  /** The sender offers these homes' records no more; `died`: their zone has seen them go. */
  | { type: 'homesGone'; homes: string[]; died: boolean }
  /** A digest, for each zone, of the versions that the sender offers on this link. */
  | { type: 'homesDigest'; digests: Array<[zone: string, digest: number]> }
  /** Asks for the versions offered of a zone. */
  | { type: 'homesWanted'; zone: string }
  | { type: 'homesOffered'; zone: string; homes: Array<[home: string, version: number]> }
  /** Asks for the whole record of a home. */
  | { type: 'homeWanted'; home: string };

/** Between entries. */
export type EntryMessage =
  | MembershipMessage
  /** Loads of agents, inside a zone. */
  | { type: 'agentLoads'; loads: AgentLoad[] }
  /** Rows of the platform's tables that changed after revision `base`. */
  | { type: 'configuration'; base: number; revision: number; rows: Row[] };

/** What a call that may not be repeated carries. */
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
  /** The agent does not own the key, or not under that epoch. */
  | 'notOwner';

/** One caller's request, between an entry and an agent. */
export type CallMessage =
  | {
      type: 'call';
      callId: string;
      attempt: number;
      /** Version that must answer, or empty for a plain service. */
      version: Digest;
      method: string;
      path: string;
      contentType: string;
      body: Uint8Array;
      /** Time left for the whole answer, in milliseconds. */
      timeLeft: number;
      /** For a call that may not be repeated. */
      once: OnceCall | undefined;
    }
  | { type: 'callCancel'; callId: string; attempt: number }
  /** The caller has taken bytes of the answer: as many more may be sent. */
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

/** Any message between the system's processes. */
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

/** Names of the fields of each message, in wire order. A change here is a change of the protocol. */
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
  slotAsked: ['type', 'id', 'urgency', 'waitedFor', 'patience', 'slots', 'rateLimit'],
  slotReleased: ['type', 'id', 'wasUsed'],
  slotAnswered: ['type', 'id', 'rateLimit'],
  slotGranted: ['type', 'id', 'isLimited'],
  slotQueued: ['type', 'id'],
  slotRefused: ['type', 'id'],
  slotUnready: ['type', 'id'],
  slotsStated: ['type', 'process', 'next', 'held', 'waiting'],
};
