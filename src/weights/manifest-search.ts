/** Finds the manifest of a version at whoever has it. */
import type { ObjectStore } from '../clients/object-store.js';
import { sleep } from '../fleet/table-follower.js';
import { withLimit } from '../model/time-limit.js';
import type { PieceManifest, WeightsLibrary, WeightsVersion } from './held-weights.js';
import type { PieceOrigin } from './piece-source.js';
import { fetchManifest, fetchStoredManifest } from './piece-sources.js';

/** Time for one call, in milliseconds: a manifest is a few kilobytes. */
const CALL_LIMIT = 1_000;
/**
 * The next holder is asked where one has not answered in this time, in milliseconds: above an answer over a busy link. Asked
 * only after the time for a call, five holders on machines that are frozen would take 5 of the 8 s in which a version must serve.
 */
const STAGGER = 150;
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
    const held = await askHolders(processes(), version, limit, signal);
    if (held !== undefined) return held;
    const drawn = await origin()?.manifest(version, limit());
    if (drawn?.ok) return drawn.value;
    const store = objects();
    const stored = store && (await fetchStoredManifest(store, version, limit()));
    if (stored !== undefined) return stored;
    await sleep(PAUSE, signal);
  }
  return undefined;
}

/** Asks the processes at `addresses`, the next as one has nothing or is silent; undefined once none of them has it. */
async function askHolders(
  addresses: readonly string[],
  version: WeightsVersion,
  limit: () => AbortSignal,
  signal: AbortSignal,
): Promise<PieceManifest | undefined> {
  let found: PieceManifest | undefined;
  const asked: Array<Promise<unknown>> = [];
  let onFound = () => {};
  const first = new Promise<void>((resolve) => {
    onFound = resolve;
  });
  for (const address of addresses) {
    const answer = fetchManifest(address, version, limit()).then((manifest) => {
      if (!manifest.ok) return;
      found ??= manifest.value;
      onFound();
    });
    asked.push(answer);
    await Promise.race([answer, first, sleep(STAGGER, signal)]);
    if (found !== undefined) return found;
  }
  await Promise.race([first, Promise.all(asked)]);
  return found;
}
