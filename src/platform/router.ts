/** Builds a router from the settings and the store of the platform, for the command `node`. */

import type { Logger } from 'pino';

import { Failure } from '../core/failure';
import { StoreHistory } from '../core/routing/position';
import { logOf } from '../node/log';
import { Router } from '../node/router/daemon';
import type { Dialer } from '../utils/dialer';
import { TcpDialer } from '../utils/dialer';
import { EraReader } from './era';
import { StoreFeed } from './feed';
import { StoreFleetSize } from './fleetsize';
import { StoreLock } from './lock';
import { PlatformControl, PlatformIngress } from './ingress';
import { PlatformRunnerClient } from './runner';
import type { PlatformSettings } from './settings';
import { SETTINGS_VARIABLE, loadSettings } from './settings';
import { StoreClient } from './store';
import { StoreSuspects } from './suspects';
import { StoreVersions } from './versions';

/**
 * Reads the settings file named by the environment variable `SETTINGS_VARIABLE`.
 * Throws `usage` if the variable is not set, or the failure of `loadSettings`.
 */
export function loadEnvironmentSettings(
  env: Readonly<Record<string, string | undefined>>,
): PlatformSettings {
  const file = env[SETTINGS_VARIABLE];
  if (file === undefined) {
    throw new Failure(
      'usage',
      `found no ${SETTINGS_VARIABLE}, expected the path of a settings file`,
    );
  }
  return loadSettings(file);
}

/**
 * Creates a router that uses the platform's store, protocol and lock. It is not started yet.
 * @param dialer opens the connections to runners. Default: over TCP
 */
export function createRouter(
  { router, store }: PlatformSettings,
  log: Logger,
  dialer: Dialer = new TcpDialer(),
): Router {
  const { vm, peer } = router;
  const history = new StoreHistory();
  const client = new StoreClient(store, new EraReader(history, logOf(log, 'store')));
  const feed = new StoreFeed(client, { vm, address: peer }, history, logOf(log, 'store'));
  return new Router(
    router,
    {
      history,
      feed,
      runners: (connector) => new PlatformRunnerClient(connector),
      dialer,
      ingress: new PlatformIngress(),
      control: new PlatformControl(),
      lock: new StoreLock(client, vm),
      archive: new StoreSuspects(client),
      versions: new StoreVersions(client),
      fleetSize: new StoreFleetSize(client),
    },
    log,
  );
}
