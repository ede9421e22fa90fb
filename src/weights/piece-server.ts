/** Serves the manifests and pieces held by a process to the system's other processes. */
import type { ServerResponse } from 'node:http';
import Router from '@koa/router';
import { UploadLimit } from '../systems/upload-limit.js';
import type { HeldWeights, WeightsLibrary } from './held-weights.js';

/** Path prefix of manifests and pieces. */
const PREFIX = '/weights';
/** Status of the answer when the uploads in flight already use the link's capacity for the near future. */
export const BUSY_STATUS = 503;
/** A batch counts as in flight for at most this long, in milliseconds: the receiver has timed out by then. */
const MAX_UPLOAD_TIME = 4_000;

/** Routes that serve the manifests and pieces in `library`. */
export function pieceRoutes(library: WeightsLibrary): Router {
  const router = new Router({ prefix: PREFIX });
  const uploads = new UploadLimit();
  const held = (parameters: Record<string, string>) =>
    library.of({ model: parameters.model, version: Number(parameters.version) });
  router.get('/:model/:version/manifest', (context) => {
    const found = held(context.params);
    if (found === undefined) return;
    context.body = found.manifest;
  });
  router.get('/:model/:version/pieces/:indexes', (context) => {
    const found = held(context.params);
    const pieces = found && piecesOf(found, context.params.indexes);
    if (pieces === undefined) return;
    if (!beginUpload(uploads, pieces, context.res)) {
      context.status = BUSY_STATUS;
      return;
    }
    context.type = 'application/octet-stream';
    context.body = Buffer.concat(pieces);
  });
  return router;
}

/**
 * Counts a batch as in flight until `response` closes, whether sent or aborted; returns false if the batch
 * exceeds the limit.
 */
function beginUpload(uploads: UploadLimit, pieces: readonly Buffer[], response: ServerResponse): boolean {
  const bytes = pieces.reduce((sum, { byteLength }) => sum + byteLength, 0);
  if (!uploads.begin(pieces.length, bytes)) return false;
  const end = () => {
    clearTimeout(timer);
    response.off('close', end);
    uploads.end(pieces.length, bytes);
  };
  // A connection that has gone silent does not close by itself.
  const timer = setTimeout(end, MAX_UPLOAD_TIME);
  timer.unref();
  response.on('close', end);
  return true;
}

/** Path of the manifest of a version. */
export function manifestPath(model: string, version: number): string {
  return `${PREFIX}/${encodeURIComponent(model)}/${version}/manifest`;
}

/** Path of a batch of pieces of a version, which the answer concatenates. */
export function piecesPath(model: string, version: number, indexes: readonly number[]): string {
  return `${PREFIX}/${encodeURIComponent(model)}/${version}/pieces/${indexes.join('-')}`;
}

/** The pieces at `indexes` (numbers joined by dashes); undefined if one is missing. */
function piecesOf(held: HeldWeights, indexes: string): Buffer[] | undefined {
  const pieces = indexes.split('-').map((index) => held.piece(Number(index)));
  return pieces.includes(undefined) ? undefined : (pieces as Buffer[]);
}
