/**
 * Checks every property of the models in `spec/` with spin, and that each broken variant named beside a
 * property (a guard left out) is refuted, so that no property holds for want of substance. Prints the states
 * explored. Fails where the checker is missing.
 */
import { execFileSync, spawnSync } from 'node:child_process';
import { mkdirSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { join, resolve } from 'node:path';

const ONLY = process.argv[2];
const SPEC = resolve('spec');
const WORK = join(SPEC, '.work');
const SEARCH_DEPTH = '1000000';

function requireTool(name, ...versionArguments) {
  if (spawnSync(name, versionArguments).error === undefined) return;
  if (name === 'spin' && process.env.CI === 'true') {
    spawnSync('apt-get', ['update'], { stdio: 'ignore' });
    spawnSync('apt-get', ['install', '-y', 'spin'], { stdio: 'ignore' });
    if (spawnSync(name, versionArguments).error === undefined) return;
  }
  console.error(
    `${name} is missing: install it with the system's package manager (Debian: apt-get install ${name})`,
  );
  process.exit(1);
}

/** Runs one search; returns the number of errors and of states. */
function check(model, property, guards) {
  rmSync(WORK, { recursive: true, force: true });
  mkdirSync(WORK, { recursive: true });
  const definitions = guards.map((guard) => `-D${guard}`);
  execFileSync('spin', ['-a', ...definitions, model], { cwd: WORK, stdio: 'pipe' });
  execFileSync('cc', ['-O1', '-DCOLLAPSE', '-o', 'pan', 'pan.c'], { cwd: WORK, stdio: 'pipe' });
  const run = spawnSync('./pan', ['-a', `-m${SEARCH_DEPTH}`, '-N', property], {
    cwd: WORK,
    encoding: 'utf8',
  });
  const errors = /errors: (\d+)/.exec(run.stdout)?.[1];
  const states = /(\d+) states, stored/.exec(run.stdout)?.[1];
  if (errors === undefined || /search depth too small|out of memory/.test(run.stdout)) {
    throw new Error(`${property}: the search did not end:\n${run.stdout}${run.stderr}`);
  }
  return { errors: Number(errors), states: Number(states) };
}

/** The properties of a model with their broken variants, as written beside them. */
function propertiesOf(file) {
  const lines = readFileSync(join(SPEC, file), 'utf8').matchAll(/^ltl (\w+) .*\/\* ([A-Z_+ ]+) \*\/$/gm);
  return [...lines].map(([, name, variants]) => ({
    name,
    variants: variants
      .trim()
      .split(/\s+/)
      .map((variant) => variant.split('+')),
  }));
}

requireTool('spin', '-V');
requireTool('cc', '--version');
let failed = 0;
let passed = 0;
for (const file of readdirSync(SPEC).filter(
  (name) => name.endsWith('.pml') && (ONLY === undefined || name === ONLY),
)) {
  for (const { name, variants } of propertiesOf(file)) {
    const model = join(SPEC, file);
    const { errors, states } = check(model, name, []);
    console.log(`${errors === 0 ? 'holds  ' : 'FAILS  '} ${file} ${name}: ${states} states`);
    if (errors === 0) passed++;
    else failed++;
    for (const guards of variants) {
      const broken = check(model, name, guards);
      const refuted = broken.errors > 0;
      console.log(
        `${refuted ? 'refuted' : 'NOT REFUTED'}   without ${guards.join(', ')}: ${broken.states} states`,
      );
      if (refuted) passed++;
      else failed++;
    }
  }
}
rmSync(WORK, { recursive: true, force: true });
console.log(`model checks: ${passed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
