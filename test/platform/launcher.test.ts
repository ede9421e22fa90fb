/** The launcher of the bundle, without compiled code, with it, and with compiled code that is invalid. */
import { execFileSync } from 'node:child_process';
import { copyFileSync, existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, it } from 'vitest';

let folder: string;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'thistleway-launcher-'));
  copyFileSync('tools/launcher.cjs', join(folder, 'thistleway.cjs'));
  writeFileSync(join(folder, 'roles.cjs'), "process.stdout.write(process.argv.slice(2).join(' '));");
});

afterEach(() => rmSync(folder, { recursive: true }));

function launch(...words: string[]): string {
  return execFileSync(process.execPath, [join(folder, 'thistleway.cjs'), ...words], { encoding: 'utf8' });
}

it('starts a role without compiled code', () => {
  expect(launch('entry')).toBe('entry');
});

it('loads a role, stores its compiled code and starts with it', () => {
  expect(launch('load', 'entry')).toBe('load entry');
  expect(existsSync(join(folder, 'entry.compiled'))).toBe(true);
  expect(launch('entry')).toBe('entry');
});

it('ignores invalid compiled code', () => {
  writeFileSync(join(folder, 'entry.compiled'), 'not compiled code');
  expect(launch('entry')).toBe('entry');
});
