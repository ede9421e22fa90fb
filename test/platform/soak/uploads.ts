/** Requests with bodies in a soak: how callers send them, in parts, with a length or in chunks, and standstills of entries meanwhile. */
import type { ClientRequest } from 'node:http';
import type { Random } from '../../../src/model/random.js';
import { drawBetween, entriesOf, type Fault, pick } from './fault.js';

const MIN_BYTES = 2_048;
/** Sizes are powers of two times the least, so that few are large. */
const MAX_DOUBLINGS = 9;
const MAX_PARTS = 8;
/** Longest pause between two parts, in milliseconds. */
const MAX_PART_PAUSE = 120;
/** Longest standstill of an entry, in milliseconds: it is late by this much, and must lose nothing. */
const MAX_STANDSTILL = 400;
/** No response to `Expect: 100-continue` within this time, in milliseconds: the body is sent all the same. */
const CONTINUE_TIMEOUT = 1_000;

/** How a body is sent. */
export interface Upload {
  parts: number;
  /** Pause between two parts, in milliseconds. */
  pause: number;
  isChunked: boolean;
  expectsContinue: boolean;
}

/** Draws how a body is sent, and as how many bytes it is. */
export function drawUpload(random: Random): { bytes: number; upload: Upload } {
  return {
    bytes: MIN_BYTES * 2 ** random.below(MAX_DOUBLINGS),
    upload: {
      parts: 1 + random.below(MAX_PARTS),
      pause: random.below(MAX_PART_PAUSE),
      isChunked: random.below(2) === 0,
      expectsContinue: random.below(4) === 0,
    },
  };
}

/** Headers of a request whose body is sent as `upload` says. */
export function uploadHeaders(body: string, { isChunked, expectsContinue }: Upload): Record<string, string> {
  return {
    ...(isChunked ? { 'Transfer-Encoding': 'chunked' } : { 'Content-Length': String(body.length) }),
    ...(expectsContinue ? { Expect: '100-continue' } : {}),
  };
}

/** Sends the body of `request` in parts; stops once the request has ended. */
export async function sendBody(request: ClientRequest, body: string, upload: Upload): Promise<void> {
  const { parts, pause, expectsContinue } = upload;
  if (expectsContinue) {
    request.flushHeaders();
    await new Promise((resolve) => {
      request.once('continue', resolve).once('close', resolve);
      setTimeout(resolve, CONTINUE_TIMEOUT);
    });
  }
  const size = Math.ceil(body.length / parts);
  for (let at = 0; at < body.length && !request.destroyed; at += size) {
    request.write(body.slice(at, at + size));
    await new Promise((resolve) => setTimeout(resolve, pause));
  }
  request.end();
}

/** Entries that get no processor for a short time, which is no reason to lose a request. */
export const STANDSTILLS: Fault[] = [
  {
    name: 'entry gets no processor',
    begin(world, random) {
      const { child, name } = pick(entriesOf(world), random);
      const duration = drawBetween(random, 50, MAX_STANDSTILL);
      child?.kill('SIGSTOP');
      return { duration, end: () => void child?.kill('SIGCONT'), detail: name };
    },
  },
  {
    name: 'all entries get no processor in turn, again and again',
    begin(world, random) {
      const entries = entriesOf(world);
      const duration = drawBetween(random, 1_000, 3_000);
      const standstill = drawBetween(random, 100, MAX_STANDSTILL);
      const stalled = new Map<number, NodeJS.Timeout>();
      const stallOne = () => {
        const { child } = pick(entries, random);
        if (child?.pid === undefined || stalled.has(child.pid)) return;
        const { pid } = child;
        child.kill('SIGSTOP');
        stalled.set(
          pid,
          setTimeout(() => {
            child.kill('SIGCONT');
            stalled.delete(pid);
          }, standstill),
        );
      };
      const timer = setInterval(stallOne, standstill);
      return { duration, end: () => clearInterval(timer), detail: `${standstill} ms each` };
    },
  },
];
