/**
 * Measures the decoding of the platform's records: times of decoding, then the longest pause of the event loop while a
 * process reads lists of 2,300 and 10,000 rows, each in a process of its own.
 */
import { spawnSync } from 'node:child_process';
import { build } from 'esbuild';

await build({
  entryPoints: ['test/platform/decoding/main.ts'],
  outfile: 'target/decoding-bench.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  logLevel: 'warning',
});
for (const words of [[], ['pauses', '2300'], ['pauses', '10000']]) {
  const { status } = spawnSync(process.execPath, ['target/decoding-bench.mjs', ...words], {
    stdio: 'inherit',
  });
  if (status !== 0) process.exit(1);
}
