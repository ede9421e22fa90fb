/** `thistleway losses`: when service was lost in a run, and for which reasons. */
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
    description: 'show from the logs of all processes when service was lost, and why',
    details:
      'One line for each span and service: attempts, answers, refusals with the reasons for which back ends were left out; then the switches of engines to other versions, with the time that each took; then where the slots of engines were: granted, used and waited for.',
  });
  step = Option.String('--step', '1', { description: 'length of a span, in seconds' });
  files = Option.Rest({ required: 1 });

  async perform(): Promise<number> {
    const step = Number(this.step);
    if (!(step > 0)) throw new CommandFailure('--step takes a number of seconds above 0', EXIT_USAGE);
    const lines = readLogs(this.files).sort((one, other) => one.time - other.time);
    const rows = lossTable(lines, step);
    if (rows.length === 0) {
      this.context.stderr.write('no line tells of a request\n');
      return EXIT_UNKNOWN;
    }
    const losses = [...formatLosses(rows, switchOutages(lines)), ...formatCrashes(summarizeCrashes(lines))];
    const slots = formatSlotUses(slotUses(lines, step));
    this.context.stdout.write(`${[...losses, ...slots].join('\n')}\n`);
    return 0;
  }
}
