/** `thistleway explain`: what the logs tell of one request. */
import { Command, Option } from 'clipanion';
import { formatHistory, historyOf } from '../observability/request-history.js';
import { ThistlewayCommand } from './command.js';
import { EXIT_UNKNOWN } from './errors.js';
import { readLogs } from './logs.js';

/** `thistleway explain ID FILE...`. */
export class ExplainCommand extends ThistlewayCommand {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'show what the logs of all processes tell of one request',
    details:
      'Lines about the request are marked with *; around them stand the changes of belief of the processes that handled it, from 3 s before.',
  });
  id = Option.String({ required: true });
  files = Option.Rest({ required: 1 });

  async perform(): Promise<number> {
    const history = historyOf(this.id, readLogs(this.files));
    if (history.length === 0) {
      this.context.stderr.write(`no line names ${this.id}; a caller that asks again uses another id\n`);
      return EXIT_UNKNOWN;
    }
    this.context.stdout.write(`${formatHistory(this.id, history).join('\n')}\n`);
    return 0;
  }
}
