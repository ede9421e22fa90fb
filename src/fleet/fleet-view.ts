/**
 * What one process believes about the deployment: the configuration in force, the back ends, the versions that the
 * operator has named. Every part only moves forward; who told it, the store or a peer, makes no difference.
 */
import type { BackEndIdentity } from '../model/back-end-identity.js';
import type { BackEndListState } from '../protocol/back-end-list-state.js';
import type { NamedVersion } from '../protocol/reports.js';
import { type BackEndChange, BackEndList } from './back-end-list.js';
import type { FleetConfiguration } from './configuration.js';
import { NamedVersions } from './named-versions.js';
import type { RecordFault } from './record-decoder.js';
import { RouteTable } from './route-table.js';
import { StoreClock } from './store-clock.js';

/** A configuration as the operator wrote it, to be passed on, and as it was understood. */
export interface ConfigurationDocument {
  document: Buffer;
  configuration: FleetConfiguration;
  /** What is wrong with the entries that were left out of it. */
  leftOut?: readonly RecordFault[];
}

/** Told when a belief changes. */
export interface FleetListener {
  onConfiguration?(table: RouteTable): void;
  onBackEnds?(changes: readonly BackEndChange[]): void;
  onNamedVersion?(named: NamedVersion): void;
}

/** The beliefs of one process. */
export class FleetView {
  readonly backEnds = new BackEndList();
  /** The store's clock, in whose time processes tell one another when something happened. */
  readonly clock = new StoreClock();
  readonly versions = new NamedVersions(this.clock);
  readonly #listeners: FleetListener[] = [];
  #routes: RouteTable | undefined;
  #document: Buffer | undefined;
  #configurationTakenAt = Number.NEGATIVE_INFINITY;
  /** Newest revision of a configuration that another process is known to have. */
  #configurationRevisionElsewhere = 0;

  /** The configuration in force; undefined before any was heard of. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** The configuration in force as the operator wrote it. */
  get document(): Buffer | undefined {
    return this.#document;
  }

  /** Revision of the configuration in force; 0 before any was heard of. */
  get configurationRevision(): number {
    return this.#routes?.configuration.revision ?? 0;
  }

  /** When the configuration in force was taken, in milliseconds of the steady clock; before all time where there is none. */
  get configurationTakenAt(): number {
    return this.#configurationTakenAt;
  }

  /** True while a newer configuration is known to be in force: what this one lacks may be in that one. */
  get isConfigurationBehind(): boolean {
    return this.#configurationRevisionElsewhere > this.configurationRevision;
  }

  /** Another process has the configuration of `revision`. */
  noteConfigurationElsewhere(revision: number): void {
    this.#configurationRevisionElsewhere = Math.max(this.#configurationRevisionElsewhere, revision);
  }

  /** True once requests can be routed. */
  get complete(): boolean {
    return this.#routes !== undefined && this.backEnds.revision > 0;
  }

  listen(listener: FleetListener): void {
    this.#listeners.push(listener);
  }

  /** Takes a configuration if it is newer than the one in force. */
  takeConfiguration({ document, configuration }: ConfigurationDocument): boolean {
    if (this.#routes !== undefined && configuration.revision <= this.configurationRevision) return false;
    this.#routes = new RouteTable(configuration);
    this.#document = document;
    this.#configurationTakenAt = performance.now();
    for (const listener of this.#listeners) listener.onConfiguration?.(this.#routes);
    return true;
  }

  takeNamedVersion(named: NamedVersion): void {
    if (!this.versions.note(named)) return;
    for (const listener of this.#listeners) listener.onNamedVersion?.(named);
  }

  /** Takes changes of the list of back ends up to `revision`. */
  takeBackEndChanges(changes: readonly BackEndChange[], revision: number): void {
    this.#tell(this.backEnds.apply(changes, revision));
  }

  /** Takes a whole list of back ends if it is newer. */
  takeBackEnds(state: BackEndListState): void {
    this.#tell(this.backEnds.replace(state));
  }

  /**
   * Takes the start that a back end has reported itself: it counts as much as one that the store tells.
   * @param follows - the start before it, where that is known
   */
  takeStart(identity: BackEndIdentity, follows?: BackEndIdentity['start']): void {
    this.#tell(this.backEnds.takeStart(identity, follows));
  }

  /**
   * Takes removals that were held back; they are older than the list's revision, and hold unless the record came back.
   */
  takeHeldRemovals(changes: readonly BackEndChange[]): void {
    this.#tell(this.backEnds.apply(changes, this.backEnds.revision));
  }

  #tell(changes: readonly BackEndChange[]): void {
    if (changes.length === 0) return;
    for (const listener of this.#listeners) listener.onBackEnds?.(changes);
  }
}
