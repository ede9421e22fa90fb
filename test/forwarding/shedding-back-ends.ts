/** Back ends that refuse a share of their requests at random, each time asking for a back-off time, and what they saw. */
import { type Random, seededRandom } from '../../src/model/random.js';
import { type ForwardingHarness, NAMES } from './forwarding-harness.js';
import { reply, StandInBackEnd } from './stand-in-back-end.js';

/** Time that a request takes, in milliseconds. */
const SERVICE_TIME = 150;
/** A back-off time applies from this long after the refusal, in milliseconds: requests may have been under way. */
const NOTICE_TIME = 500;
const SECOND = 1_000;

export interface Shedding {
  /** Share of requests that the back end refuses. */
  share: number;
  /** In milliseconds. */
  backoff: number;
}

/** A back end that sheds requests. */
export class SheddingBackEnd {
  readonly backEnd: StandInBackEnd;
  readonly #arrivals: number[] = [];
  readonly #refusals: number[] = [];
  readonly #shedding: Shedding;
  readonly #random: Random;

  constructor(shedding: Shedding, seed: number) {
    this.#shedding = shedding;
    this.#random = seededRandom(seed);
    this.backEnd = new StandInBackEnd((request, response, body) => {
      this.#arrivals.push(performance.now());
      if (this.#random.fraction() >= shedding.share) {
        setTimeout(() => reply(200, 'served')(request, response, body), SERVICE_TIME);
        return;
      }
      const headers = { [NAMES.notRun]: '1', 'retry-after': String(shedding.backoff / SECOND) };
      reply(503, '', headers)(request, response, body);
      this.#refusals.push(performance.now());
    });
  }

  /** The most requests that arrived during one back-off time. */
  get mostDuringBackoff(): number {
    const { backoff } = this.#shedding;
    const counts = this.#refusals.map(
      (at) => this.#arrivals.filter((one) => one > at + NOTICE_TIME && one <= at + backoff).length,
    );
    return Math.max(0, ...counts);
  }
}

/** Sends requests at even intervals; returns the share of them that was served, and the mean time of those, in milliseconds. */
export async function sendEvenly(
  forwarding: ForwardingHarness,
  path: string,
  perSecond: number,
  duration: number,
): Promise<{ share: number; meanTime: number }> {
  const interval = SECOND / perSecond;
  const times: Array<Promise<number | undefined>> = [];
  const send = async () => {
    const sentAt = performance.now();
    const { status } = await forwarding.send(path);
    return status === 200 ? performance.now() - sentAt : undefined;
  };
  const startedAt = performance.now();
  while (times.length * interval < duration) {
    const wait = startedAt + times.length * interval - performance.now();
    if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait));
    times.push(send());
  }
  const served = (await Promise.all(times)).filter((time) => time !== undefined);
  const meanTime = served.reduce((sum, time) => sum + time, 0) / Math.max(1, served.length);
  return { share: served.length / times.length, meanTime };
}
