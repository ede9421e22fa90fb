/**
 * The state of the deployment as known to this process: the active configuration, the back ends, the versions that the
 * operator has named, and the zones that it has taken out of service. Each part only moves forward, whether an update comes from the store or from a peer.
 */
import { eraOf } from '../clients/store-revision.js';
import type { BackEndIdentity } from '../model/back-end-identity.js';
import type { BackEndListState } from '../protocol/back-end-list-state.js';
import type { NamedVersion, ZoneEvacuation } from '../protocol/reports.js';
import { type BackEndChange, BackEndList } from './back-end-list.js';
import type { FleetConfiguration } from './configuration.js';
import { EvacuatedZones } from './evacuated-zones.js';
import { ListFreshness } from './list-freshness.js';
import { NamedVersions } from './named-versions.js';
import type { RecordFault } from './record-decoder.js';
import { RouteTable } from './route-table.js';
import { StoreClock } from './store-clock.js';

/** A configuration as the operator wrote it, to be forwarded to peers, and as it was parsed. */
export interface ConfigurationDocument {
  document: Buffer;
  configuration: FleetConfiguration;
  /** Faults of the entries that were skipped. */
  skippedEntries?: readonly RecordFault[];
}

/** Notified when the state changes. */
export interface FleetListener {
  onConfiguration?(table: RouteTable): void;
  onBackEnds?(changes: readonly BackEndChange[]): void;
  onNamedVersion?(named: NamedVersion): void;
  /** A zone went out of service or was taken back; `source` is `store` or the address of a peer. */
  onEvacuation?(change: ZoneEvacuation, source: string): void;
  /** The list of back ends is from a later era than before: the store was restored from an older copy. */
  onNewEra?(): void;
}

/** The state of the deployment as known to this process. */
export class FleetView {
  readonly backEnds = new BackEndList();
  /** The store's clock; processes exchange times of events in store time. */
  readonly clock = new StoreClock();
  /** How current the list of back ends is. */
  readonly freshness = new ListFreshness(this.clock);
  readonly versions = new NamedVersions(this.clock);
  readonly evacuations = new EvacuatedZones();
  readonly #listeners: FleetListener[] = [];
  #routes: RouteTable | undefined;
  #document: Buffer | undefined;
  #configurationAppliedAt = Number.NEGATIVE_INFINITY;
  /** Newest configuration revision that another process is known to have. */
  #remoteConfigurationRevision = 0;
  /** Since when a newer configuration has been known to exist, in milliseconds of the monotonic clock. */
  #behindSince = Number.POSITIVE_INFINITY;

  /** The active configuration; undefined before the first one is received. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** The active configuration as the operator wrote it. */
  get document(): Buffer | undefined {
    return this.#document;
  }

  /** Revision of the active configuration; 0 before the first one is received. */
  get configurationRevision(): number {
    return this.#routes?.configuration.revision ?? 0;
  }

  /** When the active configuration was applied, in milliseconds of the monotonic clock; minus infinity if there is none. */
  get configurationAppliedAt(): number {
    return this.#configurationAppliedAt;
  }

  /** Whether a newer configuration is known to exist; it may contain what the active one lacks. */
  get isConfigurationBehind(): boolean {
    return this.#remoteConfigurationRevision > this.configurationRevision;
  }

  /** A newer configuration that others have, and since when that is known here, in milliseconds of the monotonic clock. */
  get missingConfiguration(): { revision: number; since: number } | undefined {
    if (!this.isConfigurationBehind) return undefined;
    return { revision: this.#remoteConfigurationRevision, since: this.#behindSince };
  }

  /** Records that another process has the configuration of `revision`. */
  noteRemoteConfigurationRevision(revision: number): void {
    const wasBehind = this.isConfigurationBehind;
    this.#remoteConfigurationRevision = Math.max(this.#remoteConfigurationRevision, revision);
    if (this.isConfigurationBehind && !wasBehind) this.#behindSince = performance.now();
  }

  /** Whether requests can be routed. */
  get complete(): boolean {
    return this.#routes !== undefined && this.backEnds.revision > 0;
  }

  listen(listener: FleetListener): void {
    this.#listeners.push(listener);
  }

  /** Applies a configuration if it is newer than the active one. */
  applyConfiguration({ document, configuration }: ConfigurationDocument): boolean {
    if (this.#routes !== undefined && configuration.revision <= this.configurationRevision) return false;
    this.#routes = new RouteTable(configuration);
    this.#document = document;
    this.#configurationAppliedAt = performance.now();
    for (const listener of this.#listeners) listener.onConfiguration?.(this.#routes);
    return true;
  }

  applyNamedVersion(named: NamedVersion): void {
    if (!this.versions.add(named)) return;
    for (const listener of this.#listeners) listener.onNamedVersion?.(named);
  }

  /** @param source - `store` or the address of a peer */
  applyEvacuation(change: ZoneEvacuation, source: string): void {
    if (!this.evacuations.apply(change)) return;
    for (const listener of this.#listeners) listener.onEvacuation?.(change, source);
  }

  /** Applies changes of the list of back ends up to `revision`. */
  applyBackEndChanges(changes: readonly BackEndChange[], revision: number): void {
    this.#updateBackEnds(() => this.backEnds.apply(changes, revision));
  }

  /**
   * Replaces the list of back ends if the given one is newer.
   * @param source - the process that it is from
   */
  applyBackEndList(state: BackEndListState, source: string): void {
    if (state.revision < this.backEnds.revision) return;
    if (state.completeAsOf !== undefined) this.freshness.noteComplete(state.completeAsOf, source);
    this.#updateBackEnds(() => this.backEnds.replace(state));
  }

  /** Records that `source` knew of no change after `revision` up to `asOf`, in milliseconds of the store's clock. */
  noteListAsOf(revision: number, asOf: number, source: string): void {
    if (revision === this.backEnds.revision) this.freshness.noteComplete(asOf, source);
  }

  /** The list of back ends, to be sent to peers. */
  backEndListState(): BackEndListState {
    return { ...this.backEnds.state(), completeAsOf: this.freshness.completeAsOf };
  }

  /**
   * Applies the start that a back end reports itself; it has the same weight as one read from the store.
   * @param follows - the preceding start, if it is known
   */
  applyReportedStart(identity: BackEndIdentity, follows?: BackEndIdentity['start']): void {
    this.#notifyBackEnds(this.backEnds.applyReportedStart(identity, follows));
  }

  /** Applies the statement of a back end that it is leaving; returns whether this was not known. */
  applyLeaving(identity: BackEndIdentity): boolean {
    const changes = this.backEnds.applyLeaving(identity);
    this.#notifyBackEnds(changes);
    return changes.length > 0;
  }

  /** Applies removals that were held back. They are older than the list, and have no effect on records written since. */
  applyHeldRemovals(changes: readonly BackEndChange[]): void {
    this.#notifyBackEnds(this.backEnds.apply(changes, this.backEnds.revision));
  }

  #updateBackEnds(update: () => BackEndChange[]): void {
    const before = this.backEnds.revision;
    const changes = update();
    const isNewEra = before > 0 && eraOf(this.backEnds.revision) > eraOf(before);
    if (isNewEra) for (const listener of this.#listeners) listener.onNewEra?.();
    this.#notifyBackEnds(changes);
  }

  #notifyBackEnds(changes: readonly BackEndChange[]): void {
    if (changes.length === 0) return;
    for (const listener of this.#listeners) listener.onBackEnds?.(changes);
  }
}
