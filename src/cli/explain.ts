/** `thistleway explain`: shows the history of one request from logs. */
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
    description: 'show the history of one request from the logs of all processes',
    details:
      'Lines about the request are marked with *. The other lines are state changes of the processes that handled it and of its back ends, from 3 s before.',
  });
  id = Option.String({ required: true });
  files = Option.Rest({ required: 1 });

  async perform(): Promise<number> {
    const history = historyOf(this.id, readLogs(this.files));
    if (history.length === 0) {
      this.context.stderr.write(
        `no log line mentions request ${this.id}; a retry by the caller has another id\n`,
      );
      return EXIT_UNKNOWN;
    }
    this.context.stdout.write(`${formatHistory(this.id, history).join('\n')}\n`);
    return 0;
  }
}
