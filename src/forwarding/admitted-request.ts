/** A request's route, service, tenant and time, as found when it arrives, and the headers that it is sent on with. */
import type { IncomingMessage } from 'node:http';
import type { Route } from '../fleet/configuration.js';
import type { FleetView } from '../fleet/fleet-view.js';
import { pathOf, type RouteTable, targetService } from '../fleet/route-table.js';
import { hash32 } from '../model/random.js';
import { failure, type Result, success } from '../model/result.js';
import type { ForwardingError } from './forwarding-errors.js';
import { endToEndHeaders, type HeaderNames, LAST_EVENT_ID } from './header-names.js';
import { RequestTiming } from './request-timing.js';

/** A request that the configuration allows. */
export interface AdmittedRequest {
  /** The configuration that it was admitted by. */
  table: RouteTable;
  route: Route;
  service: string;
  /** Name of its key's tenant; undefined where no key is needed. */
  tenant: string | undefined;
  /** Place of its kind among all, 0 for the most urgent. */
  rank: number;
  timing: RequestTiming;
  promptTokens: number;
  /** Tokens that the answer may have; 0 where that is not told. */
  answerTokens: number;
}

/** Why a request is not admitted, and the name of its route where it has one. */
export interface RejectedRequest {
  error: ForwardingError;
  route?: string;
}

/** What a request is admitted by. */
export interface AdmissionComponents {
  fleet: FleetView;
  names: HeaderNames;
}

/** Finds route, tenant and time of `request`, which arrived at `arrivedAt` in milliseconds of the steady clock. */
export function admit(
  { headers, url }: IncomingMessage,
  arrivedAt: number,
  { fleet, names }: AdmissionComponents,
): Result<AdmittedRequest, RejectedRequest> {
  const table = fleet.routes;
  if (table === undefined || !fleet.complete) return failure({ error: { type: 'notConfigured' } });
  const route = table.match(headers.host ?? '', pathOf(url ?? '/'));
  const isBehind = fleet.isConfigurationBehind;
  if (route === undefined) return failure({ error: { type: isBehind ? 'configurationBehind' : 'noRoute' } });
  const needsKey = table.requiresKeys && !route.isPublic;
  const tenant = needsKey ? table.tenantOf(String(headers[names.callerKey] ?? '')) : undefined;
  if (needsKey && tenant === undefined)
    return failure({ error: { type: isBehind ? 'configurationBehind' : 'unknownKey' }, route: route.name });
  const timeLeft = Number(headers[names.timeLeft]);
  const [promptTokens, answerTokens] = String(headers[names.tokenCounts] ?? '').split(',');
  return success({
    table,
    route,
    service: targetService(route, hash32(String(headers[names.requestId] ?? '')) / 2 ** 32),
    tenant: tenant?.name,
    rank: table.rankOf(tenant?.priority ?? route.priority),
    timing: new RequestTiming(arrivedAt, route, timeLeft > 0 ? timeLeft : undefined),
    promptTokens: tokenCount(promptTokens),
    answerTokens: tokenCount(answerTokens),
  });
}

/** The count that a caller tells of; 0, as where nothing is told, for what is no count, as it is reckoned with. */
function tokenCount(text: string | undefined): number {
  const count = Number(text);
  return Number.isSafeInteger(count) && count > 0 ? count : 0;
}

/** What one attempt adds to the headers of its request. */
export interface AttemptHeaders {
  /** The start of a back end that alone may run it. */
  backEnd: string;
  /** The version of weights that alone may answer; undefined where any may. */
  version: number | undefined;
  urgency: number;
  /** The event after which a stream goes on; undefined for a first attempt. */
  lastEventId: string | undefined;
  /** The body is passed on as it comes, so that its length must be told again. */
  isStreamed: boolean;
}

/** The headers that `request` is sent on with at `now`: pairs of name and value, one after the other. */
export function headersToSend(
  { rawHeaders, headers }: IncomingMessage,
  { route, tenant, timing }: AdmittedRequest,
  attempt: AttemptHeaders,
  { names, headersSet }: { names: HeaderNames; headersSet: ReadonlySet<string> },
  now: number,
): string[] {
  const sent = endToEndHeaders(rawHeaders, headers.connection, headersSet);
  if (attempt.isStreamed && headers['content-length'] !== undefined)
    sent.push('Content-Length', headers['content-length']);
  const timeLeft = Math.max(1, Math.floor(timing.endsAt - now));
  if (Number.isFinite(timing.endsAt)) sent.push(names.timeLeft, String(timeLeft));
  sent.push(names.expectedBackEnd, attempt.backEnd);
  if (tenant !== undefined) sent.push(names.tenant, tenant);
  if (attempt.version !== undefined) sent.push(names.expectedVersion, String(attempt.version));
  if (route.isStream) sent.push(names.urgency, String(attempt.urgency));
  if (attempt.lastEventId !== undefined) sent.push(LAST_EVENT_ID, attempt.lastEventId);
  return sent;
}
