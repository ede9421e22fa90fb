/** Engines must not serve with weights of which a piece had been corrupt for too long when the engine loaded it. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { MemoryStore } from '../../emulator/store/memory-store.js';
import { seededRandom } from '../../src/model/random.js';
import { silentLog } from '../../src/observability/log.js';
import type { EngineReport, WeightsPlan } from '../../src/protocol/reports.js';
import type { ObservedEngine } from '../../src/systems/slot-table.js';
import { EngineLoader } from '../../src/weights/engine-loader.js';
import { WeightsLibrary } from '../../src/weights/held-weights.js';
import { partsOf, storedManifestKey } from '../../src/weights/piece-sources.js';
import {
  ALLOWED_CORRUPTION,
  DecayingEngine,
  LAYERS,
  manifestOf,
  PIECES,
  pieceOf,
} from './decaying-engine.js';
import { unavailableOrigin } from './fake-engine.js';
import { VirtualTime } from './virtual-time.js';

/** Time from which an agent expects no writes of a process before it, in milliseconds after its start. */
const OTHER_WRITES_END = 11_000;
/** Interval at which the test looks at what the engine would answer with, in milliseconds. */
const SAMPLE = 5;

/** An object store that holds versions 1 to 3. */
async function storedWeights(): Promise<MemoryStore> {
  const objects = new MemoryStore();
  const put = (key: string, bytes: Buffer) => objects.put(key, bytes, new AbortController().signal);
  for (const manifest of [1, 2, 3].map(manifestOf)) {
    await put(storedManifestKey(manifest), Buffer.from(JSON.stringify(manifest)));
    for (const { key, pieces } of partsOf(manifest))
      await put(key, Buffer.concat(pieces.map((index) => pieceOf(manifest.version, index))));
  }
  return objects;
}

/** One agent process next to an engine. */
class Agent {
  readonly loader: EngineLoader;
  #observed: ObservedEngine | undefined;
  report: EngineReport | undefined;
  /** Called with each change of what the agent tells of its engine. */
  onChange: () => void = () => {};

  constructor(engine: DecayingEngine, objects: MemoryStore) {
    this.loader = new EngineLoader({
      engine,
      engineAddress: 'engine',
      address: 'agent',
      slotAddress: 'slots',
      zone: 'zone-a',
      onEngineState: (state) => {
        this.#observed = state;
        this.onChange();
      },
      library: new WeightsLibrary(),
      objects,
      originAt: () => unavailableOrigin,
      sendReport: (report) => {
        this.report = report;
        this.onChange();
      },
      random: seededRandom(3),
      log: silentLog,
    });
  }

  /** Whether requests reach the engine: by its slots, or by what its agent reports. */
  get letsRequestsIn(): boolean {
    const { report } = this;
    const isReported = report?.isReached === true && !report.isSwitching && report.version > 0;
    return this.#observed?.isServing === true || isReported;
  }

  servesVersion(version: number): boolean {
    return this.letsRequestsIn && this.report?.version === version;
  }
}

function plan(...versions: number[]): WeightsPlan {
  return {
    versions: versions.map((version) => ({ model: 'm', version, notBefore: performance.now() - 1_000_000 })),
    storeTime: performance.now(),
    bound: 8_000,
    origin: 'origin',
    layers: LAYERS,
    position: 0,
    canMoveRequests: false,
    holders: [],
    entries: [],
    hasNearEntry: false,
  };
}

