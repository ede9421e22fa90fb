/** Failures of commands: a message without a stack trace, and an exit code that scripts can check. */

/** Exit code for an error in this process. */
export const EXIT_FAILURE = 1;
/** Exit code for invalid arguments, settings or files. */
export const EXIT_USAGE = 2;
/** Exit code for a conflict with a change by another operator. */
export const EXIT_CONFLICT = 3;
/** Exit code if the outcome is unknown or was not reached in time. */
export const EXIT_UNKNOWN = 4;

/** Thrown to end a command with a message and an exit code. */
export class CommandFailure extends Error {
  readonly exitCode: number;

  constructor(message: string, exitCode: number) {
    super(message);
    this.exitCode = exitCode;
  }
}
