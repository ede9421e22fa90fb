/** Faults around the loading of weights: slow and late engines, pieces that turn corrupt, and agents that stop meanwhile. */
import type { Random } from '../../../src/model/random.js';
import { type EngineCall, NO_TIME, type StandInEngine, type TimeRange } from './engine.js';
import { drawBetween, type Fault, noCleanup, pick, type StartedFault } from './fault.js';
import { PIECES } from './workers.js';
import type { SoakWorld } from './world.js';

/** Time that each call to a slow stage takes, and in a burst, in milliseconds. */
const SLOW_STAGE: TimeRange = { least: 150, most: 450 };
const SLOWEST_STAGE: TimeRange = { least: 450, most: 900 };
/** Range of the interval between two corruptions, in milliseconds. */
const MIN_CORRUPTION_GAP = 100;
const MAX_CORRUPTION_GAP = 300;
/** Range of the interval between two versions, in milliseconds. */
const MIN_VERSION_GAP = 2_500;
const MAX_VERSION_GAP = 5_000;
/** One in this many corruptions affects several pieces at once, at most this many. */
const SEVERAL_ONE_IN = 8;
const MOST_AT_ONCE = 24;
/** Range of the time for which an engine stands still, in milliseconds. */
const MIN_STILL = 1_000;
const MAX_STILL = 7_000;
/** Range of the delay of orders and writes, in milliseconds. */
const MIN_DELAY = 1_000;
const MAX_DELAY = 6_000;
/** Writes that are late together, at most. */
const MOST_LATE_WRITES = 12;
/** Range of the time for which an agent is stopped, in milliseconds. */
const MIN_AGENT_STOP = 3_500;
const MAX_AGENT_STOP = 6_000;
/** How long a fault waits for the call at which it begins, in milliseconds. */
const CALL_WAIT_LIMIT = 6_000;
/** Time for which effects of a fault that began at a call are attributed to it beyond its end, in milliseconds. */
const RECOVERY_TIME = 2_000;

const drawPiece = (random: Random) => random.below(PIECES);

function corruptSome(engine: StandInEngine, random: Random): void {
  const count = random.below(SEVERAL_ONE_IN) === 0 ? 2 + random.below(MOST_AT_ONCE - 1) : 1;
  for (let done = 0; done < count; done++) engine.corruptPiece(drawPiece(random));
}

/** Slow stages, pieces of all engines that turn corrupt again and again, and versions, until each is stopped. */
export class WeightsTrouble {
  readonly #world: SoakWorld;
  readonly #random: Random;
  #corruption: NodeJS.Timeout | undefined;
  #versions: NodeJS.Timeout | undefined;

  constructor(world: SoakWorld, random: Random) {
    this.#world = world;
    this.#random = random;
  }

  start(): void {
    this.#corrupt();
    this.#nameVersion();
  }

