/**
 * The HTTP API for operators: lists, applies and watches resources with revisions. An apply is one transaction.
 *
 * - `GET /apis/v1/resources[?kind=K]`: all resources with their revisions.
 * - `POST /apis/v1/apply`: `{ operationId, resources: [{ resource, revision? }], deletes: [{ key, revision? }] }`.
 * - `POST /apis/v1/operations/:id/resolve`: the final outcome of an apply whose answer was lost.
 * - `GET /apis/v1/watch?since=R`: changes after revision R as lines of JSON.
 * - `GET /apis/v1/status`: progress of every deployment.
 */
import Router from '@koa/router';
import type Koa from 'koa';
import type { Row, RowCondition, RowWrite, TableService } from '../clients/table-service.js';
import type { AgentDirectory } from '../entry/agent-directory.js';
import { type Configuration, TABLES } from '../entry/configuration.js';
import { readBody } from '../server/http-server.js';
import { deploymentStatus } from './deployment-status.js';
import { type Resource, resource, resourceKey } from './schemas.js';

const WRITE_TIMEOUT = 5_000;
/** Values of an operation's row. */
const ACCEPTED = 'accepted';
const ABANDONED = 'abandoned';

/** Changes requested by an operator, applied atomically. */
export interface ApplyRequest {
  operationId: string;
  /** If `revision` is given, the resource must still have it; 0 means that the resource must not exist. */
  resources: Array<{ resource: unknown; revision?: number }>;
  deletes: Array<{ key: string; revision?: number }>;
}

/** Outcome of an apply. */
export type ApplyAnswer =
  | { type: 'accepted'; revision: number }
  | { type: 'rejected'; problems: Array<{ resource: string; field: string; message: string }> }
  | { type: 'conflict'; rows: Array<{ key: string; revision: number; expected: number }> }
  /** The platform's answer was lost: resolve the operation to learn its outcome. */
  | { type: 'unknown'; operationId: string; retryAfter: number }
  | { type: 'unavailable'; retryAfter: number };

/** Outcome of an operation; final unless `unavailable`. */
export type ResolveAnswer =
  | { type: 'accepted'; revision: number }
  /** The operation has not taken effect and never will. */
  | { type: 'notAccepted' }
  | { type: 'unavailable'; retryAfter: number };

const RESOLVE_STATUS: Record<ResolveAnswer['type'], number> = {
  accepted: 200,
  notAccepted: 200,
  unavailable: 503,
};
const RESOLVE_RETRY_AFTER = 1_000;
/** A watch is closed when more than this many bytes are buffered for it. */
const MAX_WATCH_BUFFER_BYTES = 2 ** 20;

const APPLY_STATUS: Record<ApplyAnswer['type'], number> = {
  accepted: 200,
  rejected: 400,
  conflict: 409,
  unknown: 202,
  unavailable: 503,
};

/** Dependencies of the API. */
export interface ResourceApiComponents {
  configuration: Configuration;
  tables: TableService;
  directory: AgentDirectory;
}

/** Creates the router of the API. */
export function resourceApi(components: ResourceApiComponents): Router {
  const { configuration, directory } = components;
  const router = new Router({ prefix: '/apis/v1' });
  router.get('/resources', (context) => {
    const rows = configuration.rows(TABLES.resources);
    const wanted = rows.filter(
      (row) => context.query.kind === undefined || row.key.startsWith(`${context.query.kind}/`),
    );
    const items = wanted.map(({ key, value, revision }) => ({ key, value, revision }));
    context.body = { revision: configuration.revision, items };
  });
  router.post('/apply', async (context) => {
    const answer = await apply(components, await readRequest(context));
    context.status = APPLY_STATUS[answer.type];
    if ('retryAfter' in answer) context.set('retry-after', String(Math.ceil(answer.retryAfter / 1_000)));
    context.body = answer;
  });
  router.post('/operations/:id/resolve', async (context) => {
    const answer = await resolveOperation(components, context.params.id);
    context.status = RESOLVE_STATUS[answer.type];
    context.body = answer;
  });
  router.get('/watch', (context) => watch(context, configuration));
  router.get('/status', (context) => {
    const deployments = configuration
      .deployments()
      .map((entry) => deploymentStatus(entry, configuration, directory));
    context.body = { revision: configuration.revision, deployments };
  });
  return router;
}

/**
 * Resolves an operation whose answer was lost. A look-up alone is not enough, as the transaction may still be in flight. So
 * this writes the operation's row on the condition that it does not exist; every apply has the same condition, so only one
 * of the two can commit.
 */
async function resolveOperation(components: ResourceApiComponents, id: string): Promise<ResolveAnswer> {
  const { tables, configuration } = components;
  const table = TABLES.operations;
  const transaction = {
    operationId: `${id}/abandon`,
    conditions: [{ table, key: id, revision: 0 }],
    writes: [{ table, key: id, value: ABANDONED }],
  };
  const outcome = await tables.transact(transaction, AbortSignal.timeout(WRITE_TIMEOUT));
  if (!outcome.ok) return { type: 'unavailable', retryAfter: RESOLVE_RETRY_AFTER };
  if (outcome.value.type === 'committed') return { type: 'notAccepted' };
  const read = await configuration.poll();
  const row = configuration.row(table, id);
  if (!read || row === undefined) return { type: 'unavailable', retryAfter: RESOLVE_RETRY_AFTER };
  return row.value === ACCEPTED ? { type: 'accepted', revision: row.revision } : { type: 'notAccepted' };
}

