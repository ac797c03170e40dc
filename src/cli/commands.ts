/**
 * The commands of the command line. Each imports its modules only when it runs, which
 * shortens the restart of a node.
 */

import type { CAC } from 'cac';

import { Failure } from '../core/failure';
import type { CheckOptions } from './check';
import { registerCtl } from './ctl';

/** Registers all commands and their options. */
export function registerCommands(cli: CAC): void {
  cli
    .command('gateway <file>', 'Run a gateway with the settings in FILE')
    .example('goldcrestdock gateway /etc/goldcrestdock/gateway.jsonc')
    .action(async (file: string) => (await import('./daemons')).runGateway(file));
  cli
    .command('scheduler <file>', 'Run a scheduler with the settings in FILE')
    .example('goldcrestdock scheduler /etc/goldcrestdock/scheduler.jsonc')
    .action(async (file: string) => (await import('./daemons')).runScheduler(file));
  cli
    .command(
      'node',
      'Run a router on the platform with the settings that GOLDCRESTDOCK_CONFIG names',
    )
    .example('GOLDCRESTDOCK_CONFIG=/etc/goldcrestdock/boot.json goldcrestdock node')
    .action(async () => (await import('./node')).runNode());
  cli
    .command('check <file>', 'Check a settings file without running anything')
    .option(
      '--as <path>',
      "Check it as operators' settings at PATH (consortium or teams/NAME), or as the platform's (platform)",
    )
    .example('goldcrestdock check gateway.jsonc')
    .example('goldcrestdock check dosel.jsonc --as teams/dosel')
    .action(async (file: string, options: CheckOptions) =>
      (await import('./check')).checkFile(file, options),
    );
  registerCtl(cli);
}

/** The failure for a command line without a known command. */
export function unknownCommand(args: readonly string[]): Failure {
  return new Failure(
    'usage',
    `found '${args.join(' ')}', expected a command; see goldcrestdock --help`,
  );
}
