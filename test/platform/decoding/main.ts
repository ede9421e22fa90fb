/**
 * Measures the decoding of the platform's records: the time for a list of workers and for a configuration, and the longest
 * pause of the event loop while a process reads such a list from a store. Run by tools/decoding-bench.mjs.
 */
import { MemoryStore } from '../../../emulator/store/memory-store.js';
import { platformRecords } from '../../../platform/records.js';
import { FleetView } from '../../../src/fleet/fleet-view.js';
import { StoreSync } from '../../../src/fleet/store-sync.js';
import { seededRandom } from '../../../src/model/random.js';
import { silentLog } from '../../../src/observability/log.js';
import { configurationDocument, workerRow } from '../wire-rows.js';

const ROUTES = 2_000;
/** Passes after the first, whose median is told: the first one runs code that is not compiled yet. */
const PASSES = 30;

const list = (rows: number, pass: number): Array<[key: string, value: string]> =>
  Array.from({ length: rows }, (_, index) => {
    const address = `10.${index >> 8}.${index & 255}.14:8786`;
    return [`i-${index}`, JSON.stringify(workerRow({ address, seq: pass }))];
  });

function configurationOf(version: number): Buffer {
  const [route] = configurationDocument().routes;
  const routes = Array.from({ length: ROUTES }, (_, index) => ({
    ...route,
    name: `r-${index}`,
    host: `h${index % 40}.example`,
    path_prefix: `/p${index}/x/`,
  }));
  return Buffer.from(JSON.stringify(configurationDocument({ version, routes })));
}

/** Times `run` for each input, and prints the first and the median time. */
function measure<T>(name: string, inputs: T[], run: (input: T) => void): void {
  const times = inputs.map((input) => {
    const startedAt = performance.now();
    run(input);
    return performance.now() - startedAt;
  });
  const [first, ...rest] = times;
  rest.sort((a, b) => a - b);
  const median = rest[Math.floor(rest.length / 2)];
  console.log(
    `${name}: first ${first.toFixed(1)} ms, then ${median.toFixed(1)} ms (median of ${rest.length})`,
  );
}

/** The longest time between two turns of the event loop while a list is read, and while all of it changes. */
async function longestPauses(rows: number): Promise<void> {
  const store = new MemoryStore();
  store.write('op', 'config', JSON.stringify(configurationDocument()));
  const lists = [list(rows, 1), list(rows, 2)];
  store.writeAll('servers', lists[0]);
  const fleet = new FleetView();
  const random = seededRandom(1);
  const sync = new StoreSync({
    tables: store,
    decoder: platformRecords,
    fleet,
    heartbeatInterval: 1_200,
    random,
    log: silentLog,
  });
  const highest = () => Math.max(0, ...[...fleet.backEnds.records.values()].map(({ revision }) => revision));
  let longest = 0;
  let turnAt = performance.now();
  let isWatching = true;
  const watch = () => {
    longest = Math.max(longest, performance.now() - turnAt);
    turnAt = performance.now();
    if (isWatching) setImmediate(watch);
  };
  watch();
  await sync.start();
  do await new Promise((resolve) => setTimeout(resolve, 20));
  while (fleet.backEnds.records.size < rows);
  console.log(`longest pause, first list of ${rows}: ${longest.toFixed(1)} ms`);
  const before = highest();
  store.writeAll('servers', lists[1]);
  turnAt = performance.now();
  longest = 0;
  while (highest() === before) await new Promise((resolve) => setTimeout(resolve, 50));
  console.log(`longest pause, ${rows} changes: ${longest.toFixed(1)} ms`);
  isWatching = false;
  await sync.stop();
}

const passes = Array.from({ length: PASSES + 1 }, (_, pass) => pass);
if (process.argv[2] === 'pauses') {
  await longestPauses(Number(process.argv[3]));
} else {
  const lists = passes.map((pass) =>
    list(2_300, pass).map(([key, value]) => ({
      table: 'servers',
      partition: '',
      key,
      value: Buffer.from(value),
      revision: pass + 1,
    })),
  );
  measure('2300 rows', lists, (rows) => {
    for (const row of rows) platformRecords.backEnd(row);
  });
  measure('configuration of 2000 routes', passes.map(configurationOf), (document) =>
    platformRecords.configuration(document),
  );
}
