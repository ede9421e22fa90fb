/** Finds the manifest of a version at peers, the origin or the object store. */
import type { ObjectStore } from '../clients/object-store.js';
import { sleep } from '../fleet/table-follower.js';
import { withLimit } from '../model/time-limit.js';
import type { PieceManifest, WeightsLibrary, WeightsVersion } from './held-weights.js';
import type { PieceOrigin } from './piece-source.js';
import { fetchManifest, fetchStoredManifest } from './piece-sources.js';

/** Timeout for one call, in milliseconds: a manifest is a few kilobytes. */
const CALL_TIMEOUT = 1_000;
/**
 * The next holder is queried if one has not answered within this time, in milliseconds: longer than an answer
 * takes over a busy link. If each were given the whole timeout, five holders on frozen machines would take 5
 * of the 8 s within which a version must be serving.
 */
const HOLDER_STAGGER = 150;
/** Pause between two rounds, in milliseconds. */
const ROUND_PAUSE = 200;

/** Where the manifest may be found. */
export interface ManifestSources {
  library: WeightsLibrary;
  /** Addresses of processes of the system that hold pieces of the version; called in each round. */
  processes: () => string[];
  /**
   * The origin of weights, if one is configured and it is this process's turn to query it; called in each
   * round. The origin accepts few connections: if 100 entries and their agents query it at once, it rejects
   * the entry that is to draw the pieces.
   */
  origin: () => PieceOrigin | undefined;
  /** The object store, if it is this process's turn to query it; called in each round. */
  objects: () => ObjectStore | undefined;
}

/** Queries all sources in turn until the manifest is found; returns undefined only if `signal` aborts. */
export async function findManifest(
  version: WeightsVersion,
  { library, processes, origin, objects }: ManifestSources,
  signal: AbortSignal,
): Promise<PieceManifest | undefined> {
  const callSignal = () => withLimit(signal, CALL_TIMEOUT);
  const drawn = new DrawnManifests();
  while (!signal.aborted) {
    const known = library.of(version);
    if (known !== undefined) return known.manifest;
    const held = await queryHolders(processes(), version, callSignal, signal);
    if (held !== undefined) return held;
    const agreed = await drawn.query(origin, version, callSignal);
    if (agreed !== undefined) return agreed;
    const store = objects();
    const stored = store && (await fetchStoredManifest(store, version, callSignal()));
    if (stored !== undefined) return stored;
    await sleep(ROUND_PAUSE, signal);
  }
  return undefined;
}

/**
 * The answers of the origin, which may be corrupt in transit. No digest is known that a manifest could be compared with, so one is
 * accepted only if two answers agree.
 */
class DrawnManifests {
  readonly #answers = new Set<string>();

  /** Queries the origin until two answers agree, at most three times; undefined if none do. */
  async query(
    origin: () => PieceOrigin | undefined,
    version: WeightsVersion,
    limit: () => AbortSignal,
  ): Promise<PieceManifest | undefined> {
    const ask = async () => origin()?.manifest(version, limit());
    // Two at once, as each takes a round trip to the origin's region.
    const answers = await Promise.all([ask(), ask()]);
    const agreed = answers.map((answer) => this.#agreed(answer)).find((manifest) => manifest !== undefined);
    if (agreed !== undefined || !answers.every((answer) => answer?.ok)) return agreed;
    return this.#agreed(await ask());
  }

  /** The manifest of an answer if an earlier answer was the same. */
  #agreed(answer: Awaited<ReturnType<PieceOrigin['manifest']>> | undefined): PieceManifest | undefined {
    if (!answer?.ok) return undefined;
    const text = JSON.stringify(answer.value);
    if (this.#answers.has(text)) return answer.value;
    this.#answers.add(text);
    return undefined;
  }
}

/**
 * Queries the processes at `addresses`, each as soon as the one before has no manifest or does not answer in
 * time; undefined if none of them has it.
 */
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
