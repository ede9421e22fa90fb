/**
 * Keeps the back-off times for which the local back end asks: it answers 503 with `Retry-After` and then gets no call until the
 * end of that time, and a single one first after it. Calls are refused meanwhile, as not run, with the time that is left.
 */
import type { HttpStream } from '../clients/http.js';
import type { BackEndBackoffs } from '../forwarding/back-end-backoffs.js';
import { readRetryAfter } from '../forwarding/retry-after-notice.js';
import type { BackEnd } from './calls.js';

const SERVICE_UNAVAILABLE = 503;
/** The only back end of an agent. */
const LOCAL = { id: 'local' };

/** Wraps a back end so that its back-off times are kept. */
export function keepBackoffs(backEnd: BackEnd, backoffs: BackEndBackoffs): BackEnd {
  return {
    refusalFor: (version) =>
      backoffs.admits(LOCAL, performance.now(), false) ? backEnd.refusalFor(version) : 'overloaded',
    backoffLeft: () => backoffs.timeLeft(LOCAL, performance.now()),
    async run(call, signal) {
      const sentAt = performance.now();
      backoffs.noteSent(LOCAL, call, sentAt);
      try {
        const stream = await backEnd.run(call, signal);
        noteAnswer(backoffs, stream, sentAt);
        return stream;
      } finally {
        backoffs.noteEnded(LOCAL, call);
      }
    },
    cancel: (call) => backEnd.cancel(call),
  };
}

function noteAnswer(backoffs: BackEndBackoffs, { statusCode, headers }: HttpStream, sentAt: number): void {
  const header = statusCode === SERVICE_UNAVAILABLE ? headers['retry-after'] : undefined;
  backoffs.noteAnswer(LOCAL, readRetryAfter(header), sentAt, performance.now());
}
