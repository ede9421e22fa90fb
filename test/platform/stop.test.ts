/** Tests how the bundled entry stops on SIGTERM, as a process with a stand-in for the platform's store. */
import { execFileSync } from 'node:child_process';
import { open } from 'node:fs/promises';
import { afterAll, afterEach, beforeAll, beforeEach, expect, it } from 'vitest';
import { until } from '../support.js';
import { EntryProcesses, exitWithin, waitUntilServing } from './entry-processes.js';

const entries = new EntryProcesses(77);
/** Makes the back end answer the request that it holds. */
let releaseAnswer: () => void;

beforeAll(() => entries.build());
afterAll(() => entries.removeFolder());

beforeEach(() =>
  entries.start((request, response) => {
    releaseAnswer = () => {
      response.writeHead(200, { 'attempt-id': String(request.headers['attempt-id']) });
      response.end('done');
    };
  }),
);
afterEach(() => entries.stop());

it('a second SIGTERM cuts no answer', async () => {
  const one = await entries.startEntry();
  await waitUntilServing(one);
  const answer = entries.send(one.callers);
  await until(() => entries.backEnd.requests.length === 1, 'the request at its back end');
  one.child.kill('SIGTERM');
  const ended = exitWithin(one);
  await until(() => one.output.includes('entry leaves'), 'the first SIGTERM to be handled');
  one.child.kill('SIGTERM');
  setTimeout(() => releaseAnswer(), 300);
  expect(await answer).toEqual({ status: 200, body: 'done', whole: true });
  expect(await ended).toEqual({ code: 0, signal: null });
});

it('an entry whose store and back end hang exits by itself and answers the pending request', async () => {
  const one = await entries.startEntry();
  await waitUntilServing(one);
  entries.store.faults.silent = true;
  const answer = entries.send(one.callers);
  await until(() => entries.backEnd.requests.length === 1, 'the request at its back end');
  one.child.kill('SIGTERM');
  const ended = exitWithin(one);
  // 504, since the request may have been executed.
  expect(await answer).toMatchObject({ status: 504, whole: true });
  expect(await ended).toEqual({ code: 0, signal: null });
});

it('a SIGTERM during the start lets the start finish, and the process exits by itself', async () => {
  // The process reads its settings from a pipe, so that its start blocks until the test writes them.
  const { file, callers, settings } = await entries.nextSettings();
  execFileSync('mkfifo', [file]);
  const one = entries.spawn(file, callers);
  const pipe = await open(file, 'w');
  one.child.kill('SIGTERM');
  const ended = exitWithin(one);
  await pipe.writeFile(settings);
  await pipe.close();
  expect(await ended).toEqual({ code: 0, signal: null });
  expect(one.output).toContain('entry leaves');
  expect(one.output).toContain('entry stops');
});
