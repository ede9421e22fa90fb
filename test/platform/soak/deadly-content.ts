/** Request content that crashes every worker that runs it, sent again and again to any entry under new request ids. */
import type { Random } from '../../../src/model/random.js';
import { type SentRequest, sendRequest } from './callers.js';
import type { Run } from './workers.js';
import type { SoakWorld } from './world.js';

const PATH = '/again/deadly';
const BODY = 'deadly';
/** Time from the start of its run to the crash of the worker, in milliseconds. */
const CRASH_DELAY = 20;
/** Pause between two requests, in milliseconds. */
const PAUSE = 150;
/** A crash counts as a disruption of its worker for this long, in milliseconds. */
const DISRUPTION_TIME = 4_000;
/** Crashed workers that are allowed for one content: three, and three more by further requests. */
const MAX_CRASHES = 6;

/** One content that crashes workers. */
export class DeadlyContent {
  readonly sent: SentRequest[] = [];
  readonly #world: SoakWorld;
  readonly #random: Random;
  readonly #ended = new Set<string>();
  #isStopped = false;

  constructor(world: SoakWorld, random: Random) {
    this.#world = world;
    this.#random = random;
    world.log.onRun = (run) => this.#onRun(run);
  }

  /** Sends the content repeatedly until stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const entries = this.#world.entryAddresses();
      const { callers } = entries[this.#random.below(entries.length)];
      const id = `deadly-${this.sent.length}`;
      this.sent.push(await sendRequest(callers, undefined, { id, kind: 'again', path: PATH, body: BODY }));
      await new Promise((resolve) => setTimeout(resolve, PAUSE));
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Reports a violation if the content crashed too many workers. */
  judge(): string[] {
    return this.#ended.size > MAX_CRASHES ? [`BUDGET: one content crashed ${this.#ended.size} workers`] : [];
  }

  #onRun({ body, worker }: Run): void {
    const place = this.#world.workers.findIndex((one) => one.worker.id === worker);
    if (body !== BODY || place < 0) return;
    this.#ended.add(worker);
    this.#world.disruptions.record([worker], DISRUPTION_TIME);
    setTimeout(() => void this.#world.replaceWorker(place), CRASH_DELAY);
  }
}
