/**
 * The staging area of the engine next to this agent, which holds one version of a model. Pieces are written
 * there, and read back before and, where needed, after the engine is ordered to load them, as they may become
 * corrupt there at any time.
 */
import { type Digest, digestOf } from '../model/manifest.js';
import { withLimit } from '../model/time-limit.js';
import type { Log } from '../observability/log.js';
import { MAX_CHECK_AGE, StageChecks } from '../systems/stage-checks.js';
import { CallTime, forEachConcurrently } from './concurrency.js';
import type { HeldWeights, WeightsLibrary } from './held-weights.js';
import type { StagedEngine } from './staged-engine.js';

const CALL_TIMEOUT = 1_000;
/**
 * Time in which the engine may still carry out a write whose sender has given it up or has ended, in milliseconds. An engine that
 * stands still for longer is not expected.
 */
const LATE_WRITE_TIME = 10_000;
/** Maximum age of checks on which an order is prepared, in milliseconds. The rest is for reading the engine's state. */
const REFRESHED_AGE = 0.85 * MAX_CHECK_AGE;
/** Checks older than this are renewed while any is too old, so that all are young at the same time. */
const RENEWED_AGE = 0.25 * MAX_CHECK_AGE;

/** Writes, verifies and imports the pieces of the stage. */
export class EngineStage {
  readonly #engine: StagedEngine;
  readonly #log: Log;
  readonly #readTime = new CallTime();
  readonly #writeTime = new CallTime();
  /** The checks in progress, by piece. */
  readonly #inProgress = new Map<number, Promise<void>>();
  /** Version whose pieces are in the stage, as far as is known; 0 if unknown. */
  #version = 0;
  #checks = new StageChecks(0);
  /** The digests of that version. */
  #digests: readonly Digest[] = [];
  /**
   * Incremented by each invalidation, so that a write that was in progress then does not count as complete.
   */
  #generation = 0;
  /** The digests of writes without an answer, which may still be carried out, and when each began last, by piece. */
  readonly #unanswered = new Map<number, Map<Digest, number>>();
  /** Until when a previous process's writes may still be carried out, in milliseconds of the monotonic clock. */
  #otherWritesUntil = performance.now() + LATE_WRITE_TIME;
  /** Number of corrupt pieces that were written again since the start of this process. */
  replaced = 0;

  constructor(engine: StagedEngine, log: Log) {
    this.#engine = engine;
    this.#log = log;
  }

  /** The checks of the pieces of the version that was filled in last. */
  get checks(): StageChecks {
    return this.#checks;
  }

  /** Marks the contents of the stage as unknown, because the engine has restarted. */
  invalidate(): void {
    this.#version = 0;
    this.#checks = new StageChecks(0);
    this.#unanswered.clear();
    // They ended with the engine's connections.
    this.#otherWritesUntil = Number.NEGATIVE_INFINITY;
    this.#generation++;
  }

