/**
 * Shows that tests can fail: each guard of `guard-table.mjs` is taken out of a copy of the code, and the test named beside it
 * must then fail. `npm run guards [-- --only TEXT]` prints the table; a guard whose absence no test notices is an error.
 */
import { spawn } from 'node:child_process';
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { availableParallelism, tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { GUARDS } from './guard-table.mjs';

/** Copies of the code in which guards are taken out side by side: most tests wait more than they compute. */
const LANES = Math.max(1, Math.min(6, Math.floor((availableParallelism() * 3) / 4)));

const COPIED = [
  'src',
  'test',
  'bench',
  'emulator',
  'platform',
  'package.json',
  'tsconfig.json',
  'vitest.config.ts',
];

/** Makes a copy of the code, which goes with this process. */
function copyOfCode() {
  const root = mkdtempSync(join(tmpdir(), 'thistleway-guards-'));
  for (const name of COPIED) cpSync(name, join(root, name), { recursive: true });
  symlinkSync(resolve('node_modules'), join(root, 'node_modules'));
  process.once('exit', () => rmSync(root, { recursive: true, force: true }));
  return root;
}

/** Resolves with true where the tests fail. */
function testsFail(root, files, lane) {
  return new Promise((resolve, reject) => {
    // Each lane takes ports of its own, or a port taken twice could look like a test that notices.
    const env = { ...process.env, TEST_RUN: String(lane) };
    const run = spawn('npx', ['vitest', 'run', ...files], { cwd: root, env, stdio: 'ignore' });
    run.once('error', reject);
    run.once('exit', (status) => resolve(status !== 0));
  });
}

function editsOf({ file, find, replace, also, extra }) {
  return [{ file, find, replace }, also, extra].filter((edit) => edit !== undefined);
}

/** Ends this process where an entry of the table names a line that is not there: minutes before its turn would come. */
function checkTable() {
  for (const { file, find } of GUARDS.flatMap(editsOf))
    if (!readFileSync(file, 'utf8').includes(find))
      throw new Error(`${file} has no "${find}": mend the table of guards`);
}

/** Takes `guard` out of the copy at `root`, runs its tests, and puts it back. */
async function isNoticed(guard, root, lane) {
  const edits = editsOf(guard).map((edit) => ({ ...edit, path: join(root, edit.file) }));
  const originals = new Map(edits.map(({ path }) => [path, readFileSync(path, 'utf8')]));
  // One after the other: two edits of a guard may be in the same file.
  for (const { path, find, replace } of edits)
    writeFileSync(
      path,
      readFileSync(path, 'utf8').replace(find, () => replace),
    );
  const noticed = await testsFail(root, guard.test.split(' '), lane);
  for (const [path, original] of originals) writeFileSync(path, original);
  return noticed;
}

checkTable();
let unnoticed = 0;
// `--only TEXT` takes the guards whose file or test contains the text.
const [flag, only = ''] = process.argv.slice(2);
const chosen = GUARDS.filter(({ file, test }) => flag !== '--only' || `${file} ${test}`.includes(only));
const waiting = [...chosen];

async function runLane(_, lane) {
  const root = copyOfCode();
  for (let guard = waiting.shift(); guard !== undefined; guard = waiting.shift()) {
    const noticed = await isNoticed(guard, root, lane);
    if (!noticed) unnoticed++;
    console.log(`${noticed ? 'fails as it should' : 'NOT NOTICED       '}  ${guard.fault}`);
  }
}

await Promise.all(Array.from({ length: LANES }).map(runLane));
console.log(`guards: ${chosen.length - unnoticed} passed, ${unnoticed} failed`);
process.exit(unnoticed === 0 ? 0 : 1);
