/** How commands fail: a message without a stack, and an exit code that scripts can tell apart. */

/** Exit code for bad arguments, settings or files. */
export const EXIT_USAGE = 2;
/** Exit code for a conflict with another operator. */
export const EXIT_CONFLICT = 3;
/** Exit code when the outcome is not known, or not reached in time. */
export const EXIT_UNKNOWN = 4;

/** Ends the command with a message and a code. */
export class CommandFailure extends Error {
  readonly exitCode: number;

  constructor(message: string, exitCode: number) {
    super(message);
    this.exitCode = exitCode;
  }
}
