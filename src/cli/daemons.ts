/** The commands `gateway` and `scheduler`: the two daemons that run on larger VMs. */

import { loadConfigOf } from '../node/config';
import { Gateway } from '../node/gateway/daemon';
import { createLog } from '../node/log';
import { Scheduler } from '../node/scheduler/daemon';
import { daemonSignals } from './signals';

/** Runs a gateway with the settings in a file until a signal stops it. */
export async function runGateway(file: string): Promise<void> {
  await daemonSignals().run(async () => {
    const config = loadConfigOf(file, 'gateway');
    const gateway = new Gateway(config, createLog(config.log, config.vm));
    await gateway.start();
    return { stop: () => gateway.stop() };
  });
}

/** Runs a scheduler with the settings in a file until a signal stops it. */
export async function runScheduler(file: string): Promise<void> {
  await daemonSignals().run(async () => {
    const config = loadConfigOf(file, 'scheduler');
    const log = createLog(config.log, config.vm);
    const scheduler = new Scheduler(config, log);
    await scheduler.start(log);
    return { stop: () => scheduler.stop() };
  });
}