async function readRequest(context: Koa.Context): Promise<ApplyRequest> {
  return JSON.parse((await readBody(context)).toString('utf8')) as ApplyRequest;
}

async function apply(components: ResourceApiComponents, request: ApplyRequest): Promise<ApplyAnswer> {
  const checked = checkResources(request);
  if (!checked.ok) return { type: 'rejected', problems: checked.problems };
  const transaction = toTransaction(request, checked.resources);
  const outcome = await components.tables.transact(transaction, AbortSignal.timeout(WRITE_TIMEOUT));
  if (!outcome.ok) {
    const { error } = outcome;
    if (error.type === 'unavailable') return { type: 'unavailable', retryAfter: error.retryAfter };
    return { type: 'unknown', operationId: request.operationId, retryAfter: 1_000 };
  }
  if (outcome.value.type === 'conflict') return conflictOf(outcome.value.rows, transaction.conditions);
  void components.configuration.poll();
  return { type: 'accepted', revision: outcome.value.revision };
}

function conflictOf(rows: Array<{ key: string; revision: number }>, conditions: RowCondition[]): ApplyAnswer {
  const expected = new Map(conditions.map((condition) => [condition.key, condition.revision]));
  return {
    type: 'conflict',
    rows: rows.map(({ key, revision }) => ({ key, revision, expected: expected.get(key) ?? 0 })),
  };
}

type CheckedResources =
  | { ok: true; resources: Array<{ value: Resource; revision?: number }> }
  | { ok: false; problems: Array<{ resource: string; field: string; message: string }> };

function checkResources(request: ApplyRequest): CheckedResources {
  const resources: Array<{ value: Resource; revision?: number }> = [];
  const problems: Array<{ resource: string; field: string; message: string }> = [];
  for (const [index, entry] of request.resources.entries()) {
    const parsed = resource.safeParse(entry.resource);
    if (parsed.success) resources.push({ value: parsed.data, revision: entry.revision });
    for (const issue of parsed.error?.issues ?? []) {
      problems.push({
        resource: `#${index}`,
        field: issue.path.map(String).join('.'),
        message: issue.message,
      });
    }
  }
  return problems.length > 0 ? { ok: false, problems } : { ok: true, resources };
}

function toTransaction(request: ApplyRequest, resources: Array<{ value: Resource; revision?: number }>) {
  const table = TABLES.resources;
  const operation = { table: TABLES.operations, key: request.operationId };
  const conditions: RowCondition[] = [{ ...operation, revision: 0 }];
  const writes: RowWrite[] = [{ ...operation, value: ACCEPTED }];
  for (const { value, revision } of resources) {
    const key = resourceKey(value);
    if (revision !== undefined) conditions.push({ table, key, revision });
    writes.push({ table, key, value });
  }
  for (const { key, revision } of request.deletes) {
    if (revision !== undefined) conditions.push({ table, key, revision });
    writes.push({ table, key, value: null });
  }
  return { operationId: request.operationId, conditions, writes };
}

/**
 * Streams changes of resources as JSON lines, beginning with the changes after `since`; 0 starts with all resources. Answers
 * 410 if this entry does not know which resources were deleted since then: the client must list the resources and watch
 * from the revision of the list.
 */
function watch(context: Koa.Context, configuration: Configuration): void {
  const since = Number(context.query.since ?? 0);
  const deleted = since === 0 ? [] : configuration.deletedSince(since);
  if (deleted === undefined) {
    context.status = 410;
    context.body = { error: { type: 'tooOld', since, revision: configuration.revision } };
    return;
  }
  context.respond = false;
  const { res } = context;
  res.writeHead(200, { 'content-type': 'application/x-ndjson' });
  const send = (row: Row) => {
    if (row.table !== TABLES.resources) return;
    const { key, value, revision } = row;
    const type = value === null ? 'deleted' : 'changed';
    res.write(`${JSON.stringify({ type, key, revision, value })}\n`);
  };
  const bookmark = () => {
    res.write(`${JSON.stringify({ type: 'bookmark', revision: configuration.revision })}\n`);
    // Close the watch of a slow reader; it can resume from its last bookmark.
    if (res.writableLength > MAX_WATCH_BUFFER_BYTES) res.destroy();
  };
  const changed = configuration.rows(TABLES.resources).filter((row) => row.revision > since);
  for (const row of [...changed, ...deleted].sort((a, b) => a.revision - b.revision)) send(row);
  bookmark();
  const end = configuration.listen((rows) => {
    for (const row of rows) send(row);
    bookmark();
  });
  res.once('close', end);
}
