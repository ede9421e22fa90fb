/**
 * Builds `dist/thistleway.cjs`, one bundle with every role. Roles are imported lazily, so that a process
 * pays memory only for the modules of its own role. With `--binary` the bundle is also put into a copy of
 * the Node.js executable (`dist/thistleway`), by Node's single-executable support. With `--platform` the bundle for
 * the users' platform is built instead, at `target/roles.cjs`, with a launcher at `target/thistleway.cjs` and the
 * compiled code of each role.
 */
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';

const { version } = JSON.parse(readFileSync('package.json', 'utf8'));
const isForPlatform = process.argv.includes('--platform');
const folder = isForPlatform ? 'target' : 'dist';
mkdirSync(folder, { recursive: true });

await build({
  entryPoints: [isForPlatform ? 'platform/main.ts' : 'src/cli/main.ts'],
  outfile: `${folder}/${isForPlatform ? 'roles' : 'thistleway'}.cjs`,
  charset: 'ascii',
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  mainFields: ['module', 'main'],
  define: { THISTLEWAY_VERSION: JSON.stringify(version) },
  external: ['msgpackr-extract', 'bufferutil', 'utf-8-validate'],
  logLevel: 'warning',
  legalComments: 'none',
});

if (isForPlatform) {
  copyFileSync('tools/launcher.cjs', `${folder}/thistleway.cjs`);
  for (const [role, flags] of rolesOf(readFileSync('deploy/system.toml', 'utf8')))
    execFileSync(process.execPath, [...flags, `${folder}/thistleway.cjs`, 'load', role], {
      stdio: 'inherit',
    });
}

/** The roles of a deploy file with the flags of Node.js: compiled code fits only the flags it was made with. */
function rolesOf(deployFile) {
  const runs = deployFile.matchAll(/^run = "node (.*) target\/thistleway\.cjs (\S+)"$/gm);
  return [...runs].map(([, flags, role]) => [role, flags.split(' ')]);
}

if (process.argv.includes('--binary')) {
  const configuration = {
    main: 'dist/thistleway.cjs',
    output: 'dist/sea.blob',
    disableExperimentalSEAWarning: true,
  };
  writeFileSync('dist/sea-config.json', JSON.stringify(configuration));
  execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea-config.json'], { stdio: 'ignore' });
  copyFileSync(process.execPath, 'dist/thistleway');
  chmodSync('dist/thistleway', 0o755);
  const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
  execFileSync(
    'node_modules/.bin/postject',
    ['dist/thistleway', 'NODE_SEA_BLOB', 'dist/sea.blob', '--sentinel-fuse', fuse],
    { stdio: 'ignore' },
  );
}
