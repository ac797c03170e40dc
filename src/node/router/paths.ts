/** The paths of this VM to runners: opens connections, directly or through another VM, and probes lost paths. */

import { randomUUID } from 'node:crypto';
import type { Socket } from 'node:net';

import { Failure } from '../../core/failure';
import type { Member } from '../../core/membership/types';
import { Forwarders, tunnelDelays } from '../../core/paths/forwarders';
import type { Destination, Path } from '../../core/paths/table';
import { PathTable } from '../../core/paths/table';
import type { Runner } from '../../core/routing/types';
import { connected } from '../../utils/dialer';
import { LogRateLimiter } from '../loglimiter';
import type { TunnelRequest } from '../peer/tunnel';
import { TunnelFailure } from '../peer/tunnel';
import { LateConnections } from './lateconnections';
import { OpenConnections, SILENT_MS } from './openconnections';
import type { PathContext } from './pathcontext';
import type { Way } from './race';
import { firstConnection } from './race';
import type {
  Abandonment,
  RunnerConnection,
  RunnerConnector,
  RunnerPaths,
  RunnerTarget,
} from './types';

/** Connect timeout, in milliseconds. It allows for many round trips and is below the second after which TCP retransmits a lost SYN. */
const CONNECT_TIMEOUT_MS = 350;
/** VMs asked for one connection. */
const MAX_TUNNELS = 4;
/** VMs asked in one probe; the next probe asks others. */
const PROBE_TUNNELS = 1;
/** Period of checking for probes that are due and for stalled connections, in milliseconds. */
const TICK_MS = 200;
/** Maximum number of probes in one period. */
const MAX_PROBES = 8;
/** Paths lost in a row, without a direct connection between them, after which all are checked. */
const LOSSES_TO_CHECK_ALL = 2;
/** Shortest time between two checks of all paths, in milliseconds. */
const CHECK_ALL_MS = 2000;
/** Maximum number of paths in such a check; others are found by requests. */
const MAX_CHECKED = 64;
/** Share of lost paths from which this VM counts as partitioned, so that other VMs ask others to forward. */
const PARTITIONED_SHARE = 0.9;
/** Share of the runners that this VM does not reach from which it, not they, is at fault. */
const ISOLATED_SHARE = 0.5;
const LINES_PER_S = 10;

/** Paths of this VM. */
export class PathController implements RunnerConnector, RunnerPaths {
  readonly #context: PathContext;

  readonly #table = new PathTable();

  readonly #forwarders: Forwarders;

  readonly #open = new OpenConnections();

  readonly #late = new LateConnections();

  readonly #lines: LogRateLimiter;

  #lossesInARow = 0;

  #checkedAllAt = -Infinity;

  #timer: NodeJS.Timeout | undefined;

