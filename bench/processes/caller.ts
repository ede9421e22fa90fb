/** A caller for the benches: streamed answers, each checked to be whole, its own, and of one version. */
import { setTimeout as pause } from 'node:timers/promises';
import { createHistogram } from './histogram.js';
import { BENCH_TENANT } from './observation.js';

const REQUEST_TIMEOUT = 20_000;

/** What became of the requests. */
export interface CallerCounts {
  sent: number;
  answeredWhole: number;
  refusedNotRun: number;
  /** No entry took a connection. */
  unreachable: number;
  /** Refused with the word that it may have run. */
  unknown: number;
  /** Begun and visibly cut: the connection broke before the answer's end. */
  cut: number;
  /** Neither a whole answer nor any clear word. */
  lost: number;
  /** The lost ones by what the caller saw. */
  lostBy: Record<string, number>;
  /** Answers whose events name more than one version. */
  mixedVersions: number;
  /** Answers to another request. */
  crossed: number;
  /** Whole answers by version. */
  byVersion: Record<string, number>;
}

/** One event of a streamed answer. */
interface StreamEvent {
  system_fingerprint: string;
  choices: Array<{ delta: { content: string }; finish_reason: string | null }>;
}

/** What a caller has counted before its first request. */
export function noCounts(): CallerCounts {
  return {
    sent: 0,
    answeredWhole: 0,
    refusedNotRun: 0,
    unreachable: 0,
    unknown: 0,
    cut: 0,
    lost: 0,
    lostBy: {},
    mixedVersions: 0,
    crossed: 0,
    byVersion: {},
  };
}

/** Sends requests for a model at a steady rate until it is stopped. */
export class Caller {
  readonly counts: CallerCounts = noCounts();
  /** Microseconds until the first part of an answer, and between its parts. */
  readonly firstToken = createHistogram();
  readonly betweenTokens = createHistogram();
  readonly #entries: readonly string[];
  readonly #model: string;
  readonly #tenant: string;
  readonly #pending = new Set<Promise<void>>();
  #running = false;

  constructor(entries: readonly string[], model: string, tenant = BENCH_TENANT) {
    this.#entries = entries;
    this.#model = model;
    this.#tenant = tenant;
  }

  /** Sends a request every `interval` milliseconds, going round the entries. */
  start(interval: number): void {
    this.#running = true;
    void this.#loop(interval);
  }

  /** Sends one request without waiting for its answer. */
  startOne(maxTokens?: number): void {
    const request = this.call(maxTokens);
    this.#pending.add(request);
    void request.finally(() => this.#pending.delete(request));
  }

  /** Sends no more, and returns when every request has ended. */
  async stop(): Promise<void> {
    this.#running = false;
    await Promise.all(this.#pending);
  }

  /** Sends one request and checks its answer; an entry that takes no connection is passed over. */
  async call(maxTokens = 16): Promise<void> {
    const number = this.counts.sent++;
    for (let attempt = 0; attempt < this.#entries.length; attempt++) {
      const entry = this.#entries[(number + attempt) % this.#entries.length];
      if (await this.#callAt(entry, `topic${number}`, maxTokens)) return;
    }
    this.counts.unreachable++;
  }

  /** Returns false when the entry took no connection, so that nothing was sent. */
  async #callAt(entry: string, topic: string, maxTokens: number): Promise<boolean> {
    const messages = [{ role: 'user', content: `please explain ${topic}` }];
    const body = JSON.stringify({ model: this.#model, stream: true, max_tokens: maxTokens, messages });
    const startedAt = performance.now();
    try {
      const answer = await fetch(`http://${entry}/v1/chat/completions`, {
        method: 'POST',
        headers: { 'x-thistleway-tenant': this.#tenant },
        body,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT),
      });
      if (answer.ok) this.#check(await this.#readStream(answer, startedAt), topic, maxTokens);
      else this.#noteRefusal((await answer.json()) as { error: { ran: string } });
    } catch (cause) {
      const code = ((cause as Error).cause as { code?: string } | undefined)?.code;
      if (code === 'ECONNREFUSED') return false;
      // The connection broke: the caller sees that there is no whole answer.
      const isCut =
        code === 'UND_ERR_SOCKET' || code === 'ECONNRESET' || (cause as Error).message === 'terminated';
      if (isCut) this.counts.cut++;
      else this.#noteLost(code ?? (cause as Error).name);
    }
    return true;
  }

  /** Reads a streamed answer, timing its first part and the time between parts. */
  async #readStream(answer: Response, startedAt: number): Promise<string> {
    let text = '';
    let lastAt = startedAt;
    const decoder = new TextDecoder();
    for await (const part of answer.body as unknown as AsyncIterable<Uint8Array>) {
      const now = performance.now();
      const histogram = text === '' ? this.firstToken : this.betweenTokens;
      histogram.recordValue(Math.round((now - lastAt) * 1_000));
      lastAt = now;
      text += decoder.decode(part, { stream: true });
    }
    return text;
  }

  #noteLost(reason: string): void {
    this.counts.lost++;
    this.counts.lostBy[reason] = (this.counts.lostBy[reason] ?? 0) + 1;
  }

  #noteRefusal({ error }: { error: { ran: string } }): void {
    if (error.ran === 'no') this.counts.refusedNotRun++;
    else this.counts.unknown++;
  }

  #check(text: string, topic: string, maxTokens: number): void {
    const lines = text.split('\n\n').filter((line) => line.startsWith('data: '));
    const events = lines
      .filter((line) => line !== 'data: [DONE]')
      .map((line) => JSON.parse(line.slice(6)) as StreamEvent);
    const content = events.map((event) => event.choices[0].delta.content).join('');
    const expected = Array.from({ length: maxTokens }, (_, index) => `${topic}-${index} `).join('');
    const versions = new Set(events.map((event) => event.system_fingerprint));
    if (versions.size > 1) this.counts.mixedVersions++;
    if (!content.startsWith(topic)) this.counts.crossed++;
    if (lines.at(-1) !== 'data: [DONE]' || content !== expected) {
      this.#noteLost('incomplete');
      return;
    }
    this.counts.answeredWhole++;
    for (const version of versions)
      this.counts.byVersion[version] = (this.counts.byVersion[version] ?? 0) + 1;
  }

  async #loop(interval: number): Promise<void> {
    while (this.#running) {
      this.startOne();
      await pause(interval);
    }
  }
}
