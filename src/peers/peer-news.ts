/**
 * News that entries send one another as it occurs, and in full on each new connection, because an entry that
 * has just started or was cut off has missed it: request contents that crash back ends, and rate limits of
 * back ends.
 */

import type { Message } from '../protocol/messages.js';
import type { PoisonUpdate } from '../protocol/poison-update.js';
import type { RateLimitUpdate } from '../protocol/rate-limit-update.js';

/** Applies and provides one kind of news. */
export interface NewsHandler<T> {
  takeNews(news: T, now: number): void;
  allNews(): T[];
}

/** Converts between the news of one entry and messages to its peers. */
export class PeerNews {
  readonly #poison: NewsHandler<PoisonUpdate>;
  readonly #limits: NewsHandler<RateLimitUpdate>;

  constructor(poison: NewsHandler<PoisonUpdate>, limits: NewsHandler<RateLimitUpdate>) {
    this.#poison = poison;
    this.#limits = limits;
  }

  /** Messages with all current news, to send on a new connection. */
  all(): Message[] {
    const messages: Message[] = [];
    const poison = this.#poison.allNews();
    const limits = this.#limits.allNews();
    if (poison.length > 0) messages.push({ type: 'poisonNews', news: poison });
    if (limits.length > 0) messages.push({ type: 'limitNews', news: limits });
    return messages;
  }

  /** Applies a message from another entry; false if it is of another type. */
  apply(message: Message): boolean {
    const now = performance.now();
    // The codec decodes undefined as null.
    const withoutNullStart = <T extends { start?: number | undefined }>(one: T): T => ({
      ...one,
      start: one.start ?? undefined,
    });
    if (message.type === 'poisonNews') {
      for (const one of message.news)
        this.#poison.takeNews(one.type === 'crashed' ? withoutNullStart(one) : one, now);
      return true;
    }
    if (message.type !== 'limitNews') return false;
    for (const one of message.news) this.#limits.takeNews(withoutNullStart(one), now);
    return true;
  }
}