  constructor(context: PathContext) {
    this.#context = context;
    this.#forwarders = new Forwarders(context.vm, context.domain);
    this.#lines = new LogRateLimiter(LINES_PER_S, (lines) =>
      context.log.info({ lines }, 'More paths to runners changed.'),
    );
  }

  /** Stops the probes. */
  stop(): void {
    clearInterval(this.#timer);
    this.#late.stop();
  }

  pathTo({ address }: Pick<Runner, 'address'>): Path {
    return this.#table.pathTo(address);
  }

  reaches({ address }: Pick<Runner, 'address'>): boolean {
    return this.#table.pathTo(address) !== 'none';
  }

  isCutOff({ address }: Pick<Runner, 'address'>): boolean {
    return this.#table.isCutOff(address);
  }

  mayGoOn(now: number, { address }: Pick<Runner, 'address'>): boolean {
    if (!this.#table.mayGoOn(now, address)) return false;
    return this.#lostShare(now, (path) => path !== 'direct') < ISOLATED_SHARE;
  }

  isAtFault(now: number, { address }: Pick<Runner, 'address'>, sentAt: number): boolean {
    const lostSince = this.#table.lostSince(address);
    if (lostSince === undefined) return true;
    if (this.#table.pathTo(address) === 'none') {
      const isIsolated = this.#lostShare(now, (path) => path === 'none') >= ISOLATED_SHARE;
      return this.#table.isConfirmedLost(address) && !isIsolated;
    }
    return lostSince < sentAt && this.#table.forwardedAfter(address, sentAt);
  }

  /** Whether this VM reaches hardly any runner directly, so that it cannot forward connections. */
  isPartitioned(now: number): boolean {
    return this.#lostShare(now, (path) => path !== 'direct') >= PARTITIONED_SHARE;
  }

  /** Must be called when runners were listed, started anew, or are gone. */
  runnersChanged(now: number): void {
    if (this.#table.hasLost) this.#table.retain(this.#context.runners(now));
  }

  /** State of the paths, for operators. */
  snapshot(now: number): Readonly<Record<string, unknown>> {
    return { lostPaths: this.#table.snapshot(now) };
  }

  async connect(target: RunnerTarget, signal: AbortSignal): Promise<RunnerConnection> {
    const { address } = target;
    const path = this.#table.pathTo(address);
    if (path === 'none') throw new Failure('runnerUnreachable', `${address}: no path`);
    const now = performance.now();
    try {
      return await this.#race(now, target, signal);
    } catch (error) {
      if (signal.aborted) throw new Failure('runnerUnreachable', `${address}: aborted`);
      this.#onAllFailed(performance.now(), address);
      throw new Failure('runnerUnreachable', address, { cause: error as Error });
    }
  }

  async connectDirectly({ address, id, mayAbandon }: RunnerTarget): Promise<Socket> {
    if (this.#table.pathTo(address) !== 'direct') {
      throw new Failure('runnerUnreachable', `${address}: no direct path`);
    }
    const socket = await this.#openDirect({ address, id }).catch(({ message }: Error) => {
      throw new Failure('runnerUnreachable', `${address}: ${message}`);
    });
    if (mayAbandon) this.#track(address, socket, mayAbandon);
    return socket;
  }

  async #race(
    now: number,
    target: RunnerTarget,
    signal: AbortSignal,
    maxTunnels = MAX_TUNNELS,
  ): Promise<RunnerConnection> {
    const { address, mayAbandon } = target;
    const ways = this.#waysTo(now, target, maxTunnels);
    const connection = await firstConnection(ways, signal);
    const { socket, via } = connection;
    if (via === undefined) {
      if (mayAbandon) this.#track(address, socket, mayAbandon);
      return connection;
    }
    this.#context.metrics.count('tunnels.opened');
    this.#onForwarded(performance.now(), target);
    if (mayAbandon) this.#track(via, socket, mayAbandon);
    return connection;
  }

  /** Gives up the connections through another VM that is gone. */
  vmLost(address: string): void {
    this.#open.abandon(address);
  }

  #track(address: string, socket: Socket, mayAbandon: Abandonment): void {
    this.#open.add(performance.now(), address, socket, mayAbandon);
    this.#startTimer();
  }

  #startTimer(): void {
    this.#timer ??= setInterval(() => this.#tick(performance.now()), TICK_MS);
  }

  #waysTo(now: number, target: RunnerTarget, maxTunnels: number): readonly Way[] {
    const { address } = target;
    const isLost = this.#table.pathTo(address) !== 'direct';
    // Drawn when the first is needed: most connections need none, and it costs time for each member.
    let drawn: readonly Member[] | undefined;
    const draw = (): readonly Member[] => {
      const { members } = this.#context;
      drawn ??= this.#forwarders.order(now, members(), address, maxTunnels, Math.random);
      return drawn;
    };
    const isPreferred = isLost && this.#forwarders.isPreferred(now, draw()[0]?.vm ?? '');
    const tunnels = tunnelDelays(maxTunnels, isLost, isPreferred).map((delayMs, index) =>
      this.#tunnelWay(target, () => draw()[index], delayMs),
    );
    // Requests do not wait for a path that is known to be lost; probes find out when it is back.
    if (isLost) return tunnels;
    // The second direct attempt makes up for a lost SYN of the first.
    const last = this.#directWay(target, CONNECT_TIMEOUT_MS);
    return [this.#directWay(target, 0), ...tunnels, last];
  }

  #directWay(target: RunnerTarget, delayMs: number): Way {
    return {
      delayMs,
      open: async () => ({ socket: await this.#openDirect(target), via: undefined }),
    };
  }

  #tunnelWay(target: RunnerTarget, vmOf: () => Member | undefined, delayMs: number): Way {
    return {
      delayMs,
      open: async (signal) => {
        const vm = vmOf();
        if (!vm) throw new Error('no other VM to ask');
        return this.#openTunnel(target, vm, signal);
      },
    };
  }

  async #openTunnel(
    { address, id, request, mayAbandon }: RunnerTarget,
    via: Member,
    signal: AbortSignal,
  ): Promise<RunnerConnection> {
    const { vm, openTunnel, metrics } = this.#context;
    const tunnelId = randomUUID();
    const asked: TunnelRequest = {
      address,
      vm,
      mayAbandon: mayAbandon !== undefined,
      id: tunnelId,
      ...(id === undefined ? {} : { runner: id }),
      ...(request === undefined ? {} : { request }),
    };
    try {
      const { socket, headBytes } = await openTunnel(via, asked, signal);
      socket.on('error', () => {});
      this.#forwarders.recordSuccess(performance.now(), via.vm);
      const arrivedBytes = (): number => socket.bytesRead - headBytes;
      return { socket, via: via.address, tunnel: { id: tunnelId, arrivedBytes } };
    } catch (error) {
      if (signal.aborted) throw error;
      const failure = error instanceof TunnelFailure ? error.failure : 'slow';
      this.#forwarders.recordFailure(performance.now(), via.vm, address, failure);
      metrics.count('tunnels.failed');
      throw error;
    }
  }

  /** Connects directly and records the outcome, also if the connection is not needed any more. */
  async #openDirect(destination: Destination): Promise<Socket> {
    const { address } = destination;
    const beganAt = performance.now();
    const socket = this.#context.dialer.dial(address);
    socket.on('error', () => {});
    try {
      await connected(socket, CONNECT_TIMEOUT_MS);
    } catch (error) {
      this.#onDirectFailed(performance.now(), destination, beganAt, error as Error);
      this.#late.keep(address, socket, () => this.#onConnected(performance.now(), address));
      throw error;
    }
    this.#onConnected(performance.now(), address);
    return socket;
  }

  #onConnected(now: number, address: string): void {
    this.#lossesInARow = 0;
    const lostMs = this.#table.recordConnected(now, address);
    if (lostMs === undefined) return;
    const { metrics, log } = this.#context;
    metrics.count('paths.back');
    this.#table.expedite(now);
    if (!this.#lines.tryAcquire(now)) return;
    log.info({ address, lostMs: Math.round(lostMs) }, 'The path to a runner is back.');
  }

  /** The runner is not silent if another VM reaches it: a direct attempt that begins now tells whether this VM is cut off. */
  #onForwarded(now: number, { address, id }: Destination): void {
    if (this.#table.recordForwarded(now, address)) this.#probeDirect({ address, id });
  }

  #onDirectFailed(
    now: number,
    destination: Destination,
    beganAt: number,
    { message: detail }: Error,
  ): void {
    if (!this.#table.recordLost(now, destination, Math.random(), beganAt)) return;
    const { metrics, log } = this.#context;
    metrics.count('paths.lost');
    this.#lossesInARow += 1;
    if (this.#lossesInARow >= LOSSES_TO_CHECK_ALL) this.#checkAll(now);
    this.#startTimer();
    const { address } = destination;
    if (this.#open.has(address)) this.#probeTunnels(now, destination);
    if (!this.#lines.tryAcquire(now)) return;
    log.info({ address, detail, lost: this.#table.lost.length }, 'Lost the path to a runner.');
  }

  #onAllFailed(now: number, address: string): void {
    const { members, metrics, log } = this.#context;
    if (!this.#forwarders.isExhausted(now, members(), address)) return;
    const isConfirmed = this.#forwarders.isConfirmed(now, members(), address);
    if (!this.#table.recordNotForwarded(address, isConfirmed)) return;
    metrics.count('paths.unreachable');
    if (!this.#lines.tryAcquire(now)) return;
    log.info({ address }, 'No other VM reaches the runner either.');
  }

  /** Checks the paths that have not been used since the losses began, before requests find them lost. */
  #checkAll(now: number): void {
    if (now - this.#checkedAllAt < CHECK_ALL_MS) return;
    this.#checkedAllAt = now;
    const unknown = this.#context
      .runners(now)
      .filter(({ address }) => this.pathTo({ address }) === 'direct')
      .filter(({ address }) => !this.#table.connectedAfter(address, now - CONNECT_TIMEOUT_MS));
    for (const runner of unknown.slice(0, MAX_CHECKED)) this.#probeDirect(runner);
  }

  #tick(now: number): void {
    this.runnersChanged(now);
    this.#probeSilent(now);
    for (const address of this.#table.lost) {
      const lostSince = this.#table.lostSince(address) ?? now;
      const count = this.#open.abandonStalled(now, address, lostSince);
      if (count > 0) this.#context.log.info({ address, count }, 'Gave up stalled connections.');
    }
    for (const destination of this.#table.takeDue(now, MAX_PROBES, Math.random)) {
      this.#probeDirect(destination);
      const { address } = destination;
      const isUndecided = this.#open.has(address) && !this.isCutOff(destination);
      if (isUndecided || !this.reaches(destination)) this.#probeTunnels(now, destination);
    }
    if (this.#table.hasLost || !this.#open.isEmpty) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  /**
   * Probes the paths of connections that are silent, unless others were established meanwhile: a
   * connection that is cut off gives no sign.
   */
  #probeSilent(now: number): void {
    const silent = new Set(this.#open.takeSilent(now));
    if (silent.size === 0) return;
    for (const { address, id } of this.#context.runners(now)) {
      const isKnown = this.#table.connectedAfter(address, now - SILENT_MS);
      if (silent.has(address) && !isKnown && this.pathTo({ address }) === 'direct') {
        this.#probeDirect({ address, id });
      }
    }
  }

  #probeDirect({ address, id }: Destination): void {
    this.#openDirect({ address, id })
      .then((socket) => socket.destroy())
      // The table has the outcome; a loss that is new is logged where it is recorded.
      .catch(() => undefined);
  }

  /** Probes through another VM whether it reaches a runner. */
  #probeTunnels(now: number, { address, id }: Destination): void {
    const target: RunnerTarget = { address, id, request: undefined, mayAbandon: () => true };
    const limit = AbortSignal.timeout(CONNECT_TIMEOUT_MS * 2);
    this.#race(now, target, limit, PROBE_TUNNELS)
      .then(({ socket }) => {
        socket.destroy();
        this.#table.expedite(performance.now());
      })
      // The runner stays out of reach until the next probe.
      .catch(() => undefined);
  }

  /** Share of the runners whose paths are lost. */
  #lostShare(now: number, isLost: (path: Path) => boolean): number {
    if (!this.#table.hasLost) return 0;
    const runners = this.#context.runners(now);
    const lost = runners.filter((runner) => isLost(this.pathTo(runner)));
    return lost.length / Math.max(1, runners.length);
  }
}
