/**
 * The stage of the engine beside this process, which holds one version of a model: pieces are laid there, and read back
 * before the engine is ordered to take them, as they may turn bad there.
 */
import { digestOf } from '../model/manifest.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { HeldWeights, WeightsLibrary } from './held-weights.js';
import type { StagedEngine } from './staged-engine.js';

/** Pieces that are written or read back concurrently; the stage is on this machine. */
const CONCURRENCY = 4;
const CALL_TIMEOUT = 1_000;

/** The stage. */
export class EngineStage {
  readonly #engine: StagedEngine;
  readonly #log: Log;
  /** Version whose pieces lie there, as far as this process knows. */
  #version = 0;
  /** How often what lies there had to be forgotten. */
  #generation = 0;

  constructor(engine: StagedEngine, log: Log) {
    this.#engine = engine;
    this.#log = log;
  }

  /** The engine has started again: what lies there is not known. */
  invalidate(): void {
    this.#version = 0;
    this.#generation++;
  }

  /** Lays every piece of a whole version down, unless it lies there already. */
  async fill(held: HeldWeights, signal: AbortSignal): Promise<void> {
    const { model, version, digests } = held.manifest;
    if (this.#version === version) return;
    const generation = this.#generation;
    await forEachConcurrently([...digests.keys()], async (index) => {
      await this.#engine.stage(model, index, held.piece(index)!, withLimit(signal, CALL_TIMEOUT));
    });
    if (generation === this.#generation) this.#version = version;
  }

  /** Reads every piece back and replaces those that have turned bad; false where one cannot be mended. */
  async verify(held: HeldWeights, signal: AbortSignal): Promise<boolean> {
    const { model, version, digests } = held.manifest;
    let isComplete = true;
    await forEachConcurrently([...digests.keys()], async (index) => {
      const isIntact = async () => {
        const bytes = await this.#engine.staged(model, index, withLimit(signal, CALL_TIMEOUT));
        return bytes.ok && bytes.value !== undefined && digestOf(bytes.value) === digests[index];
      };
      if (await isIntact()) return;
      this.#log.info('staged piece was bad', { model, version, piece: index });
      await this.#engine.stage(model, index, held.piece(index)!, withLimit(signal, CALL_TIMEOUT));
      if (!(await isIntact())) isComplete = false;
    });
    return isComplete;
  }

  /** Takes over into `library` what lies there of the version of `held`: others can have it from this process. */
  async read(held: HeldWeights, library: WeightsLibrary, signal: AbortSignal): Promise<void> {
    const { model, version } = held.manifest;
    for (const index of held.missing()) {
      const bytes = await this.#engine.staged(model, index, withLimit(signal, CALL_TIMEOUT));
      if (bytes.ok && bytes.value !== undefined) library.add(held, index, bytes.value);
    }
    this.#log.info('stage read', { model, version, pieces: held.have.size });
  }
}

/** Runs `work` for each item, some at a time. */
async function forEachConcurrently<T>(items: readonly T[], work: (item: T) => Promise<void>): Promise<void> {
  const rest = [...items];
  const worker = async () => {
    for (let item = rest.shift(); item !== undefined; item = rest.shift()) await work(item);
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, worker));
}
