/**
 * Guards against errors in this process while a request is sent or answered: thrown in a callback of the client library they
 * ended the process with all its requests, and thrown after the request had been settled they left it without an answer.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { AnswerNotices } from '../../src/forwarding/answer-notices.js';
import { AttemptAnswer } from '../../src/forwarding/attempt-answer.js';
import { AttemptFactory } from '../../src/forwarding/attempt-factory.js';
import { BackEndConnections } from '../../src/forwarding/back-end-connections.js';
import { BackEndSearch } from '../../src/forwarding/back-end-search.js';
import { BackEndUse } from '../../src/forwarding/back-end-use.js';
import { CallerAnswer } from '../../src/forwarding/caller-answer.js';
import { OpenAttempts } from '../../src/forwarding/open-attempts.js';
import { RequestLog } from '../../src/forwarding/request-log.js';
import { SendPolicy } from '../../src/forwarding/send-policy.js';
import { ServiceRecord } from '../../src/forwarding/service-record.js';
import { until } from '../support.js';
import { ForwardingHarness } from './forwarding-harness.js';
import { billingConfiguration, routeNamed } from './routes.js';
import { events, reply, type Script, StandInBackEnd } from './stand-in-back-end.js';

let good: StandInBackEnd;
let bad: StandInBackEnd;
let forwarding: ForwardingHarness;
const uncaught: unknown[] = [];
const note = (cause: unknown) => {
  uncaught.push(cause);
};

beforeEach(async () => {
  uncaught.length = 0;
  process.on('uncaughtExceptionMonitor', note);
  good = await new StandInBackEnd(reply(200, 'answer')).start();
  bad = await new StandInBackEnd((request) => request.socket.destroy()).start();
  forwarding = new ForwardingHarness('billing');
  await forwarding.start(
    billingConfiguration(
      routeNamed('read'),
      routeNamed('once', { repeatability: 'never', maxAttempts: 1 }),
      routeNamed('write', { isStream: true, repeatability: 'resumable', longestPause: 300 }),
    ),
  );
});

afterEach(async () => {
  vi.restoreAllMocks();
  process.off('uncaughtExceptionMonitor', note);
  await forwarding.stop();
  await good.stop();
  await bad.stop();
});

/** Resolves with what a caller gets: a status, or `cut`; rejects if it gets nothing in time. */
async function outcomeOf(path: string): Promise<number | 'cut'> {
  const answer = forwarding.send(path).then(({ status, whole }) => (whole ? status : ('cut' as const)));
  const none = new Promise<never>((_, reject) =>
    setTimeout(() => reject(new Error('no answer')), 3_000).unref(),
  );
  return Promise.race([answer.catch(() => 'cut' as const), none]);
}

/** Throws once in a method, which then works again. */
function throwOnceIn<T extends object>(prototype: T, method: keyof T): void {
  const spy = vi.spyOn(prototype, method as never);
  spy.mockImplementationOnce((() => {
    throw new Error(`injected in ${String(method)}`);
  }) as never);
}

const STEPS: Array<[string, () => void]> = [
  ['the search for a back end', () => throwOnceIn(BackEndSearch.prototype, 'begin')],
  ['the charge of the budget', () => throwOnceIn(SendPolicy.prototype, 'chargeBudget')],
  ['the creation of an attempt', () => throwOnceIn(AttemptFactory.prototype, 'create')],
  ['the dispatch', () => throwOnceIn(BackEndConnections.prototype, 'dispatch')],
  ['the check before a request goes out', () => throwOnceIn(SendPolicy.prototype, 'mayGoOut')],
  ['the notices of an answer', () => throwOnceIn(AnswerNotices.prototype, 'apply')],
  ['the head of an answer', () => throwOnceIn(AttemptAnswer.prototype, 'begin')],
  ['a part of an answer', () => throwOnceIn(AttemptAnswer.prototype, 'push')],
  ['the forwarding of a part', () => throwOnceIn(CallerAnswer.prototype, 'forward')],
  ['the record of an answer', () => throwOnceIn(BackEndUse.prototype, 'noteServed')],
  ['the log line of an answer', () => throwOnceIn(RequestLog.prototype, 'noteAnswered')],
  ['the end of an attempt', () => throwOnceIn(OpenAttempts.prototype, 'close')],
  ['the release of attempts', () => throwOnceIn(OpenAttempts.prototype, 'abortAll')],
  ['the record of the service', () => throwOnceIn(ServiceRecord.prototype, 'note')],
  ['the end of an answer', () => throwOnceIn(CallerAnswer.prototype, 'end')],
];

describe('an error in a step of an attempt ends at most its request', () => {
  for (const path of ['/read/a', '/once/a', '/write/a'])
    for (const [step, inject] of STEPS)
      it(`${path}: ${step}`, async () => {
        if (path === '/write/a')
          good.answer((request, response) => {
            const id = String(request.headers['x-request']);
            response.writeHead(200, { 'x-request': id, 'content-type': 'text/event-stream' });
            response.end(events(1, 3));
          });
        forwarding.list(['good', good]);
        expect(await outcomeOf(path)).toBe(200);
        inject();
        expect([200, 502, 503, 'cut']).toContain(await outcomeOf(path));
        for (let request = 0; request < 3; request++) expect(await outcomeOf(path)).toBe(200);
        await until(() => forwarding.active === 0, 'the end of all requests');
        expect(uncaught).toEqual([]);
      });
});

describe('an error as a request is sent again, after another back end has broken it off,', () => {
  for (const [step, inject] of STEPS.slice(0, 5))
    it(`ends at most its request: ${step}`, async () => {
      let attempts = 0;
      const breakOff: Script = (request) => {
        if (attempts++ === 0) inject();
        request.socket.destroy();
      };
      bad.answer(breakOff);
      const other = await new StandInBackEnd(breakOff).start();
      forwarding.list(['bad', bad], ['other', other]);
      expect([502, 503]).toContain(await outcomeOf('/read/a'));
      vi.restoreAllMocks();
      forwarding.list(['good', good]);
      expect(await outcomeOf('/read/a')).toBe(200);
      await other.stop();
      expect(uncaught).toEqual([]);
    });
});

describe('a request that cannot be sent to a back end', () => {
  it('goes to another one, without using up an attempt', async () => {
    forwarding.list(['one', good]);
    const other = await new StandInBackEnd(reply(200, 'answer')).start();
    forwarding.list(['one', good], ['other', other]);
    for (const path of ['/read/a', '/once/a']) {
      throwOnceIn(BackEndConnections.prototype, 'dispatch');
      expect(await outcomeOf(path)).toBe(200);
    }
    await other.stop();
  });
});
