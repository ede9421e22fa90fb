/** `thistleway losses`: summarizes failed requests in a run and their reasons. */
import { Command, Option } from 'clipanion';
import { formatCrashes, summarizeCrashes } from '../observability/crash-summary.js';
import { formatLosses, lossTable, switchOutages } from '../observability/loss-table.js';
import { formatSlotUses, slotUses } from '../observability/slot-use.js';
import { ThistlewayCommand } from './command.js';
import { CommandFailure, EXIT_UNKNOWN, EXIT_USAGE } from './errors.js';
import { readLogs } from './logs.js';

/** `thistleway losses [--step SECONDS] FILE...`. */
export class LossesCommand extends ThistlewayCommand {
  static override paths = [['losses']];
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'summarize failed requests and their reasons from the logs of all processes',
    details:
      'One line per interval and service: attempts, answers, and refusals with the reasons for excluding back ends; then the version switches of engines with their durations; then the back ends that crashed; then the use of engine slots: granted, running and waited for.',
  });
  step = Option.String('--step', '1', { description: 'length of an interval, in seconds' });
  files = Option.Rest({ required: 1 });

  async perform(): Promise<number> {
    const step = Number(this.step);
    if (!(step > 0)) throw new CommandFailure('--step must be a number of seconds above 0', EXIT_USAGE);
    const lines = readLogs(this.files).sort((one, other) => one.time - other.time);
    const rows = lossTable(lines, step);
    if (rows.length === 0) {
      this.context.stderr.write('no log line mentions a request\n');
      return EXIT_UNKNOWN;
    }
    const losses = [...formatLosses(rows, switchOutages(lines)), ...formatCrashes(summarizeCrashes(lines))];
    const slots = formatSlotUses(slotUses(lines, step));
    this.context.stdout.write(`${[...losses, ...slots].join('\n')}\n`);
    return 0;
  }
}
