/**
 * Guards against prompt parts that crash each back end which begins to answer a request with them: no two of these requests are
 * alike, so that the quarantine of whole contents never applies.
 */
import { afterEach, describe, expect, it } from 'vitest';
import type { BackEndRecord } from '../../src/protocol/back-end-list-state.js';
import { CRASH_ENDINGS, type CrashEnding, CrashingFleet } from './crashing-fleet.js';
import { ENGINE_CONFIGURATION } from './engine-configuration.js';
import { type Answer, ForwardingHarness } from './forwarding-harness.js';
import { routeNamed } from './routes.js';
import type { StandInBackEnd } from './stand-in-back-end.js';

const BACK_ENDS = 10;
/** Maximum number of sends of requests with one part after its fifth crash. */
const MAX_SENDS = 3;
const ROUNDS = 30;
/** Time between two rounds of requests, in milliseconds. */
const INTERVAL = 120;
const SOUND_IN_A_ROUND = 4;
/** Interval of the events of slow answers, in milliseconds: they take 3 s. */
const SLOW_INTERVAL = 500;
const FIRST_PART = 'aaaa';
const DEADLY = 'dead';

interface SentRequest {
  round: number;
  answer: Answer;
}

let fleet: CrashingFleet;
let forwarding: ForwardingHarness;

async function startFleet(
  ending: CrashEnding,
  deadlyParts: readonly string[] = [DEADLY],
  eventInterval?: number,
): Promise<void> {
  fleet = new CrashingFleet(BACK_ENDS, deadlyParts, ending, eventInterval);
  forwarding = new ForwardingHarness('billing');
  const stream = { isStream: true, objective: 5_000, longestPause: 1_000, patience: 4_000 } as const;
  const again = routeNamed('again', { ...stream, repeatability: 'resumable' });
  const once = routeNamed('once', { ...stream, repeatability: 'never', maxAttempts: 1 });
  const services = [{ name: 'billing', maxConnections: 0, engine: undefined }];
  await forwarding.start({ ...ENGINE_CONFIGURATION, routes: [again, once], services });
  fleet.onListChanged = (listed) => {
    const rows = listed.map(({ id, backEnd, start }): [string, StandInBackEnd, Partial<BackEndRecord>] => [
      id,
      backEnd,
      { start },
    ]);
    forwarding.list(...rows);
  };
  await fleet.start();
}

afterEach(async () => {
  await forwarding.stop();
  await fleet.stop();
});

async function send(path: string, round: number, parts: readonly string[]): Promise<SentRequest> {
  const prompt = parts.map((part) => `${part}:100`).join(',');
  const answer = await forwarding.send(`${path}${round}`, { headers: { 'x-parts': prompt } });
  return { round, answer };
}

/** Sends one request with each of the deadly prompts in each round, beside sound ones; returns the answers to the sound ones. */
async function play(path: string, deadlyPrompts: ReadonlyArray<readonly string[]>): Promise<SentRequest[]> {
  const sound: Array<Promise<SentRequest>> = [];
  const deadly: Array<Promise<SentRequest>> = [];
  for (let round = 0; round < ROUNDS; round++) {
    for (const [index, prompt] of deadlyPrompts.entries())
      deadly.push(send(path, round, [...prompt, `d${index}${round}`]));
    for (let index = 0; index < SOUND_IN_A_ROUND; index++)
      sound.push(send(path, round, [FIRST_PART, `b${(round + index) % 7}`, `e${round}${index}`]));
    await new Promise((resolve) => setTimeout(resolve, INTERVAL));
  }
  await Promise.all(deadly);
  return Promise.all(sound);
}

/** Sound requests of the second half, when the part must be known, are all served at their first attempt. */
function expectServed(sound: readonly SentRequest[]): void {
  const later = sound.filter(({ round }) => round >= ROUNDS / 2);
  expect(later.map(({ answer }) => answer.status)).toEqual(later.map(() => 200));
  expect(later.filter(({ answer }) => !answer.whole)).toEqual([]);
}

describe('a part that is in progress wherever a back end crashes', () => {
  it('is not refused while answers with it go on, however long they take', async () => {
    await startFleet('noHead', [DEADLY], SLOW_INTERVAL);
    const sound = await play('/again/', [[FIRST_PART, DEADLY]]);
    expect(fleet.sendsAfterFifthCrash(DEADLY)).toBeLessThanOrEqual(MAX_SENDS);
    const refused = sound.filter(({ answer }) => answer.status === 503);
    expect(refused.length).toBeLessThanOrEqual(sound.length / 20);
  });
});

describe('a prompt part that crashes back ends', () => {
  it.each(CRASH_ENDINGS)('is sent at most three more times after its fifth crash (%s)', async (ending) => {
    await startFleet(ending);
    const sound = await play('/again/', [[FIRST_PART, DEADLY]]);
    expect(fleet.sendsAfterFifthCrash(DEADLY)).toBeLessThanOrEqual(MAX_SENDS);
    expectServed(sound);
  });

  it('is sent at most three more times after its fifth crash (first of the prompt)', async () => {
    await startFleet('noHead');
    const sound = await play('/again/', [[DEADLY, 'b1']]);
    expect(fleet.sendsAfterFifthCrash(DEADLY)).toBeLessThanOrEqual(MAX_SENDS);
    expectServed(sound);
  });

  it('is sent at most three more times after its fifth crash (requests that are not repeated)', async () => {
    await startFleet('chunked');
    const sound = await play('/once/', [[FIRST_PART, DEADLY, 'b2']]);
    expect(fleet.sendsAfterFifthCrash(DEADLY)).toBeLessThanOrEqual(MAX_SENDS);
    expectServed(sound);
  });

  it('is sent at most three more times after its fifth crash (several parts at once)', async () => {
    const parts = ['dead', 'bad1', 'bad2'];
    await startFleet('noHead', parts);
    const sound = await play(
      '/again/',
      parts.map((part) => [FIRST_PART, part]),
    );
    for (const part of parts) expect(fleet.sendsAfterFifthCrash(part)).toBeLessThanOrEqual(MAX_SENDS);
    expectServed(sound);
  });

  it('is sent at most three more times after its fifth crash (beside crashes of other causes)', async () => {
    await startFleet('noHead');
    let index = 0;
    const others = setInterval(() => fleet.crash(index++ % BACK_ENDS), 300);
    const sound = await play('/again/', [[FIRST_PART, DEADLY]]);
    clearInterval(others);
    expect(fleet.sendsAfterFifthCrash(DEADLY)).toBeLessThanOrEqual(MAX_SENDS);
    // Crashes of other causes go on, so that some sound requests are cut.
    const refused = sound.filter(({ round, answer }) => round >= ROUNDS / 2 && answer.status === 503);
    expect(refused.length).toBeLessThanOrEqual(sound.length / 20);
  });
});
