/** The contract of everything that pieces of weights can come from. None is trusted: pieces are verified. */
import type { Result } from '../model/result.js';
import type { PieceManifest, WeightsVersion } from './held-weights.js';

/** Why a source gave nothing. */
export type PieceSourceError = { type: 'sourceFailed'; reason: string };

/** Pieces by their index. */
export type Pieces = Array<[index: number, bytes: Buffer]>;

/** A source of pieces of one version. */
export interface PieceSource {
  /** For logs and counters. */
  readonly name: string;
  /** It is asked only when no piece came from anywhere for this long, in milliseconds. */
  readonly patience: number;
  /** Batches that are open at the same time. */
  readonly concurrency: number;
  /** Time for one batch, in milliseconds. */
  readonly batchTimeout: number;
  /** It is the origin, of which a piece is to be drawn once. */
  readonly isOrigin: boolean;
  /** False where a part of a batch costs as much as all of it. */
  readonly isDivisible: boolean;
  /** Of the pieces that are wanted those to ask for next; empty where it has none. */
  nextBatch(wanted: readonly number[]): number[];
  fetch(batch: readonly number[], signal: AbortSignal): Promise<Result<Pieces, PieceSourceError>>;
}

/** The origin of weights. */
export interface PieceOrigin {
  manifest(version: WeightsVersion, signal: AbortSignal): Promise<Result<PieceManifest, PieceSourceError>>;
  piece(
    version: WeightsVersion,
    index: number,
    signal: AbortSignal,
  ): Promise<Result<Buffer, PieceSourceError>>;
}

/** Creates a client of the origin at an address. */
export type PieceOriginFactory = (address: string) => PieceOrigin;
