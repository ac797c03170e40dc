/** Orders stage changes of runners: by one VM at a time, under a lock with an increasing fencing token. */

import type { Logger } from 'pino';

import { toFailure } from '../../core/failure';
import type { StageChange } from '../../core/memory/balance';
import type { RoutingState } from './routingstate';
import type { PlannerHost } from './plannerhost';
import type { OrderLock, OrderLease, RunnerClient, RunnerPaths } from './types';

/** Dependencies of the controller. */
export interface OrderContext {
  readonly vm: string;
  readonly routingState: RoutingState;
  readonly planners: PlannerHost;
  readonly runners: RunnerClient;
  readonly paths: Pick<RunnerPaths, 'pathTo'>;
  readonly lock: OrderLock;
  /** Whether this VM plans the service. */
  readonly owns: (service: string) => boolean;
  /** Shortest time between two holders of the lock, in milliseconds. */
  readonly leaseMs: number;
  readonly log: Logger;
}

/** Period of checking for stage changes. */
const PERIOD_MS = 500;
/** Delay after the start before the first order: runners and members are still being discovered. */
const STARTUP_DELAY_MS = 1500;
/** Wait after the lock was held by another VM or the store failed. */
const RETRY_MS = 2000;
/** A new holder waits for this many leases, since the last order of the previous holder may arrive that late. */
const HANDOVER_LEASES = 2;

/** Orders stage changes of runners while this VM holds the lock. */
export class OrderController {
  readonly #context: OrderContext;

  readonly #timer: NodeJS.Timeout;

  readonly #startedAt = performance.now();

  #right: OrderLease | undefined;

  #busy = false;

  /** No order is sent before this time. */
  #notBefore = 0;

  constructor(context: OrderContext) {
    this.#context = context;
    this.#timer = setInterval(() => this.#tick(), PERIOD_MS);
  }

  /** Stops sending orders and releases the lock. */
  stop(): void {
    clearInterval(this.#timer);
    this.#release();
  }

  /** The restored copy may lack the lock, and another VM may hold it by now: gives the lock up and waits as a new holder does, for that VM's last order may arrive late. */
  onStoreRestored(now: number): void {
    const { fence } = this.#right ?? {};
    if (fence !== undefined) this.#context.log.warn({ fence }, 'Dropped the order lock.');
    this.#right = undefined;
    this.#notBefore = now + this.#handoverMs;
  }

  /** Wait of a new holder before its first order, in milliseconds. */
  get #handoverMs(): number {
    return Math.max(RETRY_MS, HANDOVER_LEASES * this.#context.leaseMs);
  }

  #tick(): void {
    const now = performance.now();
    if (this.#busy || now < this.#notBefore || now - this.#startedAt < STARTUP_DELAY_MS) return;
    const { planners, owns } = this.#context;
    const changes = planners.stageChanges(now, owns);
    if (changes.length === 0) {
      this.#release();
      return;
    }
    this.#busy = true;
    this.#apply(changes)
      .catch((error) => {
        this.#notBefore = performance.now() + RETRY_MS;
        this.#context.log.warn(toFailure(error).line);
      })
      .finally(() => {
        this.#busy = false;
      });
  }

  async #apply(changes: readonly (StageChange & { service: string })[]): Promise<void> {
    if (!this.#right) {
      await this.#acquire();
      return;
    }
    for (const change of changes) await this.#order(this.#right, change);
  }

  async #acquire(): Promise<void> {
    const { lock, log } = this.#context;
    this.#right = await lock.acquire();
    const { fence, fresh } = this.#right ?? {};
    const waitMs = this.#right && fresh ? 0 : this.#handoverMs;
    this.#notBefore = performance.now() + waitMs;
    if (this.#right) log.info({ fence, waitMs }, 'Acquired the order lock.');
  }

  /**
   * Sends one order. The lock is renewed right before it: a process that was suspended cannot see
   * from its own clock that its lease has expired.
   */
  async #order(
    right: OrderLease,
    change: StageChange & { readonly service: string },
  ): Promise<void> {
    const { planners, runners, paths, vm, routingState, log } = this.#context;
    const now = performance.now();
    const runner = routingState
      .openRunnersOf(now, change.service)
      .find(({ id }) => id === change.runner);
    if (!runner || this.#right !== right) return;
    // An order through another VM would be one of another holder to the runner.
    if (paths.pathTo(runner) !== 'direct') return;
    if (!(await right.renew())) {
      this.#right = undefined;
      this.#notBefore = performance.now() + RETRY_MS;
      log.warn({ fence: right.fence }, 'Lost the order lock.');
      return;
    }
    const outcome = await runners.order(runner, change.role, vm, right.fence);
    if (outcome === 'leaving') routingState.learnLeaving(performance.now(), runner, 'order');
    planners.onOrderOutcome(performance.now(), change.service, change.runner, outcome);
    log.info({ ...change, fence: right.fence, outcome }, 'Ordered a stage change.');
  }

  #release(): void {
    const right = this.#right;
    this.#right = undefined;
    right?.release().catch((error) => this.#context.log.debug(toFailure(error).line));
  }
}
