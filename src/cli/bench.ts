/** The `thistleway bench` commands and `thistleway demo`. Reports are printed as JSON. */
import { Option } from 'clipanion';
import type { BurstReport } from '../../bench/burst-report.js';
import type { RequestReport } from '../../bench/processes/request-bench.js';
import type { ConfigReport } from '../../bench/scale/config-bench.js';
import type { DistributionStrategy } from '../systems/distribution/neighbour-selection.js';
import type { Objective } from '../systems/distribution/transfer.js';
import { ThistlewayCommand } from './command.js';
import { CommandFailure, EXIT_USAGE } from './errors.js';
import { readSettings, runUntilSignal } from './process.js';

/** A named run of the burst benchmark, with or without a fault. */
interface BurstRun {
  name: string;
  run: () => Promise<BurstReport>;
}

/** `thistleway demo`. */
export class DemoCommand extends ThistlewayCommand {
  static override paths = [['demo']];
  static override usage = ThistlewayCommand.Usage({
    category: 'Development',
    description: 'run the example systems of both users on this machine: a burst, then requests; then exit',
  });

  async perform(): Promise<number> {
    const { runDemo } = await import('../../bench/demo/demo.js');
    return (await runDemo(this.context.stdout)) ? 0 : 1;
  }
}

/** `thistleway bench burst`. */
export class BenchBurstCommand extends ThistlewayCommand {
  static override paths = [['bench', 'burst']];
  static override usage = ThistlewayCommand.Usage({
    category: 'Development',
    description: 'measure the distribution of a model to N machines',
    examples: [
      ['24 real machines', 'thistleway bench burst --machines 24 --json'],
      ['780 machines in virtual time', 'thistleway bench burst --machines 780 --simulated --json'],
    ],
  });
  machines = Option.String('--machines', '24', { description: 'number of machines' });
  objective = Option.String('--objective', 'fastest', { description: 'fastest or leastOriginBytes' });
  strategy = Option.String('--strategy', 'swarm', { description: 'swarm, or the baselines tree and origin' });
  faults = Option.String('--faults', 'none', {
    description: 'none, table (all cases), or the name of a case',
  });
  duplex = Option.String('--duplex', 'shared', {
    description: 'shared: both directions share one budget; full: each direction has its own',
  });
  simulated = Option.Boolean('--simulated', false, { description: 'run in virtual time' });
  seed = Option.String('--seed', '1', { description: 'seed of all random choices' });
  json = Option.Boolean('--json', false, { description: 'print the report as JSON' });

  async perform(): Promise<number> {
    const runs = this.simulated ? await this.#simulatedRuns() : await this.#realRuns();
    const reports: BurstReport[] = [];
    for (const { name, run } of runs) {
      this.context.stderr.write(`burst, faults: ${name}\n`);
      reports.push(await run());
    }
    this.#print(reports);
    return reports.every(meetsBurstGuarantees) ? 0 : 1;
  }

  async #simulatedRuns(): Promise<BurstRun[]> {
    const { simulateBurst } = await import('../../bench/simulation/simulated-burst.js');
    const { SIMULATED_FAULTS } = await import('../../bench/simulation/faults.js');
    return selectFaults(this.faults, SIMULATED_FAULTS).map((fault) => ({
      name: fault?.name ?? 'none',
      run: async () => simulateBurst({ ...this.#init(), fault }),
    }));
  }

  async #realRuns(): Promise<BurstRun[]> {
    const { runRealBurst } = await import('../../bench/processes/real-burst.js');
    const { PROCESS_FAULTS } = await import('../../bench/processes/faults.js');
    return selectFaults(this.faults, PROCESS_FAULTS).map((fault) => ({
      name: fault?.name ?? 'none',
      run: () => runRealBurst({ ...this.#init(), fault }),
    }));
  }

  #init() {
    return {
      machines: Number(this.machines),
      objective: this.#oneOf<Objective>('objective', this.objective, ['fastest', 'leastOriginBytes']),
      strategy: this.#oneOf<DistributionStrategy>('strategy', this.strategy, ['swarm', 'tree', 'origin']),
      duplex: this.#oneOf<'shared' | 'full'>('duplex', this.duplex, ['shared', 'full']),
      seed: Number(this.seed),
    };
  }

  #oneOf<T extends string>(name: string, value: string, allowed: readonly T[]): T {
    const found = allowed.find((candidate) => candidate === value);
    if (found !== undefined) return found;
    throw new CommandFailure(`--${name} must be one of ${allowed.join(', ')}, not "${value}"`, EXIT_USAGE);
  }

