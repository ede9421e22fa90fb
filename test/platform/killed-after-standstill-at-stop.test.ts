/** Guards against a stopping process that is killed with its requests, as it got no processor while it was told to stop. */
import { afterAll, afterEach, beforeAll, beforeEach, expect, it } from 'vitest';
import { until } from '../support.js';
import { type EntryProcess, EntryProcesses, GRACE_SECONDS, waitUntilServing } from './entry-processes.js';

const GRACE = GRACE_SECONDS * 1_000;
const PATHS = ['/once/a', '/again/a', '/flow/a'];
const REQUESTS_A_PATH = 4;

const entries = new EntryProcesses(81);

beforeAll(() => entries.build());
afterAll(() => entries.removeFolder());
beforeEach(() => entries.start(() => {}));
afterEach(() => entries.stop());

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** A time in which the process gets no processor, in milliseconds from SIGTERM on; it begins before the signal at the earliest. */
interface Standstill {
  from: number;
  to: number;
}

/** Stops `one` as the platform does, beside standstills in the order of time; resolves with how it ended. */
async function stopBeside(standstills: readonly Standstill[], one: EntryProcess) {
  const { child } = one;
  const signalAt = performance.now() + Math.max(0, ...standstills.map(({ from }) => -from));
  const at = (time: number) => pause(Math.max(0, signalAt + time - performance.now()));
  const signals: Array<[number, NodeJS.Signals]> = [
    [0, 'SIGTERM'],
    [GRACE, 'SIGKILL'],
    ...standstills.flatMap(
      ({ from, to }): Array<[number, NodeJS.Signals]> => [
        [from, 'SIGSTOP'],
        [to, 'SIGCONT'],
      ],
    ),
  ];
  signals.sort(([first], [second]) => first - second);
  let hasEnded = false;
  void one.exit.then(() => {
    hasEnded = true;
  });
  for (const [time, signal] of signals) {
    await at(time);
    if (!hasEnded) child.kill(signal);
  }
  return one.exit;
}

it.each<{ what: string; standstills: Standstill[] }>([
  { what: 'begins before it and ends 0.9 s after it', standstills: [{ from: -300, to: 900 }] },
  { what: 'begins before it and ends 1.5 s after it', standstills: [{ from: -300, to: 1_500 }] },
  { what: 'begins 2 s before it and ends with it', standstills: [{ from: -2_000, to: 20 }] },
  {
    what: 'comes again and again',
    standstills: [
      { from: -100, to: 700 },
      { from: 1_000, to: 1_600 },
      { from: 2_800, to: 3_200 },
    ],
  },
  { what: 'begins shortly before the exit', standstills: [{ from: 3_000, to: 3_600 }] },
])(
  'a standstill that $what cuts no request',
  async ({ standstills }) => {
    const one = await entries.startEntry();
    await waitUntilServing(one);
    const answers = PATHS.flatMap((path) =>
      Array.from({ length: REQUESTS_A_PATH }, () => entries.send(one.callers, path)),
    );
    await until(() => entries.backEnd.requests.length === answers.length, 'all requests at the back end');
    const exit = await stopBeside(standstills, one);
    // 504, as each request may have run.
    const lost = (await Promise.all(answers)).filter(({ status, whole }) => status !== 504 || !whole);
    expect(lost).toEqual([]);
    expect(exit).toEqual({ code: 0, signal: null });
    expect(one.output).toContain('process ends');
  },
  30_000,
);
