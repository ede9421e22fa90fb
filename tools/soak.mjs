/** Builds the bundle for the users' platform and the soak, and runs the soak with the arguments given. */
import { spawnSync } from 'node:child_process';
import { build } from 'esbuild';

const run = (file, words) => spawnSync(process.execPath, [file, ...words], { stdio: 'inherit' }).status ?? 1;
if (run('tools/build.mjs', ['--platform']) !== 0) process.exit(1);
await build({
  entryPoints: ['test/platform/soak/main.ts'],
  outfile: 'target/soak.cjs',
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  mainFields: ['module', 'main'],
  external: ['msgpackr-extract', 'bufferutil', 'utf-8-validate'],
  logLevel: 'warning',
});
process.exit(run('target/soak.cjs', process.argv.slice(2)));
