/**
 * Checks two boundaries.
 *
 * - A word of the users' wire stands in code of `platform/` and its tests alone: what speaks to their pages stays in one
 *   folder, and the product keeps its own names.
 * - `src/protocol` is below the parts that use it: it imports none of them, and no file of it is in an import ring. Imports of
 *   types count.
 */
import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { posix } from 'node:path';

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

const PROTOCOL = /^src\/protocol\//;
/** The parts above `src/protocol`. */
const PARTS_ABOVE = /^src\/(fleet|forwarding|observability|peers|weights)\//;
/** A path to another file of the code, in any kind of import or export. */
const IMPORTED_PATH = /(['"`])(\.{1,2}\/[^'"`\n]+?)(?:\.[jt]s)?\1/g;

/** The lines that hold a word of the users' wire. */
function foreignWords(file, text) {
  return text
    .split('\n')
    .flatMap((line, index) => (PATTERN.test(line) ? [`${file}:${index + 1}: ${line.trim()}`] : []));
}

/** The files that `file` imports. */
function importsOf(file, text) {
  const paths = [...text.matchAll(IMPORTED_PATH)].map(([, , path]) => path);
  return [...new Set(paths.map((path) => posix.join(posix.dirname(file), `${path}.ts`)))];
}

/** Sets of files that all import one another, directly or through others. */
function importRings(imports) {
  const reached = new Map([...imports.keys()].map((file) => [file, reachableFrom(file, imports)]));
  const rings = new Map();
  for (const [file, others] of reached) {
    const ring = [...others].filter((other) => reached.get(other)?.has(file)).sort();
    if (ring.length > 0) rings.set(ring[0], ring);
  }
  return [...rings.values()];
}

/** All files that `file` imports, directly or through others; itself only where it is in a ring. */
function reachableFrom(file, imports) {
  const reached = new Set(imports.get(file));
  for (const other of reached) for (const next of imports.get(other) ?? []) reached.add(next);
  return reached;
}

const files = execFileSync('git', ['ls-files', '*.ts'], { encoding: 'utf8' }).trim().split('\n');
const texts = new Map(files.map((file) => [file, readFileSync(file, 'utf8')]));

const words = files
  .filter((file) => !ALLOWED.test(file))
  .flatMap((file) => foreignWords(file, texts.get(file)));
const imports = new Map(
  files.filter((file) => file.startsWith('src/')).map((file) => [file, importsOf(file, texts.get(file))]),
);
const upward = [...imports]
  .filter(([file]) => PROTOCOL.test(file))
  .flatMap(([file, paths]) =>
    paths.filter((path) => PARTS_ABOVE.test(path)).map((path) => `${file} imports ${path}`),
  );
const rings = importRings(imports)
  .filter((ring) => ring.some((file) => PROTOCOL.test(file)))
  .map((ring) => ring.join('\n  '));

const faults = [
  ["words of the users' wire outside platform/", words],
  ['imports from src/protocol into the parts above it', upward],
  ['import rings with files of src/protocol', rings],
].filter(([, found]) => found.length > 0);
if (faults.length > 0) {
  for (const [title, found] of faults) process.stderr.write(`${title}:\n${found.join('\n')}\n`);
  process.exit(1);
}
process.stdout.write(
  `boundary: ${files.length} files, no word of the users' wire outside platform/, src/protocol below the parts that use it\n`,
);
