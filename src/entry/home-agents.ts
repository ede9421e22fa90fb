/** The agents that chose this entry as their home: receives their statuses and sends them their assignments. */

import { manifestKey, type ObjectStore } from '../clients/object-store.js';
import type { Manifest } from '../model/manifest.js';
import { failure, type Result, success } from '../model/result.js';
import type { Timeline } from '../observability/timeline.js';
import type { Connection } from '../protocol/connection.js';
import type { Assignment, EntryInfo, Message } from '../protocol/messages.js';
import type { PeerInfo } from '../systems/distribution/transfer.js';
import { lowestOfEachZone } from '../systems/entry-topology.js';
import type { OwnersRow } from '../systems/ownership.js';
import type { AgentDirectory } from './agent-directory.js';
import type { BurstCoordinators } from './burst-coordinators.js';
import { type Configuration, TABLES } from './configuration.js';
import type { EntryDirectory } from './entry-directory.js';
import type { EntryMesh } from './entry-mesh.js';

const OBJECT_TIMEOUT = 5_000;
/** Number of cached manifests: one of a large model takes about 1 MB, and several versions are released a day. */
const MANIFESTS_KEPT = 4;
/** Delay for which changes of entries are batched before agents are notified, in milliseconds. */
const ENTRIES_UPDATE_DELAY = 250;

/** Tables whose changes affect the messages to agents. */
const ASSIGNMENT_TABLES: ReadonlySet<string> = new Set([TABLES.resources, TABLES.placements, TABLES.owners]);

export interface HomeAgentsComponents {
  self: () => EntryInfo;
  configuration: Configuration;
  directory: AgentDirectory;
  entries: EntryDirectory;
  mesh: EntryMesh;
  bursts: BurstCoordinators;
  objects: ObjectStore;
  timeline: Timeline;
}

/** The agents homed at one entry. */
export class HomeAgents {
  readonly #components: HomeAgentsComponents;
  readonly #connections = new Map<string, Connection>();
  /** Serialized message last sent to each agent, so that only changes are sent. */
  readonly #lastSent = new Map<string, string>();
  /** Agents for which the owners' list was read from the store after they connected; no older list may be sent to them. */
  readonly #withFreshOwners = new Set<string>();
  /** Cached entry list for agents and its serialized form; undefined after a change. */
  #entries: { infos: EntryInfo[]; text: string } | undefined;
  #entriesTimer: NodeJS.Timeout | undefined;
  /** The latest requested manifests by version; a version's manifest never changes. */
  readonly #manifests = new Map<string, Promise<Result<Manifest, string>>>();

  constructor(components: HomeAgentsComponents) {
    this.#components = components;
    components.configuration.listen((rows) => {
      if (rows.some(({ table }) => ASSIGNMENT_TABLES.has(table))) this.notifyAll();
    });
    components.mesh.onChange = () => this.#onEntriesChanged();
  }

  /** Number of agents homed here. */
  get size(): number {
    return this.#connections.size;
  }

