/** The commands of the command line. */

import type { CAC } from 'cac';

import { Failure } from '../core/failure';
import { loadConfig, loadConfigOf, readText } from '../node/config';
import { Gateway } from '../node/gateway/daemon';
import { createBoundedLog, createLog } from '../node/log';
import { Scheduler } from '../node/scheduler/daemon';
import { parseDocument } from '../core/settings/parse';
import { createRouter, settingsOfEnvironment } from '../platform/run';
import { loadSettings } from '../platform/settings';
import { registerCtl } from './ctl';

/** Ends the process after a graceful stop; a second signal ends it at once. */
function stopOnSignal(stop: () => Promise<void>): void {
  let stopping = false;
  const onSignal = (): void => {
    if (stopping) process.exit(1);
    stopping = true;
    stop()
      .then(() => process.exit(0))
      .catch((error: Error) => {
        process.stderr.write(`${error.message}\n`);
        process.exit(1);
      });
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

async function runGateway(file: string): Promise<void> {
  const config = loadConfigOf(file, 'gateway');
  const gateway = new Gateway(config, createLog(config.log, config.vm));
  await gateway.start();
  stopOnSignal(() => gateway.stop());
}

async function runScheduler(file: string): Promise<void> {
  const config = loadConfigOf(file, 'scheduler');
  const log = createLog(config.log, config.vm);
  const scheduler = new Scheduler(config, log);
  await scheduler.start(log);
  stopOnSignal(() => scheduler.stop());
}

async function runNode(): Promise<void> {
  const settings = settingsOfEnvironment(process.env);
  const { log, flush } = createBoundedLog('info', settings.router.vm);
  const router = createRouter(settings, log);
  await router.start();
  stopOnSignal(() => router.stop().finally(flush));
  process.on('SIGHUP', () => router.reload(() => settingsOfEnvironment(process.env).router));
}

interface CheckOptions {
  readonly as?: string;
}

/** Name under which a file is checked as the settings that the platform hands to `node`. */
const PLATFORM = 'platform';

function checkFile(file: string, { as }: CheckOptions): void {
  if (as === PLATFORM) {
    const { vm, listen, peer } = loadSettings(file).router;
    process.stdout.write(
      `${file}: settings of node ${vm} are well-formed: callers at ${listen.front}, links at ${peer}\n`,
    );
    return;
  }
  if (as === undefined) {
    const { role, vm } = loadConfig(file);
    process.stdout.write(`${file}: settings of ${role} ${vm} are well-formed\n`);
    return;
  }
  parseDocument(as, readText(file));
  process.stdout.write(`${file}: settings of ${as} are well-formed\n`);
}

/** Registers all commands. */
export function registerCommands(cli: CAC): void {
  cli
    .command('gateway <file>', 'Run a gateway with the settings in FILE')
    .example('goldcrestdock gateway /etc/goldcrestdock/gateway.jsonc')
    .action(runGateway);
  cli
    .command('scheduler <file>', 'Run a scheduler with the settings in FILE')
    .example('goldcrestdock scheduler /etc/goldcrestdock/scheduler.jsonc')
    .action(runScheduler);
  cli
    .command(
      'node',
      'Run a router on the platform with the settings that GOLDCRESTDOCK_CONFIG names',
    )
    .example('GOLDCRESTDOCK_CONFIG=/etc/goldcrestdock/boot.json goldcrestdock node')
    .action(runNode);
  cli
    .command('check <file>', 'Check a settings file without running anything')
    .option(
      '--as <path>',
      "Check it as operators' settings at PATH (consortium or teams/NAME), or as the platform's (platform)",
    )
    .example('goldcrestdock check gateway.jsonc')
    .example('goldcrestdock check dosel.jsonc --as teams/dosel')
    .action(checkFile);
  registerCtl(cli);
}

/** The failure for a command line that names no known command. */
export function unknownCommand(args: readonly string[]): Failure {
  return new Failure(
    'usage',
    `found '${args.join(' ')}', expected a command; see goldcrestdock --help`,
  );
}
