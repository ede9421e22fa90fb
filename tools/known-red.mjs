/**
 * Reads KNOWN-RED.txt: tests that fail for a real fault which is not mended yet, one line each: name | cause | issue. A name
 * that begins with "day " is one of a deployment's days, one with "soak " a seed of the soak, which no test plays: its line gives
 * the command and what was seen.
 * Prints the lines to standard error, and to standard output a pattern for the test runner that passes over just the tests;
 * nothing where none is listed.
 */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

const FILE = 'KNOWN-RED.txt';
const MOST = 5;
const NO_TEST = /^(day|soak) /;

function fail(message) {
  console.error(`${FILE}: ${message}`);
  process.exit(1);
}

const lines = existsSync(FILE)
  ? readFileSync(FILE, 'utf8')
      .split('\n')
      .filter((line) => line.trim() !== '')
  : [];
if (lines.length > MOST) fail(`${lines.length} tests are listed, ${MOST} at the most may be`);

const sources = readdirSync('test', { recursive: true })
  .filter((name) => name.endsWith('.test.ts'))
  .map((name) => readFileSync(join('test', name), 'utf8'));
const names = lines.flatMap((line) => {
  const parts = line.split(' | ');
  if (parts.length !== 3) fail(`not "name | cause | issue": ${line}`);
  const [name] = parts;
  if (NO_TEST.test(name)) {
    console.error(`known red, no test: ${line}`);
    return [];
  }
  if (!sources.some((source) => source.includes(name))) fail(`no test is called "${name}"`);
  console.error(`known red, passed over: ${line}`);
  return [name.replace(/[.*+?^${}()|[\]\\]/g, '\\$&')];
});
if (names.length > 0) console.log(`^(?!.*(${names.join('|')}))`);