  #print(reports: BurstReport[]): void {
    const { stdout } = this.context;
    if (!this.json) {
      for (const report of reports) stdout.write(`${JSON.stringify(report, undefined, 2)}\n`);
      return;
    }
    const whole =
      reports.length === 1 ? reports[0] : { cases: reports, sound: reports.every(meetsBurstGuarantees) };
    stdout.write(`${JSON.stringify(whole)}\n`);
  }
}

/** Returns true if the burst completed without violating a guarantee, whatever its duration. */
function meetsBurstGuarantees(report: BurstReport): boolean {
  const { placeBreaches, unverifiedChunksPassedOn, partialLoads, mixedVersionAnswers } = report;
  return (
    report.complete && placeBreaches + unverifiedChunksPassedOn + partialLoads + mixedVersionAnswers === 0
  );
}

/** A benchmark that runs fault cases and reports each of them. */
abstract class FaultBenchCommand extends ThistlewayCommand {
  faults = Option.String('--faults', 'none', {
    description: 'none, table (all cases), or the name of a case',
  });
  seed = Option.String('--seed', '1', { description: 'seed of all random choices' });
  json = Option.Boolean('--json', false, { description: 'print the report as JSON' });

  /** Prints the reports, or a single report by itself; returns the exit code. */
  protected printReports(reports: object[], sound: boolean): number {
    const whole = reports.length === 1 ? reports[0] : { cases: reports, sound };
    this.context.stdout.write(`${this.json ? JSON.stringify(whole) : JSON.stringify(whole, undefined, 2)}\n`);
    return sound ? 0 : 1;
  }
}

/** `thistleway bench requests`. */
export class BenchRequestsCommand extends FaultBenchCommand {
  static override paths = [['bench', 'requests']];
  static override usage = ThistlewayCommand.Usage({
    category: 'Development',
    description: 'measure the request path under faults',
    examples: [['All fault cases', 'thistleway bench requests --faults table --json']],
  });
  seconds = Option.String('--seconds', '15', { description: 'duration of the load, in seconds' });
  rate = Option.String('--rate', '100', { description: 'requests per second' });

  async perform(): Promise<number> {
    const { runRequestBench } = await import('../../bench/processes/request-bench.js');
    const { REQUEST_FAULTS } = await import('../../bench/processes/request-faults.js');
    const reports: RequestReport[] = [];
    let sound = true;
    for (const fault of selectFaults(this.faults, REQUEST_FAULTS)) {
      this.context.stderr.write(`requests, faults: ${fault?.name ?? 'none'}\n`);
      const [seconds, rate, seed] = [this.seconds, this.rate, this.seed].map(Number);
      const report = await runRequestBench({ seconds, rate, seed, fault });
      reports.push(report);
      sound = sound && meetsGuarantees(report, fault?.planned ?? false);
    }
    return this.printReports(reports, sound);
  }
}

/** `thistleway bench footprint`. */
export class BenchFootprintCommand extends ThistlewayCommand {
  static override paths = [['bench', 'footprint']];
  static override usage = ThistlewayCommand.Usage({
    category: 'Development',
    description: 'measure CPU time, memory and control traffic of real processes',
  });
  rate = Option.String('--rate', '60', { description: 'requests per second' });
  seed = Option.String('--seed', '1', { description: 'seed of all random choices' });

  async perform(): Promise<number> {
    const { measureFootprint } = await import('../../bench/processes/footprint.js');
    const report = await measureFootprint(Number(this.rate), Number(this.seed));
    this.context.stdout.write(`${JSON.stringify(report)}\n`);
    return 0;
  }
}

/** `thistleway bench config`. */
export class BenchConfigCommand extends FaultBenchCommand {
  static override paths = [['bench', 'config']];
  static override usage = ThistlewayCommand.Usage({
    category: 'Development',
    description: 'measure configuration changes at scale, with hollow processes in addition to real ones',
    examples: [['The design size', 'thistleway bench config --entries 400 --agents 2300 --json']],
  });
  entries = Option.String('--entries', '40', { description: 'number of entries' });
  agents = Option.String('--agents', '230', { description: 'number of agents' });
  changes = Option.String('--changes', '40', { description: 'number of changes to declare, two per second' });

  async perform(): Promise<number> {
    const { runConfigBench } = await import('../../bench/scale/config-bench.js');
    const { CONFIG_FAULTS } = await import('../../bench/scale/config-faults.js');
    const [entries, agents, changes, seed] = [this.entries, this.agents, this.changes, this.seed].map(Number);
    const reports: ConfigReport[] = [];
    for (const fault of selectFaults(this.faults, CONFIG_FAULTS)) {
      this.context.stderr.write(`config, faults: ${fault?.name ?? 'none'}\n`);
      reports.push(await runConfigBench({ entries, agents, changes, seed, fault }));
    }
    const sound = reports.every((report) => report.acceptedLost + report.reverts + report.servedOlder === 0);
    return this.printReports(reports, sound);
  }
}

