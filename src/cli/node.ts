/** The command `node`: the router process of a VM on the platform. */

import { createBoundedLog } from '../node/log';
import { createRouter, loadEnvironmentSettings } from '../platform/router';
import { daemonSignals } from './signals';

/** Runs a router with the settings file named by the environment until a signal stops it. SIGHUP reloads the settings. */
export async function runNode(): Promise<void> {
  await daemonSignals().run(async () => {
    const settings = loadEnvironmentSettings(process.env);
    const { log, flush } = createBoundedLog('info', settings.router.vm);
    const router = createRouter(settings, log);
    await router.start();
    return {
      stop: () => router.stop().finally(flush),
      reload: () => router.reload(() => loadEnvironmentSettings(process.env).router),
    };
  });
}
