/** Finds the manifest of a version at whoever has it. */
import type { ObjectStore } from '../clients/object-store.js';
import { sleep } from '../fleet/table-follower.js';
import { withLimit } from '../model/time-limit.js';
import type { PieceManifest, WeightsLibrary, WeightsVersion } from './held-weights.js';
import type { PieceOrigin } from './piece-source.js';
import { fetchManifest, fetchStoredManifest } from './piece-sources.js';

/** Time for one call, in milliseconds: a manifest is a few kilobytes. */
const CALL_LIMIT = 1_000;
/** Pause before all are asked again, in milliseconds. */
const PAUSE = 200;

/** Who may have it. */
export interface ManifestHolders {
  library: WeightsLibrary;
  /** Addresses of processes of the system that hold something of the version; read anew at each round. */
  processes: () => string[];
  /**
   * The origin of weights, where one is known and it is this process's turn to ask it; read anew at each round. It accepts
   * few connections: if 100 entries and their agents ask it at once, it turns away whoever is to draw the pieces.
   */
  origin: () => PieceOrigin | undefined;
  /** The object store, where it is this process's turn to ask it; read anew at each round. */
  objects: () => ObjectStore | undefined;
}

/** Asks everybody in turn until the manifest is found; undefined only at `signal`. */
export async function findManifest(
  version: WeightsVersion,
  { library, processes, origin, objects }: ManifestHolders,
  signal: AbortSignal,
): Promise<PieceManifest | undefined> {
  const limit = () => withLimit(signal, CALL_LIMIT);
  while (!signal.aborted) {
    const known = library.of(version);
    if (known !== undefined) return known.manifest;
    for (const address of processes()) {
      const answer = await fetchManifest(address, version, limit());
      if (answer.ok) return answer.value;
    }
    const drawn = await origin()?.manifest(version, limit());
    if (drawn?.ok) return drawn.value;
    const store = objects();
    const stored = store && (await fetchStoredManifest(store, version, limit()));
    if (stored !== undefined) return stored;
    await sleep(PAUSE, signal);
  }
  return undefined;
}