/** `thistleway bench hollow`: a process that `bench config` starts. */
export class BenchHollowCommand extends ThistlewayCommand {
  static override paths = [['bench', 'hollow']];
  config = Option.String('--config', { required: true, description: 'settings file (JSON with comments)' });

  async perform(): Promise<number> {
    const { HollowHost, hollowHostSettings } = await import('../../bench/scale/hollow-host.js');
    await runUntilSignal(new HollowHost(readSettings(this.config, hollowHostSettings)));
    return 0;
  }
}

/** `thistleway bench routing`. */
export class BenchRoutingCommand extends ThistlewayCommand {
  static override paths = [['bench', 'routing']];
  static override usage = ThistlewayCommand.Usage({
    category: 'Development',
    description: 'compare routing policies for prefix caches, in virtual time',
  });
  rate = Option.String('--rate', '80', { description: 'requests per second over 8 replicas' });
  prefixes = Option.String('--prefixes', '20', { description: 'number of different prompt prefixes' });
  seed = Option.String('--seed', '1', { description: 'seed of all random choices' });

  async perform(): Promise<number> {
    const { compareRouting } = await import('../../bench/simulation/routing-simulation.js');
    const [rate, prefixes, seed] = [this.rate, this.prefixes, this.seed].map(Number);
    this.context.stdout.write(
      `${JSON.stringify({ rate, prefixes, cases: compareRouting(rate, prefixes, seed) })}\n`,
    );
    return 0;
  }
}

/** `thistleway bench placement`. */
export class BenchPlacementCommand extends ThistlewayCommand {
  static override paths = [['bench', 'placement']];
  static override usage = ThistlewayCommand.Usage({
    category: 'Development',
    description: 'compare request placement policies with many entries and engines, in virtual time',
    examples: [
      [
        'A lasting overload beside its bound',
        'thistleway bench placement --site threeRanks --shape step --load 1.3',
      ],
    ],
  });
  policy = Option.String('--policy', {
    description:
      'run only this policy: reportedLoads, ownCounts, slots, central or centralByRank (the bounds)',
  });
  site = Option.String('--site', 'hundreds', { description: 'deployment: hundreds, threeRanks or uneven' });
  shape = Option.String('--shape', 'peak', {
    description:
      'load over time: peak, step, burst, herd, largeTenant, slowEngines, unevenBursts or unevenStart',
  });
  load = Option.String('--load', '1', { description: 'load as a fraction of the peak' });
  seed = Option.String('--seed', '1', { description: 'seed of all random choices' });

  async perform(): Promise<number> {
    const { PLACEMENT_POLICIES, simulatePlacement } = await import(
      '../../bench/simulation/placement-simulation.js'
    );
    const { LOAD_SHAPES, PLACEMENT_SITES } = await import('../../bench/simulation/placement-loads.js');
    const policies = PLACEMENT_POLICIES.filter(
      (policy) => this.policy === undefined || policy === this.policy,
    );
    if (policies.length === 0)
      throw new CommandFailure(
        `unknown policy "${this.policy}"; available: ${PLACEMENT_POLICIES.join(', ')}`,
        EXIT_USAGE,
      );
    const site = nameIn(PLACEMENT_SITES, 'site', this.site);
    const shape = nameIn(LOAD_SHAPES, 'shape', this.shape);
    for (const policy of policies) {
      const report = simulatePlacement({
        policy,
        site,
        shape,
        load: Number(this.load),
        seed: Number(this.seed),
      });
      this.context.stdout.write(`${JSON.stringify(report)}\n`);
    }
    return 0;
  }
}

function meetsGuarantees(report: RequestReport, planned: boolean): boolean {
  const { lost, crossed, ranTwice, falseNotRun, newWorkAfterLeaving, cut } = report;
  return lost + crossed + ranTwice + falseNotRun + newWorkAfterLeaving + (planned ? cut : 0) === 0;
}

/** Returns `name` if `known` has it, and fails otherwise. */
function nameIn<T extends object>(known: T, option: string, name: string): keyof T {
  if (Object.hasOwn(known, name)) return name as keyof T;
  const names = Object.keys(known).join(', ');
  throw new CommandFailure(`--${option} must be one of ${names}, not "${name}"`, EXIT_USAGE);
}

/** Returns the cases selected by `--faults`; undefined stands for a run without faults. */
function selectFaults<T extends { name: string }>(wanted: string, cases: readonly T[]): Array<T | undefined> {
  if (wanted === 'none') return [undefined];
  if (wanted === 'table') return [...cases];
  const found = cases.find((fault) => fault.name === wanted);
  const names = cases.map((fault) => fault.name).join(', ');
  if (found === undefined) throw new CommandFailure(`no fault "${wanted}"; available: ${names}`, EXIT_USAGE);
  return [found];
}
