/** Finds the manifest of a version at whoever has it. */
import type { ObjectStore } from '../clients/object-store.js';
import { sleep } from '../fleet/table-follower.js';
import { withLimit } from '../model/time-limit.js';
import type { PieceManifest, WeightsLibrary, WeightsVersion } from './held-weights.js';
import type { PieceOrigin } from './piece-source.js';
import { fetchManifest, fetchStoredManifest } from './piece-sources.js';

/** Time for one call, in milliseconds: a manifest is a few kilobytes. */
const CALL_TIMEOUT = 1_000;
/**
 * The next holder is asked where one has not answered in this time, in milliseconds: above an answer over a busy link. Asked
 * only after the time for a call, five holders on machines that are frozen would take 5 of the 8 s in which a version must serve.
 */
const HOLDER_STAGGER = 150;
/** Pause before all are asked again, in milliseconds. */
const ROUND_PAUSE = 200;

/** Who may have it. */
export interface ManifestSources {
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
  { library, processes, origin, objects }: ManifestSources,
  signal: AbortSignal,
): Promise<PieceManifest | undefined> {
  const callSignal = () => withLimit(signal, CALL_TIMEOUT);
  while (!signal.aborted) {
    const known = library.of(version);
    if (known !== undefined) return known.manifest;
    const held = await queryHolders(processes(), version, callSignal, signal);
    if (held !== undefined) return held;
    const drawn = await origin()?.manifest(version, callSignal());
    if (drawn?.ok) return drawn.value;
    const store = objects();
    const stored = store && (await fetchStoredManifest(store, version, callSignal()));
    if (stored !== undefined) return stored;
    await sleep(ROUND_PAUSE, signal);
  }
  return undefined;
}

/** Asks the processes at `addresses`, the next as one has nothing or is silent; undefined once none of them has it. */
async function queryHolders(
  addresses: readonly string[],
  version: WeightsVersion,
  limit: () => AbortSignal,
  signal: AbortSignal,
): Promise<PieceManifest | undefined> {
  let found: PieceManifest | undefined;
  const requests: Array<Promise<unknown>> = [];
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
    requests.push(answer);
    await Promise.race([answer, first, sleep(HOLDER_STAGGER, signal)]);
    if (found !== undefined) return found;
  }
  await Promise.race([first, Promise.all(requests)]);
  return found;
}
