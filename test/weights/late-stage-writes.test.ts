/** Writes to the stage that are carried out late must not change a piece between its check and its load unnoticed. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { silentLog } from '../../src/observability/log.js';
import { EngineStage } from '../../src/weights/engine-stage.js';
import { type HeldWeights, WeightsLibrary } from '../../src/weights/held-weights.js';
import { DecayingEngine, manifestOf, PIECES, pieceOf } from './decaying-engine.js';
import { VirtualTime } from './virtual-time.js';

const PIECE = 5;
const { signal } = new AbortController();

function completeWeights(version: number): HeldWeights {
  const library = new WeightsLibrary();
  const held = library.open(manifestOf(version));
  for (let index = 0; index < PIECES; index++) library.add(held, index, pieceOf(version, index));
  return held;
}

describe('a piece of the stage', () => {
  let time: VirtualTime;
  let engine: DecayingEngine;
  let stage: EngineStage;

  beforeEach(async () => {
    time = new VirtualTime();
    engine = new DecayingEngine();
    stage = new EngineStage(engine, silentLog);
    await run(stage.fill(completeWeights(2), signal));
    engine.corrupt(PIECE);
  });

  afterEach(() => time.restore());

  async function run<T>(work: Promise<T>): Promise<T> {
    let hasEnded = false;
    void work.then(() => {
      hasEnded = true;
    });
    while (!hasEnded) await time.runUntil(performance.now() + 5);
    return work;
  }

  async function fillAndCheck(version: number): Promise<void> {
    const held = completeWeights(version);
    await run(stage.fill(held, signal));
    const isDone = () => stage.isFresh([PIECE]);
    expect(await run(stage.refresh(held, [PIECE], isDone, 3_000, signal))).toBe(true);
  }

  it('is not overwritten with the former version by a check that has outlasted it', async () => {
    engine.onRead = (index) => {
      engine.readTime = index === PIECE ? 500 : 1;
    };
    await run(stage.refresh(completeWeights(2), [PIECE, PIECE + 1], () => false, 1, signal));
    // Its check goes on, and finds the piece corrupt when the next version has been written.
    await run(stage.fill(completeWeights(3), signal));
    await time.runUntil(performance.now() + 5_000);
    const staged = await run(engine.staged('m', PIECE, signal));
    expect(String(staged.ok && staged.value)).toBe(String(pieceOf(3, PIECE)));
  });

  it('is not proven by a check from before the order if a check of the former version has left a write pending', async () => {
    engine.heldWrites.add(PIECE);
    const isWriting = () => !engine.heldWrites.has(PIECE);
    await run(stage.refresh(completeWeights(2), [PIECE, PIECE + 1], isWriting, 50, signal));
    expect(isWriting()).toBe(true);
    await fillAndCheck(3);
    const accepted = { from: performance.now() + 1, by: performance.now() + 2 };
    expect(stage.checks.unproven(accepted, [PIECE])).toEqual([PIECE]);
  });
});