describe('an engine whose staged pieces become corrupt', () => {
  let time: VirtualTime;
  let engine: DecayingEngine;
  let agent: Agent;
  let hasServedCorrupt: boolean;

  beforeEach(() => {
    time = new VirtualTime();
    engine = new DecayingEngine();
    agent = new Agent(engine, new MemoryStore());
    hasServedCorrupt = false;
    setInterval(noteServed, SAMPLE);
  });

  afterEach(async () => {
    await agent.loader.stop();
    time.restore();
  });

  function noteServed(): void {
    hasServedCorrupt ||= agent.letsRequestsIn && engine.servesCorruptLayer;
  }

  async function createAgent(): Promise<void> {
    agent = new Agent(engine, await storedWeights());
    agent.onChange = noteServed;
  }

  async function startAgent(...versions: number[]): Promise<void> {
    await createAgent();
    await agent.loader.start();
    agent.loader.applyPlan(plan(...versions));
  }

  /** Runs until the agent lets requests in to `version`, or until `limit`; returns whether it does. */
  async function runUntilServing(version: number, limit: number): Promise<boolean> {
    while (performance.now() < limit && !agent.servesVersion(version))
      await time.runUntil(performance.now() + SAMPLE);
    return agent.servesVersion(version);
  }

  it.each([100, 300, 500])(
    'is not ordered to load them while reading back takes longer than a check is valid: %i ms a read',
    async (readTime) => {
      engine.readTime = readTime;
      engine.onRead = (index) => {
        if (index === 0) setTimeout(() => engine.corrupt(0), 1);
      };
      await startAgent(1);
      expect(await runUntilServing(1, 40_000)).toBe(true);
      await time.runUntil(performance.now() + 5_000);
      expect(Math.max(...engine.accepted.map(({ corruptFor }) => corruptFor))).toBeLessThan(
        ALLOWED_CORRUPTION,
      );
      expect(hasServedCorrupt).toBe(false);
    },
  );

  it('is not ordered to load them by an agent that stood still since it had read them back', async () => {
    let hasStood = false;
    engine.onRead = (index) => {
      if (hasStood || index !== PIECES - 1) return;
      hasStood = true;
      engine.corrupt(0);
      time.standStill(4_000);
    };
    await startAgent(1);
    expect(await runUntilServing(1, 20_000)).toBe(true);
    await time.runUntil(performance.now() + 5_000);
    expect(Math.max(...engine.accepted.map(({ corruptFor }) => corruptFor))).toBeLessThan(ALLOWED_CORRUPTION);
    expect(hasServedCorrupt).toBe(false);
  });

  it.each([
    ['one piece', [7], 0],
    ['a piece of each layer', Array.from({ length: LAYERS }, (_, layer) => layer * 3), 0],
    ['one piece, of an agent that has run for long', [7], OTHER_WRITES_END],
  ])(
    'gets no requests after it stood still as an order reached it, until it has loaded sound ones: %s',
    async (_, pieces, plannedAt) => {
      let hasStood = false;
      engine.onOrder = () => {
        if (hasStood) return;
        hasStood = true;
        engine.standStill(5_000);
        setTimeout(() => {
          for (const index of pieces) engine.corrupt(index);
        }, 50);
      };
      await createAgent();
      await agent.loader.start();
      await time.runUntil(plannedAt);
      agent.loader.applyPlan(plan(1));
      expect(await runUntilServing(1, plannedAt + 20_000)).toBe(true);
      await time.runUntil(performance.now() + 5_000);
      expect(hasServedCorrupt).toBe(false);
      expect(engine.servesCorruptLayer).toBe(false);
    },
  );

  it('gets no requests when only the answers to its orders are lost and a piece is corrupt by the next look', async () => {
    engine.losesAnswers = true;
    engine.onOrder = () => {
      engine.corrupt(20);
      setTimeout(() => {
        engine.losesAnswers = false;
      }, 4_000);
    };
    await createAgent();
    await agent.loader.start();
    await time.runUntil(OTHER_WRITES_END);
    agent.loader.applyPlan(plan(1));
    expect(await runUntilServing(1, 20_000)).toBe(true);
    expect(hasServedCorrupt).toBe(false);
    expect(engine.accepted).toHaveLength(1);
  });

  it('does not load the next version from the stage by an order for the one before that arrives late', async () => {
    engine.holdFromStart(1);
    engine.orderDelay = 3_000;
    engine.writeTime = 50;
    await startAgent(2);
    setTimeout(() => {
      agent.loader.applyPlan(plan(2, 3));
      engine.onOrder = () => {
        engine.orderDelay = 0;
      };
    }, 3_200);
    expect(await runUntilServing(3, 40_000)).toBe(true);
    expect(hasServedCorrupt).toBe(false);
    expect(engine.accepted.map(({ corruptFor }) => corruptFor)).not.toContain(Number.POSITIVE_INFINITY);
  });

  it.each([5_000, OTHER_WRITES_END])(
    'does not serve with a piece of an older version that was written late: %i ms after the start',
    async (plannedAt) => {
      engine.holdFromStart(1);
      engine.heldWrites.add(5);
      await startAgent(2);
      expect(await runUntilServing(2, 20_000)).toBe(true);
      await time.runUntil(plannedAt);
      engine.onOrder = () => engine.releaseWrites();
      agent.loader.applyPlan(plan(2, 3));
      expect(await runUntilServing(3, 40_000)).toBe(true);
      expect(hasServedCorrupt).toBe(false);
    },
  );

  /** An agent that has sent an order to an engine that stands still for 5 s is replaced; a piece becomes corrupt at once. */
  async function replaceAgentWithOrderPending(newPlan: () => WeightsPlan): Promise<void> {
    engine.holdFromStart(1);
    let hasStood = false;
    engine.onOrder = () => {
      if (hasStood) return;
      hasStood = true;
      engine.standStill(5_000);
      setTimeout(() => engine.corrupt(20), 50);
      setTimeout(() => void agent.loader.stop(), 100);
    };
    await startAgent(2);
    await time.runUntil(4_000);
    expect(hasStood).toBe(true);
    await createAgent();
    await agent.loader.start();
    agent.loader.applyPlan(newPlan());
  }

  it('gets no requests from an agent that replaced the one whose order was accepted late', async () => {
    await replaceAgentWithOrderPending(() => plan(2));
    expect(await runUntilServing(2, 30_000)).toBe(true);
    await time.runUntil(performance.now() + 5_000);
    expect(hasServedCorrupt).toBe(false);
    expect(engine.servesCorruptLayer).toBe(false);
  });

  it('gets no requests from an agent that has seen it accept the late order of the one before', async () => {
    engine.holdFromStart(1);
    engine.orderDelay = 5_000;
    let hasOrdered = false;
    engine.onOrder = () => {
      if (hasOrdered) return;
      hasOrdered = true;
      setTimeout(() => engine.corrupt(20), 50);
      setTimeout(() => void agent.loader.stop(), 100);
    };
    await startAgent(2);
    await time.runUntil(4_000);
    engine.orderDelay = 0;
    agent = new Agent(engine, await storedWeights());
    await agent.loader.start();
    // The entry has just started and knows no version yet.
    agent.loader.applyPlan(plan());
    engine.load = 3;
    await time.runUntil(9_000);
    engine.load = 0;
    await time.runUntil(10_000);
    expect(engine.servesCorruptLayer).toBe(true);
    agent.loader.applyPlan(plan(2));
    expect(await runUntilServing(2, 30_000)).toBe(true);
    expect(hasServedCorrupt).toBe(false);
    expect(engine.servesCorruptLayer).toBe(false);
  });

  it('gets no requests from an agent that finds it loaded and is told of an unfinished switch', async () => {
    engine.holdFromStart(1);
    engine.corrupt(20);
    // The previous agent's order was accepted late, as only an entry knows.
    await time.runUntil(4_000);
    const order = { model: 'm', version: 2, running: 'finish', expectedSequence: 0 } as const;
    const { signal } = new AbortController();
    for (let index = 0; index < PIECES; index++)
      if (index !== 20) void engine.stage('m', index, pieceOf(2, index), signal);
    await time.runUntil(4_500);
    void engine.start(order, signal);
    await time.runUntil(5_000);
    expect(engine.servesCorruptLayer).toBe(true);
    await createAgent();
    agent.loader.applyPlan({ ...plan(2), hasUnfinishedSwitch: true });
    await agent.loader.start();
    expect(await runUntilServing(2, 30_000)).toBe(true);
    expect(agent.report?.isProven).toBe(true);
    expect(hasServedCorrupt).toBe(false);
    expect(engine.servesCorruptLayer).toBe(false);
  });

  it('gets no requests after its stage was mended and its agent replaced, until it has loaded sound ones', async () => {
    engine.holdFromStart(1);
    engine.corrupt(20);
    await time.runUntil(4_000);
    const { signal } = new AbortController();
    void engine.start(
      { model: 'm', version: 1, layers: { from: 0, end: 4 }, running: 'finish', expectedSequence: 0 },
      signal,
    );
    await time.runUntil(4_500);
    void engine.start({ model: 'm', version: 1, running: 'finish', expectedSequence: 1 }, signal);
    await time.runUntil(5_000);
    expect(engine.servesCorruptLayer).toBe(true);
    // As the previous agent did before it could order the engine to load the piece anew.
    void engine.stage('m', 20, pieceOf(1, 20), signal);
    await createAgent();
    agent.loader.applyPlan({ ...plan(1), hasUnfinishedSwitch: true });
    await agent.loader.start();
    expect(await runUntilServing(1, 30_000)).toBe(true);
    expect(agent.report?.isProven).toBe(true);
    expect(hasServedCorrupt).toBe(false);
  });

  it('does not load what is in its stage by an order of a former agent that arrives after the successor has proven its weights', async () => {
    engine.holdFromStart(1);
    engine.orderDelay = 6_000;
    acceptOtherOrder(2);
    engine.orderDelay = 0;
    await createAgent();
    agent.loader.applyPlan({ ...plan(1), hasUnfinishedSwitch: true });
    await agent.loader.start();
    await time.runUntil(50);
    expect(agent.letsRequestsIn).toBe(false);
    expect(await runUntilServing(1, 5_000)).toBe(true);
    expect(agent.report?.isProven).toBe(true);
    await time.runUntil(12_000);
    expect(hasServedCorrupt).toBe(false);
    expect(agent.servesVersion(1)).toBe(true);
  });

  it('gets no requests, not even for a moment, when a switch ends without proof', async () => {
    engine.onOrder = () => {
      engine.onOrder = () => {};
      engine.standStill(5_000);
      setTimeout(() => engine.corrupt(20), 50);
    };
    await createAgent();
    await agent.loader.start();
    // As long as the number of layers is unknown, none can be loaded anew.
    agent.loader.applyPlan({ ...plan(1), layers: 0 });
    await time.runUntil(20_000);
    expect(engine.servesCorruptLayer).toBe(true);
    expect(hasServedCorrupt).toBe(false);
    agent.loader.applyPlan(plan(1));
    expect(await runUntilServing(1, 30_000)).toBe(true);
    expect(hasServedCorrupt).toBe(false);
  });

  it('is not reported as having ended its switch by an agent that stops before it knows what became of its order', async () => {
    engine.holdFromStart(1);
    engine.onOrder = () => {
      engine.standStill(5_000);
      setTimeout(() => void agent.loader.stop(), 100);
    };
    await startAgent(2);
    await time.runUntil(4_000);
    expect(agent.report?.isSwitching).toBe(true);
    expect(agent.letsRequestsIn).toBe(false);
  });

  /** The engine accepts an order that another agent process has sent. */
  function acceptOtherOrder(version: number): void {
    const order = { model: 'm', version, running: 'finish', expectedSequence: 0 } as const;
    void engine.start(order, new AbortController().signal);
  }

  it('gets no requests after an order of a former agent was accepted while its successor was about to send its own', async () => {
    engine.holdFromStart(1);
    await createAgent();
    let hasOrdered = false;
    agent.onChange = () => {
      noteServed();
      if (hasOrdered || agent.report?.version !== 1 || !agent.report.isSwitching) return;
      hasOrdered = true;
      // The stage holds version 2.
      acceptOtherOrder(3);
    };
    await agent.loader.start();
    agent.loader.applyPlan(plan(1, 2));
    await time.runUntil(15_000);
    expect(hasOrdered).toBe(true);
    expect(hasServedCorrupt).toBe(false);
    expect(agent.servesVersion(2)).toBe(true);
  });

  it('serves again after an order of a former agent has loaded what its successor was about to order', async () => {
    engine.holdFromStart(1);
    engine.onOrder = () => {
      engine.onOrder = () => {};
      acceptOtherOrder(2);
    };
    await startAgent(2);
    expect(await runUntilServing(2, 20_000)).toBe(true);
    expect(agent.report?.isProven).toBe(true);
    expect(hasServedCorrupt).toBe(false);
  });

  it('stays in service when a state that was requested before its switch arrives after it', async () => {
    engine.holdFromStart(1);
    await startAgent(1);
    await time.runUntil(1_000);
    engine.writeTime = 50;
    agent.loader.applyPlan(plan(1, 2));
    while (engine.writes === 0) await time.runUntil(performance.now() + SAMPLE);
    engine.nextStateTime = 980;
    expect(await runUntilServing(2, 10_000)).toBe(true);
    expect(engine.nextStateTime).toBe(0);
    const reported: boolean[] = [];
    agent.onChange = () => reported.push(agent.servesVersion(2));
    await time.runUntil(5_000);
    expect(reported).not.toContain(false);
    expect(engine.accepted).toHaveLength(1);
  });

  it('serves its version as long as nothing of the next one can be read back', async () => {
    engine.holdFromStart(1);
    await startAgent(1);
    expect(await runUntilServing(1, 2_000)).toBe(true);
    engine.readTime = 1_200;
    let outOfService = 0;
    agent.onChange = () => {
      if (!agent.letsRequestsIn) outOfService++;
    };
    agent.loader.applyPlan(plan(1, 2));
    await time.runUntil(30_000);
    expect(engine.reads).toBeGreaterThan(0);
    expect(outOfService).toBe(0);
    engine.readTime = 1;
    expect(await runUntilServing(2, 40_000)).toBe(true);
  });

  it('serves its version again after an order without an answer that it refuses for good when it is repeated', async () => {
    engine.holdFromStart(1);
    engine.losesOrders = true;
    await startAgent(2);
    await time.runUntil(4_000);
    expect(agent.letsRequestsIn).toBe(false);
    engine.losesOrders = false;
    engine.refusesAllWith = 412;
    expect(await runUntilServing(1, 10_000)).toBe(true);
    expect(engine.accepted).toEqual([]);
  });

  it('stays in service while it refuses the next versions for good, and loads one once it has restarted', async () => {
    engine.holdFromStart(1);
    await startAgent(1);
    expect(await runUntilServing(1, 2_000)).toBe(true);
    await time.runUntil(3_000);
    engine.refusesAllWith = 412;
    let orders = 0;
    engine.onOrder = () => orders++;
    agent.loader.applyPlan(plan(1, 2, 3));
    let outOfService = 0;
    while (performance.now() < 33_000) {
      await time.runUntil(performance.now() + SAMPLE);
      if (!agent.letsRequestsIn) outOfService += SAMPLE;
    }
    expect(orders).toBeGreaterThan(0);
    expect(orders).toBeLessThanOrEqual(4);
    expect(outOfService).toBeLessThan(1_000);
    engine.refusesAllWith = undefined;
    engine.restart();
    expect(await runUntilServing(3, 36_000)).toBe(true);
    expect(hasServedCorrupt).toBe(false);
  });

  it('does not serve with a piece that the previous agent wrote late', async () => {
    engine.holdFromStart(1);
    engine.heldWrites.add(5);
    void engine.stage('m', 5, pieceOf(1, 5), new AbortController().signal);
    engine.onOrder = () => engine.releaseWrites();
    await startAgent(2);
    expect(await runUntilServing(2, 30_000)).toBe(true);
    expect(hasServedCorrupt).toBe(false);
    expect(engine.servesCorruptLayer).toBe(false);
  });

  it('does not serve with a piece that the previous agent wrote late, if its order comes when no more of them are expected', async () => {
    engine.holdFromStart(1);
    engine.heldWrites.add(5);
    void engine.stage('m', 5, pieceOf(1, 5), new AbortController().signal);
    await createAgent();
    let wroteAt = 0;
    agent.onChange = () => {
      noteServed();
      if (wroteAt > 0 || agent.report?.isSwitching !== true) return;
      wroteAt = performance.now();
      engine.releaseWrites();
      time.standStill(1_000);
    };
    await agent.loader.start();
    await time.runUntil(7_100);
    agent.loader.applyPlan(plan(2));
    expect(await runUntilServing(2, 30_000)).toBe(true);
    expect(wroteAt).toBeLessThan(10_000);
    expect(engine.accepted[0]?.at).toBeGreaterThan(10_000);
    expect(hasServedCorrupt).toBe(false);
    expect(engine.servesCorruptLayer).toBe(false);
  });

  it('gets no requests after a late order has loaded a corrupt piece that the previous agent wrote again since', async () => {
    engine.holdFromStart(1);
    engine.heldWrites.add(40);
    void engine.stage('m', 40, pieceOf(2, 40), new AbortController().signal);
    engine.onOrder = () => {
      engine.onOrder = () => {};
      engine.standStill(5_000);
      setTimeout(() => engine.corrupt(40), 50);
      setInterval(() => {
        if (engine.accepted.length > 0) engine.releaseWrites();
      }, 1);
    };
    await startAgent(2);
    expect(await runUntilServing(2, 30_000)).toBe(true);
    expect(engine.accepted[0]?.corruptFor).toBeGreaterThan(ALLOWED_CORRUPTION);
    expect(hasServedCorrupt).toBe(false);
    expect(engine.servesCorruptLayer).toBe(false);
  });

  it('does not serve with a piece that two late writes have overwritten and mended around the order', async () => {
    engine.holdFromStart(1);
    engine.heldWrites.add(5);
    await createAgent();
    await agent.loader.start();
    await time.runUntil(OTHER_WRITES_END);
    agent.loader.applyPlan(plan(2));
    expect(await runUntilServing(2, 20_000)).toBe(true);
    const { length } = engine.accepted;
    engine.heldWrites.add(5);
    engine.onOrder = () => {
      engine.onOrder = () => {};
      engine.releaseWrite();
    };
    engine.onAccepted = () => engine.releaseWrite();
    agent.loader.applyPlan(plan(2, 3));
    expect(await runUntilServing(3, 60_000)).toBe(true);
    expect(hasServedCorrupt).toBe(false);
    // The layer is loaded once, when one of the writes is no longer expected.
    expect(engine.accepted.length - length).toBeLessThanOrEqual(3);
  });

  it.each([1, 2, 3])('serves while pieces become corrupt all the time: seed %i', async (seed) => {
    const random = seededRandom(seed);
    engine.holdFromStart(1);
    engine.load = 4;
    setInterval(() => engine.corrupt(random.below(PIECES)), 200);
    setInterval(() => {
      engine.readTime = 150 + random.below(300);
    }, 90);
    await startAgent(2);
    setTimeout(() => {
      engine.load = 0;
    }, 4_000);
    expect(await runUntilServing(2, 30_000)).toBe(true);
    await time.runUntil(performance.now() + 5_000);
    agent.loader.applyPlan(plan(2, 3));
    expect(await runUntilServing(3, performance.now() + 30_000)).toBe(true);
    await time.runUntil(performance.now() + 5_000);
    expect(agent.servesVersion(3)).toBe(true);
    expect(hasServedCorrupt).toBe(false);
  });
});
