/** The versions of a stand-in engine: chunks put beside the running version, loaded by a fenced order. */
import { type Digest, digestOf, type Manifest, versionOf } from '../../src/model/manifest.js';

/** Who may give orders: an older agent process or an older declaration may not. */
export interface Fence {
  /** Grows with each agent process of the machine. */
  epoch: number;
  /** Revision of the declaration that the order follows. */
  revision: number;
}

/** A version that lies in the engine. */
export interface EngineVersion {
  version: Digest;
  state: 'staging' | 'loading' | 'loaded';
  /** What the engine itself computed from the bytes that it loaded. */
  loadedDigest: Digest | undefined;
}

/** What truly happened to the engine's weights. */
export interface WeightsAudit {
  loads: number;
  partialLoads: number;
  ordersRefused: number;
  staleOrdersRun: number;
}

/** The weights of one engine. */
export class EngineWeights {
  readonly audit: WeightsAudit = { loads: 0, partialLoads: 0, ordersRefused: 0, staleOrdersRun: 0 };
  readonly versions = new Map<Digest, EngineVersion>();
  readonly #staged = new Map<Digest, Map<number, { digest: Digest; bytes: number }>>();
  readonly #checksFences: boolean;
  #fence: Fence = { epoch: 0, revision: 0 };

  constructor(checksFences: boolean) {
    this.#checksFences = checksFences;
  }

  get fence(): Fence {
    return this.#fence;
  }

  /** An agent process claims the engine: the epoch must be the next one. */
  claim(epoch: number): boolean {
    if (epoch !== this.#fence.epoch + 1) return false;
    this.#fence = { ...this.#fence, epoch };
    return true;
  }

  /** Puts a chunk beside what runs. */
  stage(version: Digest, index: number, data: Uint8Array): void {
    let chunks = this.#staged.get(version);
    if (chunks === undefined) {
      chunks = new Map();
      this.#staged.set(version, chunks);
      this.versions.set(version, { version, state: 'staging', loadedDigest: undefined });
    }
    chunks.set(index, { digest: digestOf(data), bytes: data.byteLength });
  }

  /** Admits an order if its fence is not older than the latest one. */
  admits(fence: Fence): boolean {
    const stale = fence.epoch < this.#fence.epoch || fence.revision < this.#fence.revision;
    if (!stale) {
      this.#fence = fence;
      return true;
    }
    if (this.#checksFences) {
      this.audit.ordersRefused++;
      return false;
    }
    this.audit.staleOrdersRun++;
    return true;
  }

  /** Begins to load what was staged of a version, whole or not: the engine does as it is told. */
  beginLoad(version: Digest): void {
    const entry = this.versions.get(version);
    if (entry !== undefined && entry.state === 'staging') entry.state = 'loading';
  }

  /** Ends a load; the digest that the engine reports is computed from what it was given. */
  endLoad(version: Digest): void {
    const entry = this.versions.get(version);
    if (entry === undefined || entry.state !== 'loading') return;
    entry.state = 'loaded';
    entry.loadedDigest = versionOf(this.#stagedManifest(version));
    this.audit.loads++;
    if (entry.loadedDigest !== version) this.audit.partialLoads++;
    this.#staged.delete(version);
  }

  unload(version: Digest): void {
    this.versions.delete(version);
    this.#staged.delete(version);
  }

  /** The loaded version that a request may name. */
  serving(version: Digest): EngineVersion | undefined {
    const entry = this.versions.get(version);
    return entry?.state === 'loaded' ? entry : undefined;
  }

  #stagedManifest(version: Digest): Manifest {
    const staged = [...(this.#staged.get(version) ?? new Map())].sort(([a], [b]) => a - b);
    return { chunks: staged.map(([, chunk]) => chunk) };
  }
}
