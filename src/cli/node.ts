/** The command `node`: one process a VM on the platform. */

import { createBoundedLog } from '../node/log';
import { createRouter, loadEnvironmentSettings } from '../platform/router';
import { stopOnSignal } from './signals';

/** Runs a router with the settings that the environment names. */
export async function runNode(): Promise<void> {
  const settings = loadEnvironmentSettings(process.env);
  const { log, flush } = createBoundedLog('info', settings.router.vm);
  const router = createRouter(settings, log);
  await router.start();
  stopOnSignal(() => router.stop().finally(flush));
  process.on('SIGHUP', () => router.reload(() => loadEnvironmentSettings(process.env).router));
}
