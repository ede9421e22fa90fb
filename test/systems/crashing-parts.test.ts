/** Tests that prompt parts that crash back ends are distinguished from those that merely ran beside them. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { MAX_PARTS, SETTLE_TIME } from '../../src/systems/crashing-parts.js';
import type { PartUse } from '../../src/systems/part-groups.js';
import { PoisonRequests, type RequestContent } from '../../src/systems/poison-requests.js';

/** Time between two consecutive crashes, in milliseconds. */
const APART = 200;
const FIRST_TRIAL = 3_000;
const SECOND_TRIAL = 10_000;
/** Requests served without a part that show that the service works. */
const ENOUGH_SERVED = 5;

const contentOf = (parts: string[], tenant = 'one', fingerprints: string[] = []): RequestContent => ({
  fingerprints,
  tenant,
  parts,
});
const usesOf = (parts: string[], tenant = 'one'): PartUse[] => [{ tenant, parts }];

class Player {
  readonly poison: PoisonRequests;
  now = 0;
  #crashes = 0;

  constructor(place = 0) {
    this.poison = new PoisonRequests(() => place);
  }

  /** A back end crashes with the parts in progress; `suspects` are whole contents there. */
  crash(uses: PartUse[], suspects: string[] = [], wait = APART): string[] {
    this.now += wait;
    this.poison.noteCrash({ backEnd: `b${++this.#crashes}`, at: this.now, suspects, parts: uses });
    return this.poison.updateParts(this.now + SETTLE_TIME).map((group) => [...group].sort().join('+'));
  }

  serve(parts: string[] = []): string[] {
    this.now++;
    this.poison.noteRequestServed(contentOf(parts), this.now);
    return this.poison.updateParts(this.now + SETTLE_TIME).map((group) => [...group].sort().join('+'));
  }

  serveMany(count: number, parts: string[] = []): string[] {
    return Array.from({ length: count }, () => this.serve(parts)).flat();
  }

  decision(parts: string[], tenant = 'one') {
    return this.poison.decideOn(contentOf(parts, tenant), this.now).type;
  }

  /** Brings `deadly` into quarantine for the tenants `one` and `two`. */
  quarantine(): this {
    this.crash(usesOf(['deadly']));
    this.serveMany(ENOUGH_SERVED);
    this.crash(usesOf(['deadly'], 'two'));
    this.crash(usesOf(['deadly']));
    expect(this.decision(['deadly'])).toBe('quarantined');
    return this;
  }
}

