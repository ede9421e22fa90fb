/** A long list of back ends is decoded in batches, so that the event loop is not blocked. */
import { afterEach, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { FleetView } from '../../src/fleet/fleet-view.js';
import type { RecordDecoder } from '../../src/fleet/record-decoder.js';
import { StoreSync } from '../../src/fleet/store-sync.js';
import { seededRandom } from '../../src/model/random.js';
import { silentLog } from '../../src/observability/log.js';
import { until } from '../support.js';
import { textRecordDecoder } from './text-records.js';

const ROWS = 2_300;
/** Maximum number of rows decoded in one turn of the event loop: a twentieth of the list. */
const MAX_ROWS_PER_TURN = ROWS / 20;

let sync: StoreSync | undefined;

afterEach(() => sync?.stop());

it('decodes only a batch of rows per turn, and each row once', async () => {
  let inTurn = 0;
  let mostInTurn = 0;
  let decoded = 0;
  const endTurn = () => {
    inTurn = 0;
  };
  const decoder: RecordDecoder = {
    ...textRecordDecoder,
    backEnd(row) {
      decoded++;
      inTurn++;
      mostInTurn = Math.max(mostInTurn, inTurn);
      if (inTurn === 1) setImmediate(endTurn);
      return textRecordDecoder.backEnd(row);
    },
  };
  const store = new MemoryStore();
  const rows = (state: string) =>
    Array.from({ length: ROWS }, (_, index): [string, string] => [`i-${index}`, state]);
  store.write('operator', 'configuration', '1');
  store.writeAll('backEnds', rows('ready'));
  const fleet = new FleetView();
  sync = new StoreSync({
    tables: store,
    decoder,
    fleet,
    heartbeatInterval: 1_200,
    random: seededRandom(1),
    log: silentLog,
  });
  await sync.start();
  await until(() => fleet.backEnds.records.size === ROWS, 'the whole list');
  expect(decoded).toBe(ROWS);
  store.writeAll('backEnds', rows('leaving'));
  await until(() => fleet.backEnds.records.get('i-0')?.leaving === true, 'the changes');
  expect(decoded).toBe(2 * ROWS);
  expect(mostInTurn).toBeLessThanOrEqual(MAX_ROWS_PER_TURN);
});
