/** Forwards connections of other VMs to runners that those do not reach. */

import type { Socket } from 'node:net';

import type { Logger } from 'pino';
import { z } from 'zod';

import { toFailure } from '../../core/failure';
import type { ForwardFailure } from '../../core/paths/forwarders';
import { delayEnd, isReset } from '../../utils/earlyends';
import { LogRateLimiter } from '../loglimiter';
import type { Metrics } from '../metrics';
import type { TunnelRequest } from '../peer/tunnel';
import { acceptTunnel, rejectTunnel } from '../peer/tunnel';
import type { PathController } from './paths';
import type { RoutingState } from './routingstate';

/** Dependencies of the tunnels. */
export interface TunnelContext {
  readonly routingState: Pick<RoutingState, 'accepts' | 'runners' | 'isListed'>;
  readonly paths: Pick<PathController, 'connectDirectly' | 'isPartitioned' | 'isCutOff'>;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** Tunnels that one VM forwards at the same time; its own callers need descriptors and memory, too. */
const MAX_TUNNELS = 256;
const LINES_PER_S = 20;
/** Time for which the ends of tunnels are kept, in milliseconds: other VMs ask for them at once. */
const END_KEPT_MS = 10_000;
/** Most ends that are kept. */
const MAX_ENDS = 4096;

/** Why a tunnel is rejected. */
interface Rejection {
  readonly failure: ForwardFailure;
  readonly detail: string;
}

/** A tunnel whose runner closed its connection without a reset. */
interface TunnelEnd {
  readonly at: number;
  /** Bytes that the runner had sent. */
  readonly bytes: number;
}

const endSchema = z.object({ id: z.string() });

/** The tunnels that this VM forwards. */
export class Tunnels {
  readonly #context: TunnelContext;

  readonly #lines: LogRateLimiter;

  readonly #callers = new Set<Socket>();

  /** The ends of tunnels by their ids, oldest first. */
  readonly #ends = new Map<string, TunnelEnd>();

  #isDraining = false;

  constructor(context: TunnelContext) {
    this.#context = context;
    this.#lines = new LogRateLimiter(LINES_PER_S, (lines) =>
      context.log.info({ lines }, 'Forwarded or rejected more connections.'),
    );
  }

  /** Number of open tunnels. */
  get active(): number {
    return this.#callers.size;
  }

  /** Rejects new tunnels; open ones go on. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Resets all tunnels. */
  cutOff(): void {
    for (const caller of this.#callers) caller.resetAndDestroy();
  }

  /**
   * Answers a VM that asks how a tunnel ended: the number of bytes that the runner sent before it
   * closed its connection, null if it did not or that is not known any more. Throws if the message
   * does not fit.
   */
  onAsked(now: number, params: unknown): number | null {
    const end = this.#ends.get(endSchema.parse(params).id);
    return end && now - end.at <= END_KEPT_MS ? end.bytes : null;
  }

  /** Handles the request of another VM for a tunnel. */
  async open(request: TunnelRequest, caller: Socket): Promise<void> {
    const startedAt = performance.now();
    caller.on('error', () => {});
    this.#callers.add(caller);
    caller.once('close', () => this.#callers.delete(caller));
    const rejection =
      this.#rejectionOf(startedAt, request) ?? (await this.#forward(request, caller));
    this.#report(startedAt, request, rejection);
    if (rejection) rejectTunnel(caller, rejection.failure, rejection.detail);
  }

  /** Connects to the runner and joins the two connections; returns why it does not. */
  async #forward(
    { address, runner: id, request, id: tunnel, ...asked }: TunnelRequest,
    caller: Socket,
  ): Promise<Rejection | undefined> {
    const { paths } = this.#context;
    // What replaces the request is known to the VM that asks; one that is cut off is of no use to it.
    const mayAbandon = asked.mayAbandon ? () => paths.isCutOff({ address }) : undefined;
    try {
      const runner = await paths.connectDirectly({ address, id, request, mayAbandon });
      if (caller.destroyed) {
        runner.destroy();
        return undefined;
      }
      acceptTunnel(caller);
      join(caller, runner, () => {
        if (tunnel !== undefined) this.#ended(performance.now(), tunnel, runner.bytesRead);
      });
      return undefined;
    } catch (error) {
      const failure = paths.isPartitioned(performance.now()) ? 'vm' : 'runner';
      return { failure, detail: toFailure(error).codeName };
    }
  }

  #rejectionOf(
    now: number,
    { address, runner: id, request }: TunnelRequest,
  ): Rejection | undefined {
    const { routingState } = this.#context;
    if (this.#isDraining) return { failure: 'vm', detail: 'draining' };
    if (this.#callers.size > MAX_TUNNELS) return { failure: 'vm', detail: 'too many tunnels' };
    if (request === undefined) {
      return routingState.isListed(address) ? undefined : { failure: 'runner', detail: 'unknown' };
    }
    // A runner that leaves, or that asked this VM for a pause, gets no requests from here.
    const runner = routingState.runners(now).find((one) => one.id === id);
    const isOpen = runner?.address === address && routingState.accepts(now, runner);
    return isOpen ? undefined : { failure: 'runner', detail: 'unavailable' };
  }

  #ended(now: number, tunnel: string, bytes: number): void {
    for (const [id, { at }] of this.#ends) {
      if (this.#ends.size < MAX_ENDS && now - at <= END_KEPT_MS) break;
      this.#ends.delete(id);
    }
    this.#ends.set(tunnel, { at: now, bytes });
  }

  #report(startedAt: number, tunnel: TunnelRequest, rejection: Rejection | undefined): void {
    const { metrics, log } = this.#context;
    metrics.count(rejection ? 'tunnels.rejected' : 'tunnels.forwarded');
    const now = performance.now();
    if (!this.#lines.tryAcquire(now)) return;
    const { vm, address, runner, request } = tunnel;
    const ms = Math.round(now - startedAt);
    const outcome = rejection?.detail ?? 'connected';
    log.info({ request, from: vm, address, runner, ms, outcome }, 'Forwarded a connection.');
  }
}

/**
 * Passes on all bytes between two connections, and how each ends.
 * @param onEnd called when the runner has read all that was passed on and closed its connection without a reset
 */
function join(caller: Socket, runner: Socket, onEnd: () => void): void {
  caller.pipe(runner);
  runner.pipe(caller);
  const end = (other: Socket, hadError: boolean): void => {
    if (hadError) other.resetAndDestroy();
    else other.destroySoon();
  };
  delayEnd(runner);
  // A reset that arrives together with the last bytes is emitted as `end`.
  runner.prependOnceListener('end', () => {
    if (isReset(runner)) caller.resetAndDestroy();
    else if (runner.writableLength === 0) onEnd();
  });
  runner.once('close', (hadError) => end(caller, hadError));
  caller.once('close', (hadError) => end(runner, hadError));
}