describe('a prompt part', () => {
  it('is quarantined after three crashes that it alone explains while others are served', () => {
    const player = new Player();
    for (const beside of ['a', 'b', 'c']) player.crash(usesOf(['common', 'deadly', beside]));
    expect(player.serveMany(ENOUGH_SERVED - 1, ['common'])).toEqual([]);
    expect(player.serve(['common'])).toEqual(['deadly']);
    for (const sound of ['common', 'a', 'b', 'c']) expect(player.decision([sound])).toBe('allowed');
    expect(player.decision(['common', 'deadly'])).toBe('quarantined');
  });

  it('is quarantined after four crashes in any case, with those that are always beside it', () => {
    const player = new Player();
    for (let crash = 0; crash < 3; crash++) expect(player.crash(usesOf(['deadly', 'beside']))).toEqual([]);
    expect(player.crash(usesOf(['deadly', 'beside']))).toEqual(['beside+deadly']);
    for (const sound of ['deadly', 'beside']) expect(player.decision([sound])).toBe('allowed');
    expect(player.decision(['other', 'beside', 'deadly'])).toBe('quarantined');
  });

  it('is quarantined alone once it crashes back ends without a part that was always beside it', () => {
    const player = new Player();
    for (let crash = 0; crash < 4; crash++)
      player.crash([...usesOf(['deadly', 'common']), ...usesOf(['common', `b${crash}`])]);
    expect(player.decision(['deadly', 'common'])).toBe('quarantined');
    expect(player.decision(['common', 'b'])).toBe('allowed');
    expect(player.crash([...usesOf(['deadly', 'other']), ...usesOf(['common', 'b'])])).toEqual(['deadly']);
    expect(player.decision(['common'])).toBe('allowed');
  });

  it('is not blamed for a crash before all requests in progress at it are known', () => {
    const player = new Player();
    for (let crash = 0; crash < 3; crash++) player.crash(usesOf(['common', 'deadly']));
    const { poison } = player;
    const latest = { backEnd: 'latest', at: player.now + APART, suspects: [] };
    poison.noteCrash({ ...latest, parts: usesOf(['common', 'b']) });
    expect(poison.updateParts(latest.at + SETTLE_TIME / 2)).toEqual([]);
    poison.noteCrash({ ...latest, parts: usesOf(['common', 'deadly']) });
    expect(poison.updateParts(latest.at + SETTLE_TIME)).toEqual([['deadly', 'common']]);
  });

  it('is not blamed for crashes of another cause, if it was always beside a deadly one', () => {
    const player = new Player();
    for (let crash = 0; crash < 4; crash++)
      player.crash([...usesOf(['deadly', 'common']), ...usesOf(['common', `b${crash}`])]);
    for (let crash = 0; crash < 2; crash++) expect(player.crash(usesOf(['common', 'c']))).toEqual([]);
    expect(player.decision(['common', 'c'])).toBe('allowed');
    expect(player.decision(['deadly', 'common'])).toBe('quarantined');
  });

  it('remains quarantined if a part beside it is cleared', () => {
    const player = new Player();
    for (let crash = 0; crash < 4; crash++) player.crash(usesOf(['common', 'deadly']));
    player.serve(['common']);
    expect(player.decision(['other', 'deadly'])).toBe('quarantined');
  });

  it('is cleared by a request that is served, at whatever entry', () => {
    const player = new Player();
    for (let crash = 0; crash < 3; crash++) player.crash(usesOf(['common']));
    player.poison.acquit('common', player.now);
    for (let crash = 0; crash < 3; crash++) expect(player.crash(usesOf(['common']))).toEqual([]);
  });

  it('is not cleared of a crash by a request that was served before it', () => {
    const player = new Player();
    player.crash(usesOf(['deadly']));
    expect(player.poison.acquit('deadly', player.now - 1)).toBe(false);
    for (let crash = 0; crash < 2; crash++) player.crash(usesOf(['deadly']));
    expect(player.crash(usesOf(['deadly']))).toEqual(['deadly']);
  });

  it('is not suspect of a crash that becomes known after a later request with it was served', () => {
    const player = new Player();
    player.crash(usesOf(['sound']));
    player.serve(['sound']);
    for (let crash = 0; crash < 6; crash++)
      player.poison.noteCrash({
        backEnd: `late${crash}`,
        at: crash * 30,
        suspects: [],
        parts: usesOf(['sound']),
      });
    expect(player.poison.updateParts(player.now + SETTLE_TIME)).toEqual([]);
  });

  it('is not blamed for back ends that crash at the same moment, however many', () => {
    const player = new Player();
    for (let crash = 0; crash < 16; crash++) expect(player.crash(usesOf(['common']), [], 3)).toEqual([]);
    expect(player.serveMany(20)).toEqual([]);
    expect(player.decision(['common'])).toBe('allowed');
  });

  it('is not blamed for an outage in which nothing is served', () => {
    const player = new Player();
    for (let crash = 0; crash < 3; crash++)
      expect(player.crash(usesOf(['common', `rare${crash}`]))).toEqual([]);
    expect(player.decision(['common'])).toBe('allowed');
  });

  it('is found beside others that crash back ends too', () => {
    const player = new Player();
    const found: string[] = [];
    for (let round = 0; round < 4; round++) {
      found.push(...player.serveMany(3, ['common']));
      for (const deadly of ['d1', 'd2', 'd3']) found.push(...player.crash(usesOf(['common', deadly])));
    }
    expect(found.sort()).toEqual(['d1', 'd2', 'd3']);
  });

  it('explains its crashes, so that contents that ran beside it are not quarantined', () => {
    const player = new Player();
    player.crash(usesOf(['deadly']), ['bystander']);
    player.serveMany(ENOUGH_SERVED);
    for (let crash = 0; crash < 2; crash++) player.crash(usesOf(['deadly']), ['bystander']);
    expect(player.poison.decide('bystander', player.now).type).toBe('allowed');
    expect(player.decision(['deadly'])).toBe('quarantined');
  });

  it('is quarantined at an entry that another one has told, and not by what it does not know', () => {
    const [one, other] = [new Player(), new Player()];
    one.quarantine();
    for (const crash of one.poison.crashesOfQuarantined()) {
      other.poison.noteCrash(crash);
      other.poison.confirmParts(crash.quarantinedParts ?? []);
    }
    expect(other.poison.confirmParts([['unknown']])).toEqual([]);
    expect(other.poison.parts.quarantined).toEqual([['deadly']]);
    other.now = one.now;
    expect(other.decision(['deadly'])).toBe('quarantined');
    expect(other.decision(['unknown'])).toBe('allowed');
  });
});

