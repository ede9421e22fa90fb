/**
 * Guards against an error that nobody handles in a process: the runtime ended it at once, with all its requests and no line in
 * the log.
 */
import { afterAll, afterEach, beforeAll, beforeEach, expect, it } from 'vitest';
import { until } from '../support.js';
import { EntryProcesses, exitWithin, GRACE_SECONDS, waitUntilServing } from './entry-processes.js';

const entries = new EntryProcesses(78);
const held: Array<() => void> = [];

beforeAll(() => entries.build('test/platform/failing-entry.ts'));
afterAll(() => entries.removeFolder());

beforeEach(async () => {
  held.length = 0;
  await entries.start((request, response) => {
    held.push(() => {
      response.writeHead(200, { 'attempt-id': String(request.headers['attempt-id']) });
      response.end('done');
    });
  });
});
afterEach(() => entries.stop());

for (const failure of ['timer', 'repeatedTimer', 'event', 'errorEvent', 'promise', 'noError'])
  it(`an uncaught error (${failure}) loses no request, is logged, and the process is replaced`, async () => {
    const one = await entries.startEntry({ FAILURE: failure });
    await waitUntilServing(one);
    const before = entries.send(one.callers);
    await until(() => held.length === 1, 'a request at its back end');
    one.child.kill('SIGUSR2');
    const ended = exitWithin(one, 2 * GRACE_SECONDS + 2);
    await until(() => one.output.includes('uncaught error'), 'the line of the error');
    const after = entries.send(one.callers);
    await until(() => held.length === 2, 'another request at its back end');
    for (const release of held) release();
    expect(await before).toEqual({ status: 200, body: 'done', whole: true });
    expect(await after).toEqual({ status: 200, body: 'done', whole: true });
    expect(await ended).toEqual({ code: 1, signal: null });
    const lines = one.output.split('\n').filter((line) => line.includes('"uncaught error"'));
    expect(JSON.parse(lines[0])).toMatchObject({ level: 'ERROR', count: 1 });
    if (failure !== 'noError') expect(JSON.parse(lines[0]).cause).toContain('provoked');
    expect(one.output).toContain('"message":"process ends"');
  });

it('invalid settings end the process at once, with the field', async () => {
  const one = await entries.startProcess('entry', { platform: { address: 'worker.999:9' } });
  expect(await exitWithin(one)).toEqual({ code: 1, signal: null });
  expect(one.output).toContain('address');
});

it('an error as an entry begins to stop loses no request', async () => {
  const one = await entries.startEntry({ FAILURE: 'stop' });
  await waitUntilServing(one);
  const answer = entries.send(one.callers);
  await until(() => held.length === 1, 'a request at its back end');
  one.child.kill('SIGUSR2');
  await until(() => one.output.includes('uncaught error'), 'the line of the error');
  one.child.kill('SIGTERM');
  const ended = exitWithin(one);
  await until(() => /"message":"(entry leaves|process fails)"/.test(one.output), 'the stop');
  setTimeout(() => held[0](), 300);
  expect(await answer).toEqual({ status: 200, body: 'done', whole: true });
  expect(await ended).toEqual({ code: 1, signal: null });
});
