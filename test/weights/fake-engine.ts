/** An engine, and an object store with weights for it, for tests of the agent. */
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { digestOf } from '../../src/model/manifest.js';
import { failure, success } from '../../src/model/result.js';
import type { PieceManifest } from '../../src/weights/held-weights.js';
import type { PieceOrigin } from '../../src/weights/piece-source.js';
import { partsOf, storedManifestKey } from '../../src/weights/piece-sources.js';
import type { EngineState, StagedEngine, StartOrder } from '../../src/weights/staged-engine.js';

export const LAYERS = 16;
const PIECES = 4;

const pieceOf = (version: number, index: number) =>
  Buffer.from(`piece ${index} of version ${version}`.padEnd(32));

function manifestOf(version: number): PieceManifest {
  const digests = Array.from({ length: PIECES }, (_, index) => digestOf(pieceOf(version, index)));
  return { model: 'm', version, pieceBytes: 32, digests };
}

/** The origin of a deployment whose versions are all in the object store. */
export const unavailableOrigin: PieceOrigin = {
  manifest: async () => failure({ type: 'sourceFailed', reason: 'away' }),
  piece: async () => failure({ type: 'sourceFailed', reason: 'away' }),
};

/** An object store that holds a complete version. */
export async function objectsWith(version: number): Promise<MemoryStore> {
  const objects = new MemoryStore();
  const manifest = manifestOf(version);
  const objectOf = (key: string, bytes: Buffer) => objects.put(key, bytes, AbortSignal.timeout(1_000));
  for (const { key, pieces } of partsOf(manifest))
    await objectOf(key, Buffer.concat(pieces.map((index) => pieceOf(version, index))));
  await objectOf(storedManifestKey(manifest), Buffer.from(JSON.stringify(manifest)));
  return objects;
}

/** An engine that serves version 1 of the model `m`, and loads what it is ordered to at once. */
export class FakeEngine implements StagedEngine {
  readonly running: StartOrder['running'][] = [];
  readonly #stage = new Map<number, Buffer>();
  #layers: EngineState['layers'] = { from: 0, end: LAYERS, version: 1 };

  async state() {
    const sequence = this.running.length;
    return success({ model: 'm', layers: this.#layers, isBusy: false, load: 6, sequence });
  }

  async stage(_model: string, index: number, bytes: Buffer) {
    this.#stage.set(index, bytes);
    return success(undefined);
  }

  async staged(_model: string, index: number) {
    return success(this.#stage.get(index));
  }

  async start({ version, running }: StartOrder) {
    this.running.push(running);
    this.#layers = { from: 0, end: LAYERS, version };
    return success({ type: 'taken' } as const);
  }
}