  /** Accepts a connection that an agent opened, to use this entry as its home or to join a burst. */
  accept(connection: Connection): void {
    connection.handleMessages((message) => this.#onMessage(connection, message));
    connection.onClose = () => this.#lost(connection);
  }

  /** Sends every agent homed here its assignments if they have changed. */
  notifyAll(): void {
    this.#entries = undefined;
    for (const id of this.#connections.keys()) this.#sendAssignments(id);
  }

  #onEntriesChanged(): void {
    this.#entriesTimer ??= setTimeout(() => {
      this.#entriesTimer = undefined;
      this.notifyAll();
    }, ENTRIES_UPDATE_DELAY);
  }

  #onMessage(connection: Connection, message: Message): void {
    if (this.#components.bursts.handle(connection, message)) return;
    if (message.type === 'status') this.#onStatus(connection, message);
    if (message.type === 'fetchManifest') void this.#sendManifest(connection, message.version);
  }

  #onStatus(connection: Connection, message: Message & { type: 'status' }): void {
    const { mesh, timeline } = this.#components;
    const { id } = connection.remote.peer;
    if (this.#connections.get(id) !== connection) {
      this.#connections.set(id, connection);
      this.#lastSent.delete(id);
      this.#withFreshOwners.delete(id);
      timeline.record({ type: 'agentConnected', agent: id });
    }
    mesh.agentChanged(message.status);
    if (!this.#lastSent.has(id)) this.#sendAssignments(id);
    if (message.status.backEnd === 'service' && !this.#withFreshOwners.has(id))
      void this.#refreshOwners(id, connection);
  }

  /** Reads the store once after an agent connected. If the read fails, the agent's next status triggers another. */
  async #refreshOwners(id: string, connection: Connection): Promise<void> {
    const read = await this.#components.configuration.poll();
    if (!read || this.#connections.get(id) !== connection) return;
    this.#withFreshOwners.add(id);
    this.#sendAssignments(id);
  }

  #sendAssignments(id: string): void {
    const connection = this.#connections.get(id);
    const { configuration } = this.#components;
    const row = this.#components.directory.rows.get(id);
    if (connection === undefined || row === undefined || configuration.revision === 0) return;
    const assignments = this.#assignmentsOf(row.status.info);
    this.#entries ??= this.#entriesForAgents();
    const { infos: entries, text } = this.#entries;
    const owners = this.#withFreshOwners.has(id) ? this.#ownersOf(row.status.pool) : undefined;
    const news = `${JSON.stringify([assignments, owners])}${text}`;
    if (this.#lastSent.get(id) === news) return;
    this.#lastSent.set(id, news);
    connection.send({ type: 'assignments', revision: configuration.revision, assignments, entries, owners });
  }

  /** The entries of this zone, as possible homes, and the lowest entry of each zone, as possible burst coordinators. */
  #entriesForAgents(): { infos: EntryInfo[]; text: string } {
    const { self, entries } = this.#components;
    const own = self();
    const known = [own, ...entries.rows.values()];
    const lowest = new Set(lowestOfEachZone(known));
    const infos = known.filter((info) => info.zone === own.zone || lowest.has(info));
    return { infos, text: JSON.stringify(infos) };
  }

  #ownersOf(service: string): OwnersRow | undefined {
    return this.#components.configuration.row(TABLES.owners, service)?.value as OwnersRow | undefined;
  }

  /** An agent's assignments. An outdated placement never yields one in a place that the deployment does not allow. */
  #assignmentsOf({ address, place }: PeerInfo): Assignment[] {
    const { configuration } = this.#components;
    return configuration.deployments().flatMap(({ value, revision }) => {
      const placement = configuration.placement(value.metadata.name)?.value;
      if (placement === undefined || !placement.machines.includes(address)) return [];
      const { tenant, model, places, priority, objective } = value.spec;
      if (!places.includes(place)) return [];
      // Until a new placement is decided for a changed deployment, the version placed earlier stays assigned.
      const { version } = placement;
      const deployment = value.metadata.name;
      return [{ deployment, tenant, model, version, places, priority, objective, revision }];
    });
  }

  async #sendManifest(connection: Connection, version: string): Promise<void> {
    let fetching = this.#manifests.get(version);
    if (fetching === undefined) {
      fetching = this.#fetchManifest(version);
      this.#manifests.set(version, fetching);
      const [oldest] = this.#manifests.keys();
      if (this.#manifests.size > MANIFESTS_KEPT) this.#manifests.delete(oldest);
    }
    const fetched = await fetching;
    if (fetched.ok) {
      connection.send({ type: 'manifest', version, manifest: fetched.value });
      return;
    }
    this.#manifests.delete(version);
    connection.send({ type: 'manifestUnavailable', version, reason: fetched.error });
  }

  async #fetchManifest(version: string): Promise<Result<Manifest, string>> {
    const { objects } = this.#components;
    const fetched = await objects.get(manifestKey(version), AbortSignal.timeout(OBJECT_TIMEOUT));
    if (!fetched.ok) return failure(`the object store has no manifest: ${fetched.error.type}`);
    try {
      return success(JSON.parse(fetched.value.toString('utf8')) as Manifest);
    } catch {
      return failure('the manifest is not JSON');
    }
  }

  #lost(connection: Connection): void {
    const { mesh, bursts, timeline } = this.#components;
    const { id } = connection.remote.peer;
    bursts.lost(connection);
    if (this.#connections.get(id) !== connection) return;
    this.#connections.delete(id);
    this.#lastSent.delete(id);
    this.#withFreshOwners.delete(id);
    mesh.agentGone(id);
    timeline.record({ type: 'agentLost', agent: id });
  }
}
