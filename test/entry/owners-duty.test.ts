import { expect, it } from 'vitest';
import { AgentDirectory } from '../../src/entry/agent-directory.js';
import { OwnersDuty, type OwnersDutyComponents } from '../../src/entry/owners-duty.js';
import type { AgentStatus } from '../../src/protocol/messages.js';
import type { OwnersRow } from '../../src/systems/ownership.js';
import { peer } from '../support.js';

const SERVICE = 'service';

// The reads of a review take seconds: an owner that connects meanwhile still runs calls and has acknowledged nothing.
it('does not settle a list of owners without an owner that connected while the machine list was read', async () => {
  const directory = new AgentDirectory();
  connect(directory, 'b', 1);
  const row: OwnersRow = { epoch: 1, owners: ['a', 'b'], next: ['b'] };
  const written: unknown[] = [];
  const duty = new OwnersDuty({
    configuration: {
      services: () => [{ value: { metadata: { name: SERVICE }, spec: { places: ['place-a'] } } }],
      row: () => ({ value: row, revision: 7 }),
    },
    directory,
    lease: { write: async (_: unknown, writes: unknown) => written.push(writes) },
    machines: {
      findDead: async () => {
        connect(directory, 'a', undefined);
        return new Set(['a']);
      },
    },
  } as unknown as OwnersDutyComponents);
  await duty.review();
  expect(written).toEqual([]);
});

/** @param acknowledgedEpoch - epoch for which the agent accepts no keys that move */
function connect(directory: AgentDirectory, address: string, acknowledgedEpoch: number | undefined): void {
  const status: AgentStatus = {
    sequence: 1,
    info: peer(address),
    operatorAddress: '',
    backEnd: 'service',
    pool: SERVICE,
    leaving: false,
    versions: [],
    active: 0,
    capacity: 1,
    ownership:
      acknowledgedEpoch === undefined
        ? undefined
        : { epoch: acknowledgedEpoch, heldFor: 1_000, movesAcknowledged: true },
  };
  directory.set(address, { status, home: 'entry', homeZone: 'zone' });
}
