/**
 * The interface of everything from which pieces of weights can be fetched. No source is trusted: pieces are
 * verified.
 */
import type { Result } from '../model/result.js';
import type { PieceManifest, WeightsVersion } from './held-weights.js';

/** Why a source delivered nothing. */
export type PieceSourceError = { type: 'sourceFailed'; reason: string };

/** Pieces with their indexes. */
export type Pieces = Array<[index: number, bytes: Buffer]>;

/** A source of pieces of one version. */
export interface PieceSource {
  /** Identifies the source in logs and counters. */
  readonly name: string;
  /** The source is used only when no piece has arrived from any source for this long, in milliseconds. */
  readonly patience: number;
  /** Concurrent batches. */
  readonly concurrency: number;
  /** Timeout of one batch, in milliseconds. */
  readonly batchTimeout: number;
  /** The source is the origin, from which each piece should be fetched only once. */
  readonly isOrigin: boolean;
  /** Longest time for which the source is not used after a failure, in milliseconds; the fetcher's own limit if undefined. */
  readonly longestBackOff?: number;
  /** False if a part of a batch costs as much as the whole batch. */
  readonly isDivisible: boolean;
  /** Selects the wanted pieces to request next; empty if the source has none of them. */
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
