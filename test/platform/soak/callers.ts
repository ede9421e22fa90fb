/** Callers of a soak: they look entries up, keep connections, send requests and judge every answer. */
import { Agent, request as httpRequest, type IncomingMessage } from 'node:http';
import type { Random } from '../../../src/model/random.js';
import { EVENTS, eventData } from './workers.js';
import { HOST, KEY, ROUTE_TIMEOUT, type SoakWorld, TENANT } from './world.js';

/** Longest pause between two requests of a caller, in milliseconds. */
const LONGEST_PAUSE = 60;
const PROMISES_NOT_RUN = new Set([429, 503, 408, 421]);

/** A request that was sent, and how it ended. */
export interface SentRequest {
  id: string;
  kind: 'write' | 'once' | 'again';
  path: string;
  body: string;
  /** Undefined where no whole head came. */
  status: number | undefined;
  headers: IncomingMessage['headers'];
  answer: string;
  /** True where the answer ended as HTTP says. */
  isWhole: boolean;
  tookMilliseconds: number;
}

/** Sends one request to an entry and returns how it ended. */
export function sendRequest(
  entry: string,
  agent: Agent | undefined,
  { id, kind, path, body }: Pick<SentRequest, 'id' | 'kind' | 'path' | 'body'>,
): Promise<SentRequest> {
  const [host, port] = entry.split(':');
  const startedAt = performance.now();
  const headers = {
    Host: HOST,
    'Attempt-Id': id,
    'Api-Key': KEY,
    'Deadline-Ms': String(ROUTE_TIMEOUT),
    Tenant: 'forged',
  };
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    const end = (answer?: IncomingMessage) =>
      resolve({
        id,
        kind,
        path,
        body,
        status: answer?.statusCode,
        headers: answer?.headers ?? {},
        answer: Buffer.concat(parts).toString('utf8'),
        isWhole: answer?.complete ?? false,
        tookMilliseconds: performance.now() - startedAt,
      });
    const sent = httpRequest({ host, port, path, method: 'POST', agent, headers }, (answer) => {
      answer.on('data', (part) => parts.push(part));
      answer.on('error', () => end(answer));
      answer.on('end', () => end(answer));
      answer.on('close', () => end(answer));
    });
    const limit = setTimeout(() => sent.destroy(), ROUTE_TIMEOUT * 2);
    sent.on('close', () => clearTimeout(limit));
    sent.on('error', () => end());
    sent.end(body);
  });
}

/** The promises that an answer breaks, from what its caller sees. */
export function judgeAnswer(sent: SentRequest): string[] {
  const { id, kind, path, status, headers, answer, isWhole } = sent;
  if (status === undefined || !isWhole) return [];
  const broken: string[] = [];
  if (status === 401 || status === 403 || status === 404) broken.push(`DENIED: ${id} got ${status}`);
  if (status !== 200) return broken;
  if (headers['attempt-id'] !== id) broken.push(`MIXED: ${id} got the answer of ${headers['attempt-id']}`);
  if (headers['server-seal'] === undefined) broken.push(`MIXED: ${id} got no signature`);
  if (kind === 'write') return [...broken, ...judgeEvents(id, path, answer)];
  const told = parse(answer);
  if (told?.id !== id || told?.seal !== headers['server-seal'])
    broken.push(`MIXED: ${id} got ${answer.slice(0, 80)}`);
  return broken;
}

function judgeEvents(id: string, path: string, answer: string): string[] {
  let expected = '';
  for (let event = 1; event <= EVENTS; event++)
    expected += `id: ${event}\ndata: ${eventData(path, event)}\n\n`;
  return answer === expected
    ? []
    : [`ORDER: ${id} got ${answer.length} of ${expected.length} bytes as whole`];
}

/** The promises that are broken by what ran, over all requests. */
export function judgeRuns(world: SoakWorld, sent: readonly SentRequest[]): string[] {
  const broken: string[] = [];
  const byId = new Map(sent.map((request) => [request.id, request]));
  const runs = new Map<string, number>();
  for (const run of world.log.runs) {
    const request = byId.get(run.requestId);
    if (request === undefined) broken.push(`UNASKED: ${run.requestId} ran and was not sent`);
    else if (run.path !== request.path || run.body !== request.body || run.method !== 'POST')
      broken.push(`UNASKED: ${run.requestId} ran changed: ${run.path}`);
    if (run.tenant !== TENANT) broken.push(`UNASKED: ${run.requestId} ran for ${run.tenant}`);
    runs.set(run.requestId, (runs.get(run.requestId) ?? 0) + 1);
  }
  for (const { id, kind, status } of sent) {
    const count = runs.get(id) ?? 0;
    if (kind !== 'once') continue;
    if (count > 1) broken.push(`TWICE: ${id} ran ${count} times`);
    if (status !== undefined && PROMISES_NOT_RUN.has(status) && count > 0)
      broken.push(`REFUSED: ${id} got ${status} and ran`);
  }
  return broken;
}

/** A caller that goes on until it is stopped. */
export class SoakCaller {
  readonly sent: SentRequest[] = [];
  readonly violations: string[] = [];
  readonly #world: SoakWorld;
  readonly #random: Random;
  readonly #name: string;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 4 });
  #addresses: string[] = [];
  #askedAt = Number.NEGATIVE_INFINITY;
  #running = true;

  constructor(name: string, world: SoakWorld, random: Random) {
    this.#name = name;
    this.#world = world;
    this.#random = random;
  }

  async run(): Promise<void> {
    for (let count = 0; this.#running; count++) {
      await this.#lookUp();
      await this.#sendOne(`${this.#name}-${count}`);
      await new Promise((resolve) => setTimeout(resolve, this.#random.below(LONGEST_PAUSE)));
    }
    this.#agent.destroy();
  }

  stop(): void {
    this.#running = false;
  }

  /** An answer is kept for a second, and for longer where there is no new one. */
  async #lookUp(): Promise<void> {
    if (performance.now() - this.#askedAt < 1_000 && this.#addresses.length > 0) return;
    const entries = this.#world.entryAddresses();
    const { directory } = entries[this.#random.below(entries.length)];
    const url = `http://${directory}/v1/resolve?name=${HOST}&region=zone-a&zone=zone-a`;
    try {
      const answer = await fetch(url, { signal: AbortSignal.timeout(500) });
      const told = (await answer.json()) as { addresses?: string[] };
      if (told.addresses === undefined || told.addresses.length === 0) return;
      this.#addresses = told.addresses;
      this.#askedAt = performance.now();
    } catch {
      // The next look-up asks another.
    }
  }

  async #sendOne(id: string): Promise<void> {
    if (this.#addresses.length === 0) return;
    const kind = (['write', 'write', 'once', 'again'] as const)[this.#random.below(4)];
    const path = `/${kind}/${this.#random.below(1_000)}?of=${this.#name}`;
    const entry = this.#addresses[this.#random.below(this.#addresses.length)];
    const sent = await sendRequest(entry, this.#agent, { id, kind, path, body: `body of ${id}` });
    this.sent.push(sent);
    this.violations.push(...judgeAnswer(sent));
  }
}

function parse(text: string): { id?: string; seal?: string } | undefined {
  try {
    return JSON.parse(text) as { id?: string; seal?: string };
  } catch {
    return undefined;
  }
}
