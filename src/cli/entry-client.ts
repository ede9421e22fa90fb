/** Client of an entry for the operator commands. */
import { callHttp, parseJson } from '../clients/http.js';
import type { DeploymentStatus } from '../resources/deployment-status.js';
import type { ApplyAnswer, ApplyRequest, ResolveAnswer } from '../resources/resource-api.js';
import type { Resource } from '../resources/schemas.js';
import { CommandFailure, EXIT_UNKNOWN } from './errors.js';

const CALL_TIMEOUT = 10_000;

/** A resource with its revision. */
export interface ResourceItem {
  key: string;
  value: Resource;
  revision: number;
}

/** A client of the resource API at `address` (`host:port`). */
export class EntryClient {
  readonly address: string;

  constructor(address: string) {
    this.address = address;
  }

  resources(kind?: string): Promise<{ revision: number; items: ResourceItem[] }> {
    return this.get(`/apis/v1/resources${kind === undefined ? '' : `?kind=${kind}`}`);
  }

  status(): Promise<{ revision: number; deployments: DeploymentStatus[] }> {
    return this.get('/apis/v1/status');
  }

  /** Applies changes; the answer `unknown` means that the operation must be resolved. */
  async apply(request: ApplyRequest): Promise<ApplyAnswer> {
    return this.#call<ApplyAnswer>('POST', '/apis/v1/apply', request);
  }

  /** Resolves the outcome of an operation whose answer was lost. */
  resolve(operationId: string): Promise<ResolveAnswer> {
    return this.post(`/apis/v1/operations/${operationId}/resolve`);
  }

  get<T>(path: string): Promise<T> {
    return this.#call('GET', path);
  }

  post<T>(path: string): Promise<T> {
    return this.#call('POST', path, {});
  }

  async #call<T>(method: 'GET' | 'POST', path: string, json?: unknown): Promise<T> {
    const url = `http://${this.address}${path}`;
    const signal = AbortSignal.timeout(CALL_TIMEOUT);
    const answer = await callHttp({ service: 'entry', method, url, json, signal });
    if (!answer.ok) throw new CommandFailure(`${this.address}: ${describe(answer.error)}`, EXIT_UNKNOWN);
    const parsed = parseJson<T>('entry', answer.value);
    if (!parsed.ok) throw new CommandFailure(`${this.address}: ${describe(parsed.error)}`, EXIT_UNKNOWN);
    return parsed.value;
  }
}

function describe(error: object): string {
  return Object.values(error).join(': ');
}
