/**
 * An engine that batches continuously, in virtual time: it works in passes over the requests that it has let in, reads
 * prompts in pieces beside the tokens that it writes, and queues what exceeds its slots, the more urgent first.
 */
import type { VirtualClock } from './virtual-clock.js';

/** The pace of an engine; times in milliseconds. */
export interface EnginePace {
  /** Requests that it runs at once, and requests that it queues beyond them. */
  slots: number;
  queue: number;
  /** Length of a pass that writes a token for each request, and what each request adds to it. */
  step: number;
  stepPerRequest: number;
  tokensReadPerMillisecond: number;
  tokensReadPerPass: number;
  tokensPerEvent: number;
}

/** Length of a pass in which only prompts are read, beside the reading, in milliseconds. */
const READING_PASS = 3;

/** A request at an engine. */
export interface EngineJob {
  urgency: number;
  promptTokens: number;
  answerTokens: number;
  /** An event has been written. */
  onEvent(): void;
  onEnd(): void;
}

interface RunningJob extends EngineJob {
  unread: number;
  written: number;
}

/** One engine. */
export class SimulatedEngine {
  readonly #clock: VirtualClock;
  readonly #pace: EnginePace;
  /** Passes take this many times as long as the pace says. */
  slowness = 1;
  readonly #queue: RunningJob[] = [];
  #running: RunningJob[] = [];
  #isWorking = false;

  constructor(clock: VirtualClock, pace: EnginePace) {
    this.#clock = clock;
    this.#pace = pace;
  }

  /** Requests that run or wait. */
  get load(): number {
    return this.#running.length + this.#queue.length;
  }

  /** Takes a request; undefined where its queue is full, else what drops the request again. */
  take(job: EngineJob): (() => void) | undefined {
    if (this.load >= this.#pace.slots + this.#pace.queue) return undefined;
    const taken = { ...job, unread: job.promptTokens, written: 0 };
    this.#queue.push(taken);
    if (!this.#isWorking) {
      this.#isWorking = true;
      this.#clock.schedule(this.#clock.now, () => this.#pass());
    }
    return () => this.#drop(taken);
  }

  /** Ends a request whose connection has broken. */
  #drop(job: RunningJob): void {
    const place = this.#queue.indexOf(job);
    if (place >= 0) this.#queue.splice(place, 1);
    this.#running = this.#running.filter((other) => other !== job);
  }

  #pass(): void {
    this.#letIn();
    if (this.#running.length === 0) {
      this.#isWorking = false;
      return;
    }
    const read = this.#read();
    const isWriting = this.#running.some(({ unread }) => unread <= 0);
    const writing = this.#pace.step + this.#pace.stepPerRequest * this.#running.length;
    const length = read / this.#pace.tokensReadPerMillisecond + (isWriting ? writing : READING_PASS);
    this.#clock.schedule(this.#clock.now + length * this.slowness, () => {
      this.#write();
      this.#pass();
    });
  }

  #letIn(): void {
    while (this.#running.length < this.#pace.slots && this.#queue.length > 0) {
      const least = Math.min(...this.#queue.map(({ urgency }) => urgency));
      const next = this.#queue.findIndex(({ urgency }) => urgency === least);
      this.#running.push(...this.#queue.splice(next, 1));
    }
  }

  /** Reads prompts; returns how many tokens. */
  #read(): number {
    let left: number = this.#pace.tokensReadPerPass;
    for (const job of this.#running) {
      const part = Math.min(left, job.unread);
      job.unread -= part;
      left -= part;
    }
    return this.#pace.tokensReadPerPass - left;
  }

  #write(): void {
    const writing = this.#running.filter(({ unread }) => unread <= 0);
    for (const job of writing) {
      job.written++;
      if (job.written % this.#pace.tokensPerEvent === 0) job.onEvent();
      if (job.written < job.answerTokens) continue;
      this.#running = this.#running.filter((other) => other !== job);
      job.onEnd();
    }
  }
}