  #corrupt(): void {
    const engines = this.#world.engines();
    for (const { engine } of engines) if (engine.stageTime.most === 0) engine.stageTime = SLOW_STAGE;
    corruptSome(pick(engines, this.#random).engine, this.#random);
    const gap = drawBetween(this.#random, MIN_CORRUPTION_GAP, MAX_CORRUPTION_GAP);
    this.#corruption = setTimeout(() => this.#corrupt(), gap);
  }

  #nameVersion(): void {
    this.#world.declareNextVersion();
    const gap = drawBetween(this.#random, MIN_VERSION_GAP, MAX_VERSION_GAP);
    this.#versions = setTimeout(() => this.#nameVersion(), gap);
  }

  stopVersions(): void {
    clearTimeout(this.#versions);
  }

  stop(): void {
    this.stopVersions();
    clearTimeout(this.#corruption);
  }
}

/** Calls `act` at the `nth` call of a kind that the engine at `place` gets from now on; at most once. */
function atCall(
  world: SoakWorld,
  place: number,
  { call, nth }: { call: EngineCall; nth: number },
  act: (engine: StandInEngine) => void,
): StartedFault {
  const engine = world.engines().find((one) => one.place === place)!.engine;
  let left = nth;
  const listener = (arrived: EngineCall) => {
    if (arrived !== call || --left > 0) return;
    engine.callListeners.delete(listener);
    act(engine);
  };
  engine.callListeners.add(listener);
  const end = () => void engine.callListeners.delete(listener);
  return { duration: CALL_WAIT_LIMIT, end, detail: `${engine.id} at ${call} ${nth}` };
}

const drawEngine = (world: SoakWorld, random: Random) => pick(world.engines(), random);

function drawCall(random: Random): { call: EngineCall; nth: number } {
  const call = pick(['read', 'write', 'order'] as const, random);
  return { call, nth: call === 'order' ? 1 : 1 + random.below(PIECES) };
}

function standStill(world: SoakWorld, engine: StandInEngine, duration: number): void {
  engine.standStill(duration);
  world.disruptions.record([engine.id], duration + RECOVERY_TIME);
}

/** Stops an agent's process for some time. */
function stopAgent(world: SoakWorld, place: number, duration: number): void {
  const { child, name } = world.agentOf(place);
  child?.kill('SIGSTOP');
  world.disruptions.record([name], duration + RECOVERY_TIME);
  setTimeout(() => child?.kill('SIGCONT'), duration);
}

/** Corrupts several pieces of an engine while it holds an order back. */
function corruptMeanwhile(engine: StandInEngine, random: Random): void {
  const count = random.below(4);
  const pieces = Array.from({ length: count }, () => drawPiece(random));
  setTimeout(() => {
    for (const piece of pieces) engine.corruptPiece(piece);
  }, random.below(500));
}

export const WEIGHTS_FAULTS: Fault[] = [
  {
    name: 'versions named in series',
    mustFinish: true,
    begin(world, random) {
      const count = drawBetween(random, 2, 4);
      const gap = drawBetween(random, 500, 3_000);
      for (let place = 0; place < count; place++) setTimeout(() => world.declareNextVersion(), place * gap);
      return { duration: count * gap, end: noCleanup, detail: `${count}, every ${gap} ms` };
    },
  },
  {
    name: 'stage of an engine slow',
    begin(world, random) {
      const { engine } = drawEngine(world, random);
      engine.stageTime = random.below(2) === 0 ? SLOW_STAGE : SLOWEST_STAGE;
      const end = () => {
        engine.stageTime = NO_TIME;
      };
      return { duration: drawBetween(random, 500, 3_000), end, detail: engine.id };
    },
  },
  {
    name: 'pieces of an engine corrupted again and again',
    begin(world, random) {
      const { engine } = drawEngine(world, random);
      const gap = drawBetween(random, MIN_CORRUPTION_GAP, MAX_CORRUPTION_GAP);
      const timer = setInterval(() => corruptSome(engine, random), gap);
      const duration = drawBetween(random, 1_000, 5_000);
      return { duration, end: () => clearInterval(timer), detail: `${engine.id} every ${gap} ms` };
    },
  },
  {
    name: 'all pieces of all engines corrupted',
    begin(world) {
      for (const { engine } of world.engines())
        for (let piece = 0; piece < PIECES; piece++) engine.corruptPiece(piece);
      return { duration: 0, end: noCleanup, detail: 'all' };
    },
  },
  {
    name: 'engine stands still',
    begin(world, random) {
      const { engine } = drawEngine(world, random);
      const duration = drawBetween(random, MIN_STILL, MAX_STILL);
      standStill(world, engine, duration);
      return { duration, end: noCleanup, detail: engine.id, disrupts: [engine.id] };
    },
  },
  {
    name: 'engine stands still at a call',
    begin(world, random) {
      const { place } = drawEngine(world, random);
      const duration = drawBetween(random, MIN_STILL, MAX_STILL);
      const begun = atCall(world, place, drawCall(random), (engine) => {
        standStill(world, engine, duration);
        corruptMeanwhile(engine, random);
      });
      return { ...begun, detail: `${begun.detail}, ${duration} ms` };
    },
  },
  {
    name: 'order held back',
    begin(world, random) {
      const { place } = drawEngine(world, random);
      const delay = drawBetween(random, MIN_DELAY, MAX_DELAY);
      const begun = atCall(world, place, { call: 'order', nth: 1 }, (engine) => {
        engine.delayNextOrder(delay);
        corruptMeanwhile(engine, random);
      });
      return { ...begun, detail: `${begun.detail}, ${delay} ms` };
    },
  },
  {
    name: 'writes to a stage carried out late',
    begin(world, random) {
      const { place } = drawEngine(world, random);
      const delays = Array.from({ length: 1 + random.below(MOST_LATE_WRITES) }, () =>
        drawBetween(random, MIN_DELAY, MAX_DELAY),
      );
      const begun = atCall(world, place, { call: 'write', nth: 1 + random.below(PIECES) }, (engine) => {
        for (const delay of delays) engine.delayNextWrite(delay);
      });
      return { ...begun, detail: `${begun.detail}, ${delays.join(' ')} ms` };
    },
  },
  {
    name: 'agent stopped',
    begin(world, random) {
      const { place } = drawEngine(world, random);
      const duration = drawBetween(random, MIN_AGENT_STOP, MAX_AGENT_STOP);
      stopAgent(world, place, duration);
      return { duration, end: noCleanup, detail: world.agentOf(place).name };
    },
  },
  {
    name: 'agent stopped at a call to its engine',
    begin(world, random) {
      const { place } = drawEngine(world, random);
      const duration = drawBetween(random, MIN_AGENT_STOP, MAX_AGENT_STOP);
      const begun = atCall(world, place, drawCall(random), () => stopAgent(world, place, duration));
      return { ...begun, detail: `${begun.detail}, ${duration} ms` };
    },
  },
  {
    name: 'agent ended while an order is under way',
    begin(world, random) {
      const { place } = drawEngine(world, random);
      const isKilled = random.below(2) === 0;
      const delay = random.below(600);
      const begun = atCall(world, place, { call: 'order', nth: 1 }, () => {
        setTimeout(() => {
          const agent = world.agentOf(place);
          if (isKilled) agent.child?.kill('SIGKILL');
          else world.terminate(agent);
          world.disruptions.record([agent.name], RECOVERY_TIME);
        }, delay);
      });
      const how = isKilled ? 'SIGKILL' : 'SIGTERM';
      return { ...begun, detail: `${begun.detail}, ${how} after ${delay} ms` };
    },
  },
];
