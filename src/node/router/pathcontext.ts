/** What the paths of a VM need of it. */

import type { Logger } from 'pino';

import type { Member } from '../../core/membership/types';
import type { Runner } from '../../core/routing/types';
import type { Dialer } from '../../utils/dialer';
import type { Metrics } from '../metrics';
import type { OpenTunnel, TunnelRequest } from '../peer/tunnel';

/** Dependencies of the paths. */
export interface PathContext {
  readonly vm: string;
  readonly domain: string;
  readonly dialer: Dialer;
  /** The members of the fleet. */
  readonly members: () => readonly Member[];
  /** The runners that this VM may use. */
  readonly runners: (now: number) => readonly Runner[];
  /** Opens a tunnel through another VM. Rejects with `TunnelFailure`. */
  readonly openTunnel: (
    via: Member,
    request: TunnelRequest,
    signal: AbortSignal,
  ) => Promise<OpenTunnel>;
  readonly metrics: Metrics;
  readonly log: Logger;
}
