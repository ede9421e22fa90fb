/**
 * The prompts that one engine has been granted and has not read yet, and when a further request may be granted a slot.
 *
 * An engine reads prompts in the order in which they arrive. Beyond what keeps it reading, a grant brings no first event
 * earlier: the request waits at the engine instead of its agent, where another engine could still take it and a more urgent one
 * could pass it, and its reading delays the first events of those before it. Pure; times are in milliseconds of the caller's
 * clock.
 */
import type { DeclaredPace } from './wait-policy.js';

/** A request whose prompt is to be read. */
export interface PromptAsk {
  id: string;
  /** Tokens of its prompt; 0 or undefined if unknown, which counts as no work. */
  promptTokens?: number | undefined;
}

/** What is known of how fast the engine is. */
export interface KnownPace {
  /** What its service declares; undefined, or a reading rate of 0, sets no limit by work. */
  declaredPace?: DeclaredPace | undefined;
  /** How many times as long as declared it takes, by its own report; undefined if it reports none. */
  pace?: number | undefined;
}

/** A prompt whose answer has not begun as far as is known. */
interface UnreadPrompt {
  grantedAt: number;
  /** Time to read it at the declared rate, and to read it and all before it from the grant on. */
  own: number;
  readAfter: number;
}

/** Time for which an engine is given prompts to read ahead: above the way to an entry and back, and the length of a pass. */
const READ_AHEAD = 50;
/** Tokens generated before the first event is complete, as configurations do not declare them. */
const FIRST_EVENT_TOKENS = 8;
/** Highest pace that is believed: an engine that stands still is the business of other systems. */
const MAX_PACE = 4;
/** Time after which the report that a prompt is read is taken for lost. */
const LOST_AFTER = 2_000;
const MILLISECONDS = 1_000;

/** The unread prompts of one engine. */
export class PromptBacklog {
  /** In the order of their grants. */
  readonly #unread = new Map<string, UnreadPrompt>();
  #known: KnownPace = {};

  /** Applies what is known of the engine. */
  observe(known: KnownPace): void {
    this.#known = known;
  }

  /** Whether grants are limited by work, so that entries are to report when a prompt is read. */
  get isLimiting(): boolean {
    return this.#rate > 0;
  }

  /** How many times as long as declared the engine takes at present, 1 to 4. */
  pace(now: number): number {
    let pace = Math.max(1, this.#known.pace ?? 1);
    // An answer that is overdue shows that the engine is slow before it begins.
    for (const prompt of this.#unread.values()) pace = Math.max(pace, this.#paceOf(prompt, now));
    return Math.min(MAX_PACE, pace);
  }

  /** When the request may be granted a slot, if nothing else is granted until then; `now` or earlier if it may be now. */
  grantableAt(ask: PromptAsk, now: number): number {
    if (this.#readTime(ask) === 0) return now;
    this.#forgetLost(now);
    const pace = this.pace(now);
    return now + this.#ahead(now, pace) * pace - READ_AHEAD;
  }

  noteGranted(ask: PromptAsk, now: number): void {
    const own = this.#readTime(ask);
    if (own === 0) return;
    this.#unread.set(ask.id, { grantedAt: now, own, readAfter: this.#ahead(now, this.pace(now)) + own });
  }

  /** The engine has read the prompt of the request `id`: its answer has begun. All that were granted before are read too. */
  noteRead(id: string): void {
    if (!this.#unread.has(id)) return;
    for (const other of this.#unread.keys()) {
      this.#unread.delete(other);
      if (other === id) break;
    }
  }

  /** The request `id` has no slot any more. */
  noteReleased(id: string): void {
    const released = this.#unread.get(id);
    if (released === undefined) return;
    this.#unread.delete(id);
    // Most such slots were not used, as another engine's was granted before.
    for (const prompt of this.#unread.values())
      if (prompt.readAfter > released.readAfter) prompt.readAfter -= released.own;
  }

  /** The engine has restarted, and has no prompts any more. */
  clear(): void {
    this.#unread.clear();
  }

  /** Time in which all prompts are read at the declared rate, if the engine takes `pace` times as long. */
  #ahead(now: number, pace: number): number {
    let ahead = 0;
    for (const { grantedAt, readAfter } of this.#unread.values())
      ahead = Math.max(ahead, readAfter - (now - grantedAt) / pace);
    return ahead;
  }

  /** How many times as long as declared the answer to `prompt` takes at least, if it has not begun at `now`. */
  #paceOf({ grantedAt, readAfter }: UnreadPrompt, now: number): number {
    const tokenTime = this.#known.declaredPace?.tokenTime ?? 0;
    return (now - grantedAt) / (readAfter + FIRST_EVENT_TOKENS * tokenTime);
  }

  #forgetLost(now: number): void {
    for (const [id, { grantedAt }] of this.#unread)
      if (now - grantedAt >= LOST_AFTER) this.#unread.delete(id);
  }

  /** Time in which the prompt is read at the declared rate. */
  #readTime({ promptTokens }: PromptAsk): number {
    return this.#rate > 0 ? ((promptTokens ?? 0) * MILLISECONDS) / this.#rate : 0;
  }

  /** Declared tokens a second; 0 if not declared. */
  get #rate(): number {
    return this.#known.declaredPace?.readTokensPerSecond ?? 0;
  }
}
