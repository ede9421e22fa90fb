/** Entry point of the command line: one binary contains all roles and commands. */
import { Builtins, Cli } from 'clipanion';
import {
  BenchBurstCommand,
  BenchConfigCommand,
  BenchFootprintCommand,
  BenchHollowCommand,
  BenchPlacementCommand,
  BenchRequestsCommand,
  BenchRoutingCommand,
  DemoCommand,
} from './bench.js';
import { EXIT_USAGE } from './errors.js';
import { ExplainCommand } from './explain.js';
import { LossesCommand } from './losses.js';
import {
  ApplyCommand,
  DeleteCommand,
  DiffCommand,
  DrainCommand,
  GetCommand,
  SchemaCommand,
  StatusCommand,
  TimelineCommand,
  WatchCommand,
} from './operators.js';
import { AgentCommand, EmulateCommand, EntryCommand } from './roles.js';

declare const THISTLEWAY_VERSION: string;

const COMMANDS = [
  EntryCommand,
  AgentCommand,
  EmulateCommand,
  ApplyCommand,
  DiffCommand,
  GetCommand,
  SchemaCommand,
  DeleteCommand,
  StatusCommand,
  WatchCommand,
  DrainCommand,
  TimelineCommand,
  ExplainCommand,
  LossesCommand,
  BenchBurstCommand,
  BenchRequestsCommand,
  BenchConfigCommand,
  BenchHollowCommand,
  BenchFootprintCommand,
  BenchPlacementCommand,
  BenchRoutingCommand,
  DemoCommand,
  Builtins.HelpCommand,
  Builtins.VersionCommand,
];

async function main(): Promise<number> {
  const cli = new Cli({
    binaryName: 'thistleway',
    binaryLabel: 'thistleway',
    binaryVersion: THISTLEWAY_VERSION,
  });
  for (const command of COMMANDS) cli.register(command);
  const commandLine = process.argv.slice(2);
  try {
    cli.process(commandLine.length === 0 ? ['--help'] : commandLine);
  } catch (cause) {
    process.stderr.write(cli.error(cause));
    return EXIT_USAGE;
  }
  return cli.run(commandLine.length === 0 ? ['--help'] : commandLine);
}

void main().then((exitCode) => process.exit(exitCode));
