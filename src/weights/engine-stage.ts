/**
 * The staging area of the engine next to this agent, which holds one version of a model. Pieces are written
 * there, and read back before the engine is ordered to load them, as they may become corrupt there.
 */
import { digestOf } from '../model/manifest.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import type { HeldWeights, WeightsLibrary } from './held-weights.js';
import type { StagedEngine } from './staged-engine.js';

/** Pieces that are written or read back concurrently; the stage is on the same machine. */
const CONCURRENCY = 4;
const CALL_TIMEOUT = 1_000;

/** What reading back a whole version found. Times are in milliseconds, the first one of the monotonic clock. */
export interface StageCheck {
  /** False if a piece stayed corrupt. */
  isComplete: boolean;
  /** When the oldest of the checks that found a piece intact began. */
  oldestAt: number;
  /** How long reading back took. */
  took: number;
  /** Number of corrupt pieces that were written again. */
  replaced: number;
}

/** Writes, verifies and imports the pieces of the stage. */
export class EngineStage {
  readonly #engine: StagedEngine;
  readonly #log: Log;
  /** Version whose pieces are in the stage, as far as is known; 0 if unknown. */
  #version = 0;
  /**
   * Incremented by each invalidation, so that a write that was in progress then does not count as complete.
   */
  #generation = 0;

  constructor(engine: StagedEngine, log: Log) {
    this.#engine = engine;
    this.#log = log;
  }

  /** Marks the contents of the stage as unknown, because the engine has restarted. */
  invalidate(): void {
    this.#version = 0;
    this.#generation++;
  }

  /** Writes every piece of a complete version, unless the stage already holds that version. */
  async fill(held: HeldWeights, signal: AbortSignal): Promise<void> {
    const { model, version, digests } = held.manifest;
    if (this.#version === version) return;
    const generation = this.#generation;
    await forEachConcurrently([...digests.keys()], async (index) => {
      await this.#engine.stage(model, index, held.piece(index)!, withLimit(signal, CALL_TIMEOUT));
    });
    if (generation === this.#generation) this.#version = version;
  }

  /** Reads every piece back and rewrites corrupt ones. */
  async verify(held: HeldWeights, signal: AbortSignal): Promise<StageCheck> {
    const { model, version, digests } = held.manifest;
    const beganAt = performance.now();
    const check: StageCheck = { isComplete: true, oldestAt: beganAt, took: 0, replaced: 0 };
    const intactAt: number[] = [];
    await forEachConcurrently([...digests.keys()], async (index) => {
      const isIntact = async () => {
        const askedAt = performance.now();
        const bytes = await this.#engine.staged(model, index, withLimit(signal, CALL_TIMEOUT));
        intactAt[index] = askedAt;
        return bytes.ok && bytes.value !== undefined && digestOf(bytes.value) === digests[index];
      };
      if (await isIntact()) return;
      this.#log.info('staged piece was bad', { model, version, piece: index });
      check.replaced++;
      await this.#engine.stage(model, index, held.piece(index)!, withLimit(signal, CALL_TIMEOUT));
      if (!(await isIntact())) check.isComplete = false;
    });
    return { ...check, oldestAt: Math.min(...intactAt), took: performance.now() - beganAt };
  }

  /**
   * Adds the staged pieces of the version of `held` to `library`, so that other processes can fetch them from
   * this agent.
   */
  async read(held: HeldWeights, library: WeightsLibrary, signal: AbortSignal): Promise<void> {
    const { model, version } = held.manifest;
    for (const index of held.missing()) {
      const bytes = await this.#engine.staged(model, index, withLimit(signal, CALL_TIMEOUT));
      if (bytes.ok && bytes.value !== undefined) library.add(held, index, bytes.value);
    }
    this.#log.info('pieces imported from stage', { model, version, pieces: held.have.size });
  }
}

/** Runs `work` for each item, {@link CONCURRENCY} at a time. */
async function forEachConcurrently<T>(items: readonly T[], work: (item: T) => Promise<void>): Promise<void> {
  const rest = [...items];
  const worker = async () => {
    for (let item = rest.shift(); item !== undefined; item = rest.shift()) await work(item);
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, worker));
}
