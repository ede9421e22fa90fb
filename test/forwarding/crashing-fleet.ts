/**
 * Back ends that stream answers, and that crash when they begin to answer a request with a certain part in its prompt. A crashed
 * back end is listed again after a while as another start of its id, at another address.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { events, type Script, StandInBackEnd } from './stand-in-back-end.js';

/** How the connection of the crashing request ends. */
export type CrashEnding =
  /** Before the head of an answer. */
  | 'noHead'
  /** After the head of an answer that has neither a length nor chunks. */
  | 'headOnly'
  /** Inside the first event of an answer that has neither a length nor chunks. */
  | 'insideEvent'
  /** The same, by a reset. */
  | 'reset'
  /** After the first event of a chunked answer. */
  | 'chunked'
  /** After the first event of an answer with a length. */
  | 'length'
  /** After the first event of an answer that has neither a length nor chunks. */
  | 'afterEvent';

export const CRASH_ENDINGS: readonly CrashEnding[] = [
  'noHead',
  'headOnly',
  'insideEvent',
  'reset',
  'chunked',
  'length',
  'afterEvent',
];

/** Time from the arrival of the request to the crash, in milliseconds. */
const CRASH_DELAY = 30;
/** Time from a crash to the next start of the back end, in milliseconds. */
const RESTART_TIME = 400;
/** Number of events of a complete answer, and the default interval between two in milliseconds. */
const EVENTS = 6;
const EVENT_INTERVAL = 25;

interface Place {
  backEnd: StandInBackEnd;
  start: number;
  isListed: boolean;
}

export interface ListedBackEnd {
  id: string;
  backEnd: StandInBackEnd;
  start: number;
}

export class CrashingFleet {
  readonly #size: number;
  readonly #deadlyParts: readonly string[];
  readonly #ending: CrashEnding;
  readonly #eventInterval: number;
  readonly #places: Place[] = [];
  #isStopped = false;
  readonly #restarts = new Set<NodeJS.Timeout>();
  /** Times of the crashes by deadly part, in milliseconds of the monotonic clock. */
  readonly crashes = new Map<string, number[]>();
  /** Arrivals of requests by deadly part. */
  readonly arrivals = new Map<string, number[]>();
  /** Called whenever the list of back ends has changed. */
  onListChanged: (listed: ListedBackEnd[]) => void = () => {};

  /** @param deadlyParts - ids of the parts that crash back ends */
  constructor(
    size: number,
    deadlyParts: readonly string[],
    ending: CrashEnding,
    eventInterval = EVENT_INTERVAL,
  ) {
    this.#eventInterval = eventInterval;
    this.#size = size;
    this.#deadlyParts = deadlyParts;
    this.#ending = ending;
  }

  async start(): Promise<void> {
    for (let index = 0; index < this.#size; index++) {
      const place: Place = { backEnd: new StandInBackEnd(() => {}), start: 0, isListed: true };
      this.#places.push(place);
      await this.#startAt(place);
    }
    this.#announce();
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    for (const timer of this.#restarts) clearTimeout(timer);
    await Promise.all(this.#places.map(({ backEnd }) => backEnd.stop()));
  }

  /** Crashes the back end at `index` for a cause that has nothing to do with its requests. */
  crash(index: number): void {
    this.#crash(this.#places[index]);
  }

  get crashCount(): number {
    return [...this.crashes.values()].reduce((sum, times) => sum + times.length, 0);
  }

  /** Number of requests with this part that reached a back end after the part's fifth crash. */
  sendsAfterFifthCrash(part: string): number {
    const fifth = this.crashes.get(part)?.[4] ?? Number.POSITIVE_INFINITY;
    return (this.arrivals.get(part) ?? []).filter((at) => at > fifth).length;
  }

  #announce(): void {
    if (this.#isStopped) return;
    this.onListChanged(
      this.#places.flatMap(({ backEnd, start, isListed }, index) =>
        isListed ? [{ id: `b${index}`, backEnd, start }] : [],
      ),
    );
  }

  async #startAt(place: Place): Promise<void> {
    place.start++;
    place.backEnd = await new StandInBackEnd(this.#scriptOf(place)).start();
  }

  #scriptOf(place: Place): Script {
    return (request, response) => {
      const parts = String(request.headers['x-parts'] ?? '')
        .split(',')
        .slice(0, -1)
        .map((part) => part.split(':')[0]);
      const deadly = parts.find((part) => this.#deadlyParts.includes(part));
      if (deadly === undefined) return answerWhole(request, response, this.#eventInterval);
      note(this.arrivals, deadly);
      const { backEnd } = place;
      setTimeout(() => {
        // The request was withdrawn, or the back end has crashed under another one.
        if (request.socket.destroyed || place.backEnd !== backEnd || !place.isListed) return;
        note(this.crashes, deadly);
        breakOff(this.#ending, request, response);
        this.#crash(place);
      }, CRASH_DELAY);
    };
  }

  #crash(place: Place): void {
    if (!place.isListed || this.#isStopped) return;
    place.isListed = false;
    void place.backEnd.stop();
    this.#announce();
    const timer = setTimeout(() => {
      this.#restarts.delete(timer);
      void this.#startAt(place).then(() => {
        place.isListed = true;
        this.#announce();
      });
    }, RESTART_TIME);
    this.#restarts.add(timer);
  }
}

function note(times: Map<string, number[]>, part: string): void {
  times.set(part, [...(times.get(part) ?? []), performance.now()]);
}

/** Some answers have neither a length nor chunks and end with their connection. */
function answerWhole(request: IncomingMessage, response: ServerResponse, interval: number): void {
  const id = String(request.headers['x-request']);
  const isUnframed = id.endsWith('0');
  if (isUnframed) response.useChunkedEncodingByDefault = false;
  response.writeHead(200, { 'x-request': id, 'content-type': 'text/event-stream' });
  let next = 1;
  const timer = setInterval(() => {
    response.write(events(next, next));
    if (next++ === EVENTS) response.end();
  }, interval);
  response.on('close', () => clearInterval(timer));
}

function breakOff(ending: CrashEnding, request: IncomingMessage, response: ServerResponse): void {
  const socket = request.socket as Socket;
  const head = { 'x-request': String(request.headers['x-request']), 'content-type': 'text/event-stream' };
  if (ending === 'noHead') return void socket.end();
  if (ending === 'length') response.setHeader('content-length', 1_000);
  else if (ending !== 'chunked') response.useChunkedEncodingByDefault = false;
  response.writeHead(200, head);
  response.flushHeaders();
  if (ending === 'insideEvent' || ending === 'reset') response.write('id: 1\ndata: wo');
  else if (ending !== 'headOnly') response.write(events(1, 1));
  if (ending === 'reset') setImmediate(() => socket.resetAndDestroy());
  else socket.end();
}
