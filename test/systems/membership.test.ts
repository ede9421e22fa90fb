import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { AgentStatus, EntryInfo, MembershipMessage } from '../../src/protocol/messages.js';
import { DEAD_ENTRY_GRACE, Membership, UNREACHABLE_GRACE } from '../../src/systems/membership/membership.js';
import { peer } from '../support.js';

/** A message in flight. */
interface InFlight {
  from: string;
  to: string;
  message: MembershipMessage;
}

/** Entries connected by links that preserve the order of messages, in virtual time. */
class Network {
  now = 0;
  delivered = 0;
  readonly entries = new Map<string, Membership>();
  readonly #zones = new Map<string, string>();
  readonly #queues = new Map<string, InFlight[]>();

  add(id: string, zone: string): Membership {
    const info = infoOf(id, zone);
    const send = (to: string, message: MembershipMessage) => {
      this.#queues.get(`${id}>${to}`)?.push({ from: id, to, message });
    };
    const membership = new Membership(info, { send, onAgentsChanged: () => {}, onEntriesChanged: () => {} });
    this.entries.set(id, membership);
    this.#zones.set(id, zone);
    return membership;
  }

  connect(a: string, b: string): void {
    if (this.#queues.has(`${a}>${b}`)) return;
    const linkClass = this.#zones.get(a) === this.#zones.get(b) ? 'near' : 'far';
    this.#queues.set(`${a}>${b}`, []);
    this.#queues.set(`${b}>${a}`, []);
    this.entries.get(a)!.linkOpened(b, linkClass);
    this.entries.get(b)!.linkOpened(a, linkClass);
  }

  cut(a: string, b: string): void {
    if (!this.#queues.delete(`${a}>${b}`)) return;
    this.#queues.delete(`${b}>${a}`);
    this.entries.get(a)!.linkLost(b, this.now);
    this.entries.get(b)!.linkLost(a, this.now);
  }

  /** Changes an entry's record and sends the change to the other entries. */
  publish(id: string, statuses: AgentStatus[], gone: string[]): void {
    this.entries.get(id)!.publish(statuses, gone);
    this.entries.get(id)!.sendOwnNews();
  }

  /** Drops the messages in flight from one entry to another. */
  lose(from: string, to: string): void {
    this.#queues.set(`${from}>${to}`, []);
  }

  /** Delivers one message on the link selected by `choice`; returns whether there was one. */
  step(choice: number): boolean {
    const waiting = [...this.#queues.values()].filter((queue) => queue.length > 0);
    if (waiting.length === 0) return false;
    const { from, to, message } = waiting[choice % waiting.length].shift()!;
    this.delivered++;
    this.entries.get(to)!.receive(from, message, this.now);
    return true;
  }

  /** Delivers messages until none is in flight; fails if that takes more than `limit` steps. */
  settle(limit = 20_000): void {
    for (let steps = 0; this.step(steps); steps++) {
      if (steps > limit) throw new Error('messages are still in transit after the step limit');
    }
  }

  /** Advances the time until unreachable records are dropped and digests have resolved all differences. */
  heal(): void {
    this.settle();
    this.now += UNREACHABLE_GRACE;
    for (let round = 0; round < 3; round++) {
      for (const membership of this.entries.values()) {
        membership.expire(this.now);
        membership.sendDigests();
      }
      this.settle();
    }
  }
}

function infoOf(id: string, zone: string, overrides: Partial<EntryInfo> = {}): EntryInfo {
  return { id, address: id, callerAddress: id, place: 'p', zone, leaving: false, sequence: 0, ...overrides };
}

function status(id: string, sequence: number, address = id): AgentStatus {
  return {
    sequence,
    info: { ...peer(id), address },
    operatorAddress: '',
    backEnd: 'engine',
    pool: 'p',
    leaving: false,
    versions: [],
    active: 0,
    capacity: 1,
    ownership: undefined,
  };
}

const IDS = ['a1', 'a2', 'a3', 'b1', 'b2', 'c1'];

/** Three zones whose entries are fully connected within the zone, with the given links between zones. */
function network(far: ReadonlyArray<[string, string]>): Network {
  const made = new Network();
  for (const id of IDS) made.add(id, id[0]);
  for (const [a, b] of allPairs()) if (a[0] === b[0]) made.connect(a, b);
  for (const [a, b] of far) made.connect(a, b);
  return made;
}

function allPairs(): Array<[string, string]> {
  return IDS.flatMap((a) => IDS.filter((b) => a < b).map((b): [string, string] => [a, b]));
}

const FAR: Array<[string, string]> = [
  ['a1', 'b1'],
  ['a2', 'c1'],
  ['b2', 'c1'],
];

function homes(made: Network, address: string): Array<string | undefined> {
  return [...made.entries.values()].map((membership) => membership.agentAt(address)?.home);
}

describe('membership', () => {
  it('propagates each entry and its agents to all entries', () => {
    const made = network(FAR);
    made.publish('a3', [status('agent', 1)], []);
    made.settle();
    expect(homes(made, 'agent')).toEqual(IDS.map(() => 'a3'));
    for (const membership of made.entries.values()) expect(membership.entries.length).toBe(IDS.length - 1);
  });

  it('does not loop updates, however many links there are between two zones', () => {
    const made = network(allPairs());
    made.settle();
    const before = made.delivered;
    made.publish('a3', [status('agent', 1)], []);
    made.settle();
    expect(homes(made, 'agent')).toEqual(IDS.map(() => 'a3'));
    expect(made.delivered - before).toBeLessThanOrEqual(IDS.length * IDS.length);
  });

  it('sends only digests once all entries are in sync', () => {
    const made = network(FAR);
    made.settle();
    const links = 4 + FAR.length;
    const before = made.delivered;
    for (const membership of made.entries.values()) membership.sendDigests();
    made.settle();
    expect(made.delivered - before).toBe(2 * links);
  });

  it('keeps an agent that moved to another home, whichever update arrives first', () => {
    const made = network(FAR);
    made.publish('a1', [status('agent', 1)], []);
    made.settle();
    made.publish('b2', [status('agent', 2)], []);
    made.publish('a1', [], ['agent']);
    made.settle();
    expect(homes(made, 'agent')).toEqual(IDS.map(() => 'b2'));
  });

  it('selects the newest process at an address, even if the old one is reported again', () => {
    const made = network(FAR);
    made.publish('a1', [status('old', 5, 'machine')], []);
    made.settle();
    made.publish('a2', [status('new', 1, 'machine')], []);
    made.publish('a1', [status('old', 6, 'machine')], []);
    made.settle();
    expect(made.entries.get('c1')!.agentAt('machine')?.status.info.id).toBe('new');
    made.publish('a1', [], ['old']);
    made.settle();
    expect(homes(made, 'machine')).toEqual(IDS.map(() => 'a2'));
  });

  it('removes a dead entry immediately and its agents after a grace period', () => {
    const made = network(FAR);
    made.publish('a3', [status('agent', 1)], []);
    made.settle();
    for (const id of ['a1', 'a2']) made.cut('a3', id);
    made.settle();
    expect(made.entries.get('c1')!.entries.map(({ id }) => id)).not.toContain('a3');
    expect(made.entries.get('c1')!.agentAt('agent')).toBeDefined();
    made.now += DEAD_ENTRY_GRACE;
    made.entries.get('c1')!.expire(made.now);
    expect(made.entries.get('c1')!.agentAt('agent')).toBeUndefined();
  });

  it('keeps a zone that is linked again within the grace period, and drops one that stays unreachable', () => {
    const made = network([['a1', 'b1']]);
    made.publish('b2', [status('agent', 1)], []);
    made.settle();
    made.cut('a1', 'b1');
    made.settle();
    made.now += UNREACHABLE_GRACE - 1;
    made.entries.get('a3')!.expire(made.now);
    expect(made.entries.get('a3')!.agentAt('agent')?.home).toBe('b2');
    expect(made.entries.get('a3')!.isZoneOffered('b')).toBe(false);
    made.connect('a2', 'b2');
    made.heal();
    expect(made.entries.get('a3')!.agentAt('agent')?.home).toBe('b2');
    made.cut('a2', 'b2');
    made.heal();
    expect(made.entries.get('a3')!.agentAt('agent')).toBeUndefined();
  });

  it('removes an entry that died together with the link to its zone, once the zone is linked again', () => {
    const made = network([['a1', 'b1']]);
    made.settle();
    for (const id of ['a2', 'a3', 'b1']) made.cut('a1', id);
    made.settle();
    expect(made.entries.get('b2')!.entries.map(({ id }) => id)).toContain('a1');
    made.connect('a2', 'b2');
    made.settle();
    for (const id of ['b1', 'b2']) {
      expect(made.entries.get(id)!.entries.map((entry) => entry.id)).not.toContain('a1');
    }
  });

  it('requests the full record if the previous change was lost', () => {
    const made = network(FAR);
    made.settle();
    made.publish('a3', [status('first', 1)], []);
    made.lose('a3', 'a1');
    made.publish('a3', [status('second', 1)], []);
    made.settle();
    expect(homes(made, 'first')).toEqual(IDS.map(() => 'a3'));
  });

  it('recovers lost updates by digests', () => {
    const made = network(FAR);
    made.settle();
    made.publish('a3', [status('agent', 1)], []);
    made.lose('a3', 'a1');
    made.settle();
    expect(made.entries.get('a1')!.agentAt('agent')).toBeUndefined();
    made.heal();
    expect(homes(made, 'agent')).toEqual(IDS.map(() => 'a3'));
  });

  it('converges to the same view everywhere after any sequence of cuts, links and updates', () => {
    const pair = fc.constantFrom(...allPairs());
    const action = fc.oneof(
      fc.record({ type: fc.constant('cut' as const), pair }),
      fc.record({ type: fc.constant('connect' as const), pair }),
      fc.record({
        type: fc.constant('agent' as const),
        home: fc.constantFrom(...IDS),
        agent: fc.constantFrom('x', 'y'),
      }),
      fc.record({ type: fc.constant('step' as const), choice: fc.nat(20) }),
      fc.record({ type: fc.constant('wait' as const), milliseconds: fc.nat(6_000) }),
    );
    const property = fc.property(fc.array(action, { maxLength: 60 }), (actions) => {
      const made = network([]);
      const at = new Map<string, string>();
      let sequence = 0;
      for (const action of actions) {
        if (action.type === 'cut') made.cut(...action.pair);
        if (action.type === 'connect') made.connect(...action.pair);
        if (action.type === 'step') made.step(action.choice);
        if (action.type === 'wait') {
          made.now += action.milliseconds;
          for (const membership of made.entries.values()) membership.expire(made.now);
        }
        if (action.type === 'agent') {
          const { home, agent } = action;
          const earlier = at.get(agent);
          if (earlier !== undefined && earlier !== home) made.publish(earlier, [], [agent]);
          made.publish(home, [status(agent, ++sequence)], []);
          at.set(agent, home);
        }
      }
      for (const [a, b] of allPairs()) if (a[0] === b[0]) made.connect(a, b);
      for (const [a, b] of FAR) made.connect(a, b);
      made.heal();
      for (const [agent, home] of at) expect(homes(made, agent)).toEqual(IDS.map(() => home));
      for (const membership of made.entries.values()) expect(membership.entries.length).toBe(IDS.length - 1);
    });
    fc.assert(property, { seed: 7, numRuns: 400 });
  });
});
