/** Base class of all commands. */
import { Command } from 'clipanion';
import { CommandFailure } from './errors.js';

/** A command that prints a {@link CommandFailure} without a stack trace and returns its exit code. */
export abstract class ThistlewayCommand extends Command {
  /** Runs the command; resolves to the exit code. */
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
