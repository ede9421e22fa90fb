/**
 * Manifest of a weight version: the ordered digests and sizes of its chunks. A version is identified by the digest of its
 * manifest, so two versions are equal exactly if all their bytes are.
 */
import { createHash } from 'node:crypto';

/** Lower-case hexadecimal SHA-256. */
export type Digest = string;

/** One chunk of a version. */
export interface ManifestChunk {
  digest: Digest;
  /** Size in bytes. */
  bytes: number;
}

/** The chunks of a version, in order. */
export interface Manifest {
  chunks: ManifestChunk[];
}

/** SHA-256 of `data`. */
export function digestOf(data: Uint8Array | string): Digest {
  return createHash('sha256').update(data).digest('hex');
}

/** The identifier of the version that `manifest` describes. */
export function versionOf(manifest: Manifest): Digest {
  const canonical = manifest.chunks.map((chunk) => `${chunk.digest}:${chunk.bytes}`).join('\n');
  return digestOf(canonical);
}

/** Total size of the version, in bytes. */
export function totalBytes(manifest: Manifest): number {
  return manifest.chunks.reduce((sum, chunk) => sum + chunk.bytes, 0);
}

/** Splits `weights` into chunks of `chunkBytes` bytes (the last one may be shorter). */
export function buildManifest(weights: Uint8Array, chunkBytes: number): Manifest {
  const chunks: ManifestChunk[] = [];
  for (let offset = 0; offset < weights.byteLength; offset += chunkBytes) {
    const data = weights.subarray(offset, offset + chunkBytes);
    chunks.push({ digest: digestOf(data), bytes: data.byteLength });
  }
  return { chunks };
}

/** Whether `manifest` describes `version`. */
export function isManifestOf(manifest: Manifest, version: Digest): boolean {
  return versionOf(manifest) === version;
}
