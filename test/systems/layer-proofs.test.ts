import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { LayerProofs, layersOfPiece } from '../../src/systems/layer-proofs.js';

const always = () => true;
const none = new Set<number>();

describe('the layers that an engine is ordered to hold', () => {
  it('are all at once if all can be loaded', () => {
    const proofs = new LayerProofs(16);
    expect(proofs.next(always)).toEqual({ type: 'hold', range: { from: 0, end: 16 } });
    proofs.noteOrdered({ from: 0, end: 16 }, none);
    expect(proofs.isComplete).toBe(true);
  });

  it('are those that can be loaded, and then those around them', () => {
    const proofs = new LayerProofs(8);
    expect(proofs.next(() => false)).toEqual({ type: 'wait' });
    expect(proofs.next((layer) => layer !== 2)).toEqual({ type: 'hold', range: { from: 3, end: 8 } });
    proofs.noteOrdered({ from: 3, end: 8 }, none);
    expect(proofs.next((layer) => layer === 0)).toEqual({ type: 'wait' });
    expect(proofs.next((layer) => layer === 2)).toEqual({ type: 'hold', range: { from: 2, end: 8 } });
  });

  it('leave out those that are not proven, so that they are loaded anew', () => {
    const proofs = new LayerProofs(16);
    proofs.noteOrdered({ from: 0, end: 16 }, new Set([5]));
    expect(proofs.isComplete).toBe(false);
    expect(proofs.next(always)).toEqual({ type: 'hold', range: { from: 6, end: 16 } });
    proofs.noteOrdered({ from: 6, end: 16 }, none);
    expect(proofs.missing).toEqual([0, 1, 2, 3, 4, 5]);
    proofs.noteOrdered({ from: 0, end: 16 }, none);
    expect(proofs.isComplete).toBe(true);
  });

  it('cannot be loaded anew if the model has a single one', () => {
    const proofs = new LayerProofs(0);
    proofs.noteHeld({ from: 0, end: 16 }, new Set([0]));
    expect(proofs.next(always)).toEqual({ type: 'impossible' });
  });

  it('end up proven whatever is in doubt, each loaded after the order that left it in doubt', () => {
    const rounds = fc.array(fc.uniqueArray(fc.nat(15)), { maxLength: 6 });
    fc.assert(
      fc.property(fc.integer({ min: 2, max: 16 }), rounds, (count, doubts) => {
        const proofs = new LayerProofs(count);
        const isSound = new Map<number, boolean>();
        const pending = [...doubts];
        for (let order = 0; order < 60 && !proofs.isComplete; order++) {
          const next = proofs.next(always);
          if (next.type !== 'hold') return false;
          const unproven = new Set(pending.shift() ?? []);
          for (const layer of proofs.loadedBy(next.range)) isSound.set(layer, !unproven.has(layer));
          proofs.noteOrdered(next.range, unproven);
        }
        return (
          proofs.isComplete && Array.from({ length: count }, (_, layer) => isSound.get(layer)).every(Boolean)
        );
      }),
    );
  });

  it('are those of which a piece holds a part', () => {
    expect(layersOfPiece(0, 48, 16)).toEqual([0]);
    expect(layersOfPiece(47, 48, 16)).toEqual([15]);
    // Layer 0 needs pieces 0 and 1, layer 1 needs pieces 1 and 2.
    expect([0, 1, 2].map((piece) => layersOfPiece(piece, 3, 2))).toEqual([[0], [0, 1], [1]]);
    expect([0, 1].map((piece) => layersOfPiece(piece, 2, 4))).toEqual([
      [0, 1],
      [2, 3],
    ]);
  });
});
