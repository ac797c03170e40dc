/** The command `node`: one process a VM on the platform. */

import { createBoundedLog } from '../node/log';
import { createRouter, settingsOfEnvironment } from '../platform/run';
import { stopOnSignal } from './signals';

/** Runs a router with the settings that the environment names. */
export async function runNode(): Promise<void> {
  const settings = settingsOfEnvironment(process.env);
  const { log, flush } = createBoundedLog('info', settings.router.vm);
  const router = createRouter(settings, log);
  await router.start();
  stopOnSignal(() => router.stop().finally(flush));
  process.on('SIGHUP', () => router.reload(() => settingsOfEnvironment(process.env).router));
}
