/** Entry of the `goldcrestdock` program. */

import { cac } from 'cac';

import { Failure, toFailure } from '../core/failure';
import { version } from '../version';
import { registerCommands, unknownCommand } from './commands';

const USAGE_EXIT = 2;

/** Prints one line and sets the exit code; a stack would help nobody at the command line. */
function report(error: unknown): void {
  const isUsage = error instanceof Error && error.name === 'CACError';
  const failure = isUsage ? new Failure('usage', error.message) : toFailure(error);
  process.stderr.write(`goldcrestdock: ${failure.line}\n`);
  process.exitCode = USAGE_EXIT;
}

/** Runs the command line. */
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
    report(error);
  }
}

main(process.argv).catch(report);
