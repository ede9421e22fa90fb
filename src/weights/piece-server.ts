/** Serves what a process holds of weights to the system's other processes. */
import Router from '@koa/router';
import type { HeldWeights, WeightsLibrary } from './held-weights.js';

/** Paths below which pieces are served. */
const PREFIX = '/weights';

/** Routes that serve the manifests and pieces in `library`. */
export function pieceRoutes(library: WeightsLibrary): Router {
  const router = new Router({ prefix: PREFIX });
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
    context.type = 'application/octet-stream';
    context.body = Buffer.concat(pieces);
  });
  return router;
}

/** Path of the manifest of a version. */
export function manifestPath(model: string, version: number): string {
  return `${PREFIX}/${encodeURIComponent(model)}/${version}/manifest`;
}

/** Path of some pieces of a version, one after the other in the answer. */
export function piecesPath(model: string, version: number, indexes: readonly number[]): string {
  return `${PREFIX}/${encodeURIComponent(model)}/${version}/pieces/${indexes.join('-')}`;
}

/** The pieces at `indexes` (numbers joined by dashes), or undefined where one is missing. */
function piecesOf(held: HeldWeights, indexes: string): Buffer[] | undefined {
  const pieces = indexes.split('-').map((index) => held.piece(Number(index)));
  return pieces.includes(undefined) ? undefined : (pieces as Buffer[]);
}
