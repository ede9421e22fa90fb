/**
 * Fails where a word of the users' wire stands in code outside `platform/` and its tests: what speaks to their pages
 * stays in one folder, and the product keeps its own names.
 */
import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';

const WORDS = [
  'rows-(tx|get|feed|parts)',
  'blob-(put|get|drop|list)',
  'private_key',
  'expected_rev',
  'after_rev',
  'attempt-id',
  'server-seal',
  'not-executed',
  'expect-instance',
  'expect-version',
  'weight-versions',
  'request-urgency',
  'deadline-ms',
  'token-counts',
  'api-key',
  'stage-(put|get)',
  'thistleway_boot',
  'kv_token_bytes',
  'max_conns',
  'path_prefix',
  'slo_ms',
  'gap_target_ms',
  'api_keys',
  '\\bborn\\b',
];
const PATTERN = new RegExp(WORDS.join('|'), 'i');
const ALLOWED = /^(platform|test\/platform)\//;

const files = execFileSync('git', ['ls-files', '*.ts'], { encoding: 'utf8' }).trim().split('\n');
const found = [];
for (const file of files.filter((name) => !ALLOWED.test(name))) {
  readFileSync(file, 'utf8')
    .split('\n')
    .forEach((line, index) => {
      if (PATTERN.test(line)) found.push(`${file}:${index + 1}: ${line.trim()}`);
    });
}
if (found.length > 0) {
  process.stderr.write(`words of the users' wire outside platform/:\n${found.join('\n')}\n`);
  process.exit(1);
}
process.stdout.write(`boundary: ${files.length} files, no word of the users' wire outside platform/\n`);