describe('the trials of a prompt part', () => {
  const tryAt = (player: Player, now: number, tenant = 'one') => {
    player.now = now;
    const type = player.decision(['deadly'], tenant);
    if (type === 'trial') player.poison.noteTrial('deadly', now);
    return type;
  };

  it('are two, after which it is sent no more', () => {
    const player = new Player().quarantine();
    const first = player.now + FIRST_TRIAL;
    expect(tryAt(player, first - 1)).toBe('quarantined');
    expect(tryAt(player, first)).toBe('trial');
    expect(tryAt(player, first + 1)).toBe('quarantined');
    expect(tryAt(player, first + SECOND_TRIAL, 'three')).toBe('trial');
    for (const days of [1, 2, 3]) expect(tryAt(player, days * 86_400_000, 'three')).toBe('quarantined');
  });

  it('leave the last one to a tenant whose requests were not in progress at the crashes', () => {
    const player = new Player().quarantine();
    const first = player.now + FIRST_TRIAL;
    expect(tryAt(player, first)).toBe('trial');
    expect(tryAt(player, first + SECOND_TRIAL)).toBe('quarantined');
    expect(tryAt(player, first + SECOND_TRIAL, 'two')).toBe('quarantined');
    expect(tryAt(player, first + SECOND_TRIAL, 'three')).toBe('trial');
  });

  it('end the quarantine if one is served', () => {
    const player = new Player().quarantine();
    expect(tryAt(player, player.now + FIRST_TRIAL)).toBe('trial');
    player.serve(['deadly']);
    expect(player.decision(['deadly'])).toBe('allowed');
    expect(player.poison.trialsOf('deadly')).toBe(0);
  });
});

describe('a tenant that names a part of another one in requests that crash back ends', () => {
  it('has its own requests with the part refused, and not those of the other one', () => {
    const player = new Player();
    player.serveMany(1);
    for (let crash = 0; crash < 6; crash++) player.crash(usesOf(['of the other'], 'attacker'));
    expect(player.decision(['of the other'], 'attacker')).toBe('quarantined');
    expect(player.decision(['of the other'], 'other')).toBe('allowed');
  });

  it('has only its own requests refused if one of the other one was in progress beside them', () => {
    const player = new Player();
    for (let crash = 0; crash < 4; crash++) player.crash(usesOf(['of the other'], 'attacker'));
    player.crash([...usesOf(['of the other'], 'attacker'), ...usesOf(['of the other'], 'other')]);
    expect(player.decision(['of the other'], 'attacker')).toBe('quarantined');
    expect(player.decision(['of the other'], 'other')).toBe('allowed');
  });

  it('has the part refused to all once requests of a second tenant with it crash back ends', () => {
    const player = new Player();
    for (let crash = 0; crash < 4; crash++) player.crash(usesOf(['deadly'], 'one'));
    expect(player.decision(['deadly'], 'three')).toBe('allowed');
    player.crash(usesOf(['deadly'], 'two'));
    expect(player.decision(['deadly'], 'three')).toBe('quarantined');
  });

  it('cannot do so longer than until the other one’s trial, with an accomplice', () => {
    const player = new Player();
    for (const tenant of ['attacker', 'accomplice', 'attacker', 'accomplice'])
      player.crash(usesOf(['of the other'], tenant));
    player.now += FIRST_TRIAL;
    // The attackers make the first trial, and crash one more back end.
    expect(player.decision(['of the other'], 'attacker')).toBe('trial');
    player.poison.noteTrial('of the other', player.now);
    player.crash(usesOf(['of the other'], 'attacker'));
    player.now += SECOND_TRIAL;
    expect(player.decision(['of the other'], 'attacker')).toBe('quarantined');
    expect(player.decision(['of the other'], 'other')).toBe('trial');
    player.poison.noteTrial('of the other', player.now);
    player.serve(['of the other']);
    expect(player.decision(['of the other'], 'other')).toBe('allowed');
  });
});

