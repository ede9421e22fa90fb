/** What all commands of the command line have in common. */
import { Command } from 'clipanion';
import { CommandFailure } from './errors.js';

/** A command whose failures are printed without a stack and become exit codes. */
export abstract class ThistlewayCommand extends Command {
  /** What the command does; returns the exit code. */
  abstract perform(): Promise<number>;

  async execute(): Promise<number> {
    try {
      return await this.perform();
    } catch (cause) {
      if (!(cause instanceof CommandFailure)) throw cause;
      this.context.stderr.write(`${cause.message}\n`);
      return cause.exitCode;
    }
  }
}