  /** Writes every piece of a complete version, unless the stage already holds that version. */
  async fill(held: HeldWeights, signal: AbortSignal): Promise<void> {
    const { version, digests } = held.manifest;
    if (this.#version === version) return;
    const generation = this.#generation;
    this.#version = 0;
    // Checks in progress compare with another version and must not write it from now on.
    this.#checks = new StageChecks(0);
    await Promise.all(this.#inProgress.values());
    await forEachConcurrently(
      [...digests.keys()],
      () => this.#writeTime.concurrency(digests.length),
      (index) => this.#write(held, index, signal),
    );
    if (generation !== this.#generation) return;
    this.#version = version;
    this.#checks = new StageChecks(digests.length, this.#otherWritesUntil);
    this.#digests = digests;
    for (const index of this.#unanswered.keys()) this.#noteLateWrites(index);
  }

  /**
   * Reads back those of `pieces` whose checks become too old for an order, oldest first, and rewrites corrupt ones, until `isDone`
   * holds or `timeLimit` has passed, in milliseconds. Reads in progress then go on. Returns whether `isDone` holds.
   */
  async refresh(
    held: HeldWeights,
    pieces: readonly number[],
    isDone: () => boolean,
    timeLimit: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const checks = this.#checks;
    const endsAt = performance.now() + timeLimit;
    while (!isDone()) {
      const now = performance.now();
      if (signal.aborted || now >= endsAt || checks !== this.#checks) return false;
      const due = checks
        .uncheckedSince(now - RENEWED_AGE, pieces)
        .filter((piece) => !this.#inProgress.has(piece))
        .slice(0, Math.max(0, this.#readTime.concurrency(pieces.length) - this.#inProgress.size));
      for (const piece of due) this.#startCheck(held, piece, checks, signal);
      if (this.#inProgress.size === 0) return isDone();
      await Promise.race(this.#inProgress.values());
    }
    return true;
  }

  /** Whether the checks of all `pieces` leave enough time for an order now, and what it loads can be proven. */
  isFresh(pieces: readonly number[]): boolean {
    if (!pieces.every((piece) => this.#checks.isProvable(piece))) return false;
    return performance.now() - this.#checks.oldestOf(pieces) <= REFRESHED_AGE;
  }

  #startCheck(held: HeldWeights, piece: number, checks: StageChecks, signal: AbortSignal): void {
    const check = this.#check(held, piece, checks, signal).finally(() => this.#inProgress.delete(piece));
    this.#inProgress.set(piece, check);
  }

  /** Reads a piece back; rewrites it if it is corrupt. */
  async #check(held: HeldWeights, piece: number, checks: StageChecks, signal: AbortSignal): Promise<void> {
    if ((await this.#isIntact(held, piece, checks, signal)) !== false || signal.aborted) return;
    if (checks !== this.#checks) return;
    const { model, version } = held.manifest;
    this.#log.info('staged piece was bad', { model, version, piece });
    this.replaced++;
    await this.#write(held, piece, signal);
    await this.#isIntact(held, piece, checks, signal);
  }

  /** Reads pieces back without writing any, and records what it finds. */
  async readBack(held: HeldWeights, pieces: readonly number[], signal: AbortSignal): Promise<void> {
    const checks = this.#checks;
    const limit = () => this.#readTime.concurrency(pieces.length);
    await forEachConcurrently(pieces, limit, async (piece) => {
      await this.#isIntact(held, piece, checks, signal);
    });
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

  /** Reads a piece back; undefined if the engine did not answer. */
  async #isIntact(
    { manifest: { model, digests } }: HeldWeights,
    index: number,
    checks: StageChecks,
    signal: AbortSignal,
  ): Promise<boolean | undefined> {
    const askedAt = performance.now();
    const bytes = await this.#engine.staged(model, index, withLimit(signal, CALL_TIMEOUT));
    this.#readTime.note(performance.now() - askedAt);
    if (!bytes.ok) return undefined;
    const isIntact = bytes.value !== undefined && digestOf(bytes.value) === digests[index];
    if (isIntact) checks.noteIntact(index, askedAt, performance.now());
    else checks.noteCorrupt(index);
    return isIntact;
  }

  async #write(held: HeldWeights, index: number, signal: AbortSignal): Promise<void> {
    const { model, digests } = held.manifest;
    const limited = withLimit(signal, CALL_TIMEOUT);
    const beganAt = performance.now();
    const written = await this.#engine.stage(model, index, held.piece(index)!, limited);
    this.#writeTime.note(performance.now() - beganAt);
    if (written.ok) return;
    this.#unanswered.set(index, new Map(this.#unanswered.get(index)).set(digests[index], beganAt));
    this.#noteLateWrites(index);
  }

  /** Notes in the checks what writes of a piece without an answer may still do. */
  #noteLateWrites(index: number): void {
    for (const [digest, beganAt] of this.#unanswered.get(index) ?? []) {
      const bytes = digest === this.#digests[index] ? 'sameBytes' : 'otherBytes';
      this.#checks.noteLateWrite(index, bytes, beganAt + LATE_WRITE_TIME);
    }
  }
}
