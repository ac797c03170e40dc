/** The command line of the `goldcrestdock` program. */

import { cac } from 'cac';

import { Failure, toFailure } from '../core/failure';
import { version } from '../version';
import { registerCommands, unknownCommand } from './commands';

const FAILURE_EXIT_CODE = 2;

/** Prints a failure as one line without a stack trace and exits, which ends a daemon that has started in part. */
function exitOnFailure(error: unknown): void {
  const isUsage = error instanceof Error && error.name === 'CACError';
  const failure = isUsage ? new Failure('usage', error.message) : toFailure(error);
  process.stderr.write(`goldcrestdock: ${failure.line}\n`);
  process.exit(FAILURE_EXIT_CODE);
}

/** Parses the command line and runs the command; failures are printed. */
export async function main(argv: readonly string[]): Promise<void> {
  const cli = cac('goldcrestdock');
  registerCommands(cli);
  cli.help();
  cli.version(version);
  try {
    cli.parse([...argv], { run: false });
    if (cli.options.help || cli.options.version) return;
    if (!cli.matchedCommand) throw unknownCommand(cli.args);
    await cli.runMatchedCommand();
  } catch (error) {
    exitOnFailure(error);
  }
}