describe('the parts of crashes', () => {
  it('are bounded in number', () => {
    const player = new Player();
    const many = (crash: number) =>
      Array.from({ length: 4 * MAX_PARTS }, (_, part) => `${crash % 7} ${part}`);
    for (let crash = 0; crash < 600; crash++) player.crash(usesOf(many(crash)));
    const crashes = player.poison.crashes();
    expect(crashes.length).toBeLessThanOrEqual(500);
    const numberOfParts = crashes.map(({ parts = [] }) => parts.flatMap((use) => use.parts).length);
    expect(Math.max(...numberOfParts)).toBeLessThanOrEqual(MAX_PARTS);
  });

  it('lead to the same quarantines in whatever order crashes and served requests become known', () => {
    const part = fc.constantFrom('p1', 'p2', 'p3', 'p4', 'p5');
    const events = fc.array(
      fc.record({
        at: fc.integer({ min: 0, max: 40 }).map((step) => step * 100),
        parts: fc.uniqueArray(part, { minLength: 1, maxLength: 3 }),
        isServed: fc.boolean(),
      }),
      { maxLength: 30 },
    );
    fc.assert(
      fc.property(events, fc.integer({ min: 1, max: 1_000_000 }), (all, seed) => {
        const numbered = all.map((event, index) => ({ ...event, index }));
        const order = (index: number) => Math.imul(index + 1, seed | 1) >>> 0;
        const shuffled = [...numbered].sort((one, other) => order(one.index) - order(other.index));
        const [inOrder, inAnyOrder] = [numbered, shuffled].map((sequence) => {
          const poison = new PoisonRequests(() => 0);
          for (const { at, parts, isServed, index } of sequence) {
            // Parts are only acquitted while they are suspect, so that all crashes are known first.
            if (!isServed) poison.noteCrash({ backEnd: `b${index}`, at, suspects: [], parts: usesOf(parts) });
          }
          for (const { at, parts, isServed } of sequence)
            if (isServed) for (const one of parts) poison.acquit(one, at);
          poison.updateParts(Number.POSITIVE_INFINITY);
          return poison.parts.quarantined.map((group) => [...group].sort().join('+')).sort();
        });
        expect(inAnyOrder).toEqual(inOrder);
      }),
      { seed: 52, numRuns: 500 },
    );
  });

  it('leave sound parts alone that ran beside a deadly one, if they are served now and then', () => {
    fc.assert(
      fc.property(
        fc.array(fc.uniqueArray(fc.integer({ min: 0, max: 9 }), { maxLength: 4 }), {
          minLength: 8,
          maxLength: 30,
        }),
        (batches) => {
          const player = new Player();
          const deadlySends = { count: 0 };
          for (const batch of batches) {
            const beside = batch.map((number) => `sound ${number}`);
            if (player.decision(['common', 'deadly']) === 'allowed') {
              deadlySends.count++;
              player.crash(usesOf(['common', 'deadly', ...beside]));
            }
            player.serveMany(2, ['common']);
            for (const part of beside) player.serve([part]);
          }
          expect(deadlySends.count).toBeLessThanOrEqual(5);
          for (let number = 0; number < 10; number++)
            expect(player.decision(['common', `sound ${number}`])).toBe('allowed');
        },
      ),
      { seed: 52, numRuns: 300 },
    );
  });
});
