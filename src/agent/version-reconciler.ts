/**
 * Brings an agent in line with its assignments. It requests the manifest of each assigned version, joins its burst and
 * loads it once it is complete. A version that is no longer assigned is unloaded once all assigned ones are ready and no
 * request uses it.
 */
import { type Digest, isManifestOf, type Manifest, totalBytes } from '../model/manifest.js';
import type { Log } from '../observability/log.js';
import type { Timeline } from '../observability/timeline.js';
import type { Assignment, VersionProgress } from '../protocol/messages.js';
import type { BurstLinks } from './burst-links.js';
import type { VersionError } from './errors.js';
import type { Exchange } from './exchange.js';
import type { VersionLoader } from './version-loader.js';

/** Components of a version reconciler. */
export interface VersionReconcilerComponents {
  exchange: Exchange;
  bursts: BurstLinks;
  loader: VersionLoader;
  timeline: Timeline;
  log: Log;
  /** Requests a manifest from the home entry, which is passed to {@link VersionReconciler.onManifest}. */
  requestManifest: (version: Digest) => void;
  /** Number of requests in progress for a version. */
  requestsInProgress: (version: Digest) => number;
}

/** Reconciles the versions of one agent. */
export class VersionReconciler {
  readonly #components: VersionReconcilerComponents;
  readonly #manifests = new Map<Digest, Manifest>();
  #assignments: Assignment[] = [];
  #revision = 0;
  readonly #problems = new Map<Digest, VersionError>();

  constructor(components: VersionReconcilerComponents) {
    this.#components = components;
  }

  /** Applies new assignments. Those of an older revision than the current ones are ignored. */
  assign(assignments: Assignment[], revision: number): void {
    if (revision < this.#revision) return;
    this.#revision = revision;
    const known = new Set(this.#assignments.map((row) => row.version));
    this.#assignments = assignments;
    for (const { deployment, version } of assignments) {
      if (!known.has(version)) this.#components.timeline.record({ type: 'assigned', deployment, version });
    }
    this.reconcile();
  }

  /** Handles a received manifest, which is used only if the version is its digest. */
  onManifest(version: Digest, manifest: Manifest): void {
    if (!isManifestOf(manifest, version)) {
      this.#problems.set(version, { type: 'manifestMismatch', version });
      return this.#components.log.error('manifest does not match its version', { version });
    }
    this.#manifests.set(version, manifest);
    this.#problems.delete(version);
    this.reconcile();
  }

  /** Handles the failure of a manifest request. The manifest is requested again at the next reconciliation. */
  onManifestUnavailable(version: Digest, reason: string): void {
    this.#problems.set(version, { type: 'manifestUnavailable', version, reason });
  }

  /** Handles a complete and verified version: loads it into the engine. */
  onComplete(version: Digest): void {
    const isAssigned = this.#assignments.some((row) => row.version === version);
    const manifest = this.#manifests.get(version);
    if (isAssigned && manifest !== undefined)
      void this.#components.loader.load(version, manifest, this.#revision);
  }

  /** Brings transfers and the engine in line with the assignments; called periodically and after each change. */
  reconcile(): void {
    const wanted = new Set(this.#assignments.map((row) => row.version));
    this.#stopUnwantedTransfers(wanted);
    this.#dropUnwantedManifests(wanted);
    for (const assignment of this.#assignments) this.#ensureTransfer(assignment);
    this.#unloadSuperseded(wanted);
  }

  /** The progress of each assigned or loaded version. */
  progress(): VersionProgress[] {
    const { loader, exchange } = this.#components;
    const versions = new Set([...this.#assignments.map((row) => row.version), ...loader.ready]);
    return [...versions].map((version) => {
      const manifest = this.#manifests.get(version);
      const bytesTotal = manifest === undefined ? 0 : totalBytes(manifest);
      const held = exchange.held(version);
      const share = held === undefined ? 0 : held.size / held.capacity;
      const bytesHeld = Math.round(bytesTotal * share);
      const ready = loader.ready.has(version);
      const problem = ready ? '' : (this.#problems.get(version)?.type ?? '');
      return { version, bytesHeld, bytesTotal, ready, problem };
    });
  }

  #ensureTransfer(assignment: Assignment): void {
    const { version } = assignment;
    const { loader, exchange, bursts, requestManifest } = this.#components;
    if (loader.ready.has(version) && exchange.held(version) === undefined) return;
    const manifest = this.#manifests.get(version);
    if (manifest === undefined) return requestManifest(version);
    if (!exchange.begin(assignment, manifest)) {
      const neededBytes = totalBytes(manifest);
      this.#problems.set(version, { type: 'memoryBudgetExceeded', version, neededBytes });
      return;
    }
    this.#problems.delete(version);
    bursts.join(assignment);
    // An engine that restarts loses what it had loaded.
    if (exchange.held(version)?.complete) this.onComplete(version);
  }

  #stopUnwantedTransfers(wanted: ReadonlySet<Digest>): void {
    const { exchange, bursts } = this.#components;
    for (const version of [...exchange.node.transfers.keys()]) {
      if (wanted.has(version)) continue;
      bursts.leave(version);
      exchange.end(version);
    }
  }

  /** Drops manifests of versions that are neither assigned nor served, as that of a large model takes about 1 MB. */
  #dropUnwantedManifests(wanted: ReadonlySet<Digest>): void {
    const { loader } = this.#components;
    for (const version of [...this.#manifests.keys(), ...this.#problems.keys()]) {
      if (wanted.has(version) || loader.ready.has(version)) continue;
      this.#manifests.delete(version);
      this.#problems.delete(version);
    }
  }

  #unloadSuperseded(wanted: ReadonlySet<Digest>): void {
    const { loader, requestsInProgress } = this.#components;
    const allWantedReady = [...wanted].every((version) => loader.ready.has(version));
    if (!allWantedReady || this.#revision === 0) return;
    for (const version of loader.ready) {
      if (wanted.has(version) || requestsInProgress(version) > 0) continue;
      void loader.unload(version, this.#revision);
    }
  }
}
