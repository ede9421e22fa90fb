/** Determines route, service, tenant and timing of a request on arrival, and the headers with which it is forwarded. */
import type { IncomingMessage } from 'node:http';
import type { Route } from '../fleet/configuration.js';
import type { FleetView } from '../fleet/fleet-view.js';
import { pathOf, type RouteTable, targetService } from '../fleet/route-table.js';
import { hash32 } from '../model/random.js';
import { failure, type Result, success } from '../model/result.js';
import type { ServiceFloor } from '../systems/service-floor.js';
import type { ForwardingError } from './forwarding-errors.js';
import { endToEndHeaders, type HeaderNames, LAST_EVENT_ID } from './header-names.js';
import { RequestRegions } from './request-regions.js';
import { RequestTiming } from './request-timing.js';

const SUPPORTED_HTTP_VERSION = '1.1';

/** A request that the configuration allows. */
export interface AdmittedRequest {
  /** The configuration under which the request was admitted. */
  table: RouteTable;
  route: Route;
  service: string;
  /** Name of the tenant to which the caller's key belongs; undefined if no key is required. */
  tenant: string | undefined;
  regions: RequestRegions;
  /** Rank of the request's priority among all priorities, 0 for the most urgent. */
  priorityRank: number;
  /** Whether it goes with the most urgent requests all the same, so that its kind is not starved. */
  isDrawn: boolean;
  /** Rank with which the request goes: 0 if it is drawn. */
  rank: number;
  timing: RequestTiming;
  promptTokens: number;
  /** Maximum number of tokens of the answer; 0 if the caller does not state it. */
  answerTokens: number;
}

/** Why a request is not admitted, and the name of its route if one matched. */
export interface RejectedRequest {
  error: ForwardingError;
  route?: string;
}

export interface AdmissionComponents {
  fleet: FleetView;
  names: HeaderNames;
  floor: ServiceFloor;
}

/**
 * Matches a request against the configuration.
 * @param arrivedAt - arrival time, in milliseconds of the monotonic clock
 */
export function admit(
  { headers, url, httpVersion }: IncomingMessage,
  arrivedAt: number,
  { fleet, names, floor }: AdmissionComponents,
): Result<AdmittedRequest, RejectedRequest> {
  if (httpVersion !== SUPPORTED_HTTP_VERSION) return failure({ error: { type: 'versionNotSupported' } });
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
  const priorityRank = table.rankOf(tenant?.priority ?? route.priority);
  const isDrawn = route.isStream && floor.draws(priorityRank, arrivedAt);
  const [promptTokens, answerTokens] = String(headers[names.tokenCounts] ?? '').split(',');
  return success({
    table,
    route,
    service: targetService(route, hash32(String(headers[names.requestId] ?? '')) / 2 ** 32),
    tenant: tenant?.name,
    regions: new RequestRegions(fleet, table, { route, tenant: tenant?.name }),
    priorityRank,
    isDrawn,
    rank: isDrawn ? 0 : priorityRank,
    timing: new RequestTiming(arrivedAt, route, timeLeft > 0 ? timeLeft : undefined),
    promptTokens: tokenCount(promptTokens),
    answerTokens: tokenCount(answerTokens),
  });
}

/** Parses a token count stated by a caller; 0 if it is absent or no valid count, since calculations use it. */
function tokenCount(text: string | undefined): number {
  const count = Number(text);
  return Number.isSafeInteger(count) && count > 0 ? count : 0;
}

/** Values that one attempt adds to the headers of its request. */
export interface AttemptHeaders {
  /** Id of the process start of the back end; any other start must refuse the request. */
  backEnd: string;
  /** The only version of weights that may answer; undefined if any may. */
  version: number | undefined;
  urgency: number;
  /** Id of the event after which the stream resumes; undefined to start at the beginning. */
  lastEventId: string | undefined;
  /** Whether the body is streamed, so that its length has to be set from the caller's header. */
  isStreamed: boolean;
}

/** The headers of an attempt that is sent at `now`: names and values in turn. */
export function headersToSend(
  { rawHeaders, headers }: IncomingMessage,
  { route, tenant, timing }: AdmittedRequest,
  attempt: AttemptHeaders,
  { names, reservedHeaders }: { names: HeaderNames; reservedHeaders: ReadonlySet<string> },
  now: number,
): string[] {
  const sent = endToEndHeaders(rawHeaders, headers.connection, reservedHeaders);
  if (attempt.isStreamed && headers['content-length'] !== undefined)
    sent.push('Content-Length', headers['content-length']);
  const timeLeft = Math.max(1, Math.floor(timing.deadline - now));
  if (Number.isFinite(timing.deadline)) sent.push(names.timeLeft, String(timeLeft));
  sent.push(names.expectedBackEnd, attempt.backEnd);
  if (tenant !== undefined) sent.push(names.tenant, tenant);
  if (attempt.version !== undefined) sent.push(names.expectedVersion, String(attempt.version));
  if (route.isStream) sent.push(names.urgency, String(attempt.urgency));
  if (attempt.lastEventId !== undefined) sent.push(LAST_EVENT_ID, attempt.lastEventId);
  return sent;
}
