/** How this VM reaches runners, and forwards connections of VMs that do not. */

import type { Socket } from 'node:net';

import type { Logger } from 'pino';

import { toFailure } from '../../core/failure';
import type { Dialer } from '../../utils/dialer';
import { logOf } from '../log';
import type { Metrics } from '../metrics';
import type { TunnelRequest } from '../peer/tunnel';
import type { RouterFleet } from './fleet';
import { PathController } from './paths';
import type { RoutingState } from './routingstate';
import { Tunnels } from './tunnels';
import type { RouterSettings } from './types';

/** Dependencies of the connectivity. */
export interface ConnectivityContext {
  readonly settings: Pick<RouterSettings, 'vm' | 'domain'>;
  readonly dialer: Dialer;
  readonly routingState: RoutingState;
  readonly fleet: () => RouterFleet;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** The paths of this VM, and the tunnels that it forwards. */
export class Connectivity {
  readonly paths: PathController;

  readonly #tunnels: Tunnels;

  readonly #log: Logger;

  constructor({ settings, dialer, routingState, fleet, metrics, log }: ConnectivityContext) {
    this.#log = logOf(log, 'paths');
    this.paths = new PathController({
      vm: settings.vm,
      domain: settings.domain,
      dialer,
      members: () => fleet().all,
      runners: (now) => routingState.runners(now),
      openTunnel: (via, request, signal) => fleet().openTunnel(via, request, signal),
      metrics,
      log: this.#log,
    });
    this.#tunnels = new Tunnels({ routingState, paths: this.paths, metrics, log: this.#log });
  }

  /** Number of connections that it forwards. */
  get forwarding(): number {
    return this.#tunnels.active;
  }

  /** Answers a VM that asks how a tunnel ended; see `Tunnels`. */
  onTunnelAsked(now: number, params: unknown): number | null {
    return this.#tunnels.onAsked(now, params);
  }

  /** Handles the request of another VM for a tunnel. */
  onTunnel(request: TunnelRequest, socket: Socket): void {
    this.#tunnels.open(request, socket).catch((error) => {
      this.#log.error(toFailure(error).line);
      socket.destroy();
    });
  }

  /** Forwards no more connections; open ones go on. */
  startDraining(): void {
    this.#tunnels.startDraining();
  }

  /** Resets the connections that it forwards and stops the probes. */
  stop(): void {
    this.#tunnels.cutOff();
    this.paths.stop();
  }

  /** State of the paths, for operators. */
  snapshot(now: number): Readonly<Record<string, unknown>> {
    return { ...this.paths.snapshot(now), forwarding: this.forwarding };
  }
}
