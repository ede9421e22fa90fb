/** A content in a soak that ends every worker which runs it, and its callers, who repeat it under another identity at any entry. */
import type { Random } from '../../../src/model/random.js';
import { type SentRequest, sendRequest } from './callers.js';
import type { Run } from './workers.js';
import type { SoakWorld } from './world.js';

const PATH = '/again/deadly';
const BODY = 'deadly';
/** Time from its run to the end of its worker, in milliseconds. */
const TIME_TO_END = 20;
/** Pause between two sends, in milliseconds. */
const PAUSE = 150;
/** Its worker and what is beside it count as struck for this long, in milliseconds. */
const AFTERMATH = 4_000;
/** Ends of workers by one content that are allowed: three, and three more sends. */
const MOST_ENDS = 6;

/** One such content. */
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

  /** Sends it again and again until it is stopped. */
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

  /** The promise that it breaks, if any. */
  judge(): string[] {
    return this.#ended.size > MOST_ENDS ? [`BUDGET: one content ended ${this.#ended.size} workers`] : [];
  }

  #onRun({ body, worker }: Run): void {
    const place = this.#world.workers.findIndex((one) => one.worker.id === worker);
    if (body !== BODY || place < 0) return;
    this.#ended.add(worker);
    this.#world.disruptions.note([worker], AFTERMATH);
    setTimeout(() => void this.#world.replaceWorker(place), TIME_TO_END);
  }
}
