/** Weights made from seeds: the same settings give the same bytes, so nothing has to be stored. */
import { createCipheriv } from 'node:crypto';
import { type Digest, digestOf, type Manifest, versionOf } from '../../src/model/manifest.js';
import type { PlatformEmulatorSettings } from '../../src/settings/schemas.js';

/** A version as the settings of the stand-in give it. */
export type VersionSettings = PlatformEmulatorSettings['origin']['versions'][number];

/** A version that lies at the origin. */
export interface OriginVersion {
  label: string;
  version: Digest;
  manifest: Manifest;
}

/** The bytes of a chunk, made from a seed and the chunk's index. */
function chunkBytes(seed: number, index: number, bytes: number): Buffer {
  const key = Buffer.alloc(16);
  key.writeInt32LE(seed | 0, 0);
  const start = Buffer.alloc(16);
  start.writeUInt32LE(index, 0);
  return createCipheriv('aes-128-ctr', key, start).update(Buffer.alloc(bytes));
}

/** All versions of an origin, and the bytes of their chunks by digest. */
export class OriginWeights {
  readonly versions: OriginVersion[] = [];
  readonly #sources = new Map<Digest, { seed: number; index: number; bytes: number }>();

  constructor(settings: readonly VersionSettings[]) {
    for (const version of settings) this.versions.push(this.#create(version));
  }

  /** The bytes of a chunk, or undefined when there is none of that digest. */
  chunk(digest: Digest): Buffer | undefined {
    const source = this.#sources.get(digest);
    return source === undefined ? undefined : chunkBytes(source.seed, source.index, source.bytes);
  }

  #create(settings: VersionSettings): OriginVersion {
    const count = Math.ceil(settings.bytes / settings.chunkBytes);
    const unchanged = Math.floor(count * settings.unchangedShare);
    const manifest: Manifest = { chunks: [] };
    for (let index = 0; index < count; index++) {
      const bytes = Math.min(settings.chunkBytes, settings.bytes - index * settings.chunkBytes);
      const seed = index < unchanged ? settings.seed : settings.changedSeed;
      const digest = digestOf(chunkBytes(seed, index, bytes));
      this.#sources.set(digest, { seed, index, bytes });
      manifest.chunks.push({ digest, bytes });
    }
    return { label: settings.label, version: versionOf(manifest), manifest };
  }
}
