/** How a request ends for its caller. */

import type { HoldOutcome } from '../systems/hold-record.js';
import type { BackEndUse } from './back-end-use.js';
import type { ForwardingError } from './forwarding-errors.js';
import { outcomeOfError, type RequestOutcome } from './request-outcome.js';

const INTERNAL_ERROR = 500;

export type RequestEnding =
  /** The whole answer of the attempt `use`, which may be an error response of the back end. */
  | { type: 'answered'; use: BackEndUse }
  /** An error of this system. */
  | { type: 'failed'; error: ForwardingError; routeName?: string | undefined }
  /** An incomplete answer; `isStop` if this process is stopping. */
  | { type: 'cut'; reason: string; isStop: boolean }
  /** The caller closed its connection. */
  | { type: 'left' };

/** The outcome as which an ending is counted. */
export function outcomeOfEnding(ending: RequestEnding): RequestOutcome {
  switch (ending.type) {
    case 'answered':
      return ending.use.answer.status >= INTERNAL_ERROR ? 'failedAnswer' : 'served';
    case 'failed':
      return outcomeOfError(ending.error);
    case 'cut':
      return ending.isStop ? 'stopped' : 'cut';
    case 'left':
      return 'left';
  }
}

/** How a wait in progress is recorded when its request ends. */
export function holdOutcomeOf({ type }: RequestEnding): HoldOutcome {
  if (type === 'left') return 'left';
  return type === 'answered' ? 'cancelled' : 'unserved';
}
