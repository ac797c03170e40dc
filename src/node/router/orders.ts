/** Carries out changes of runners' stages: one VM at a time, under a lock with a growing fence. */

import type { Logger } from 'pino';

import { toFailure } from '../../core/failure';
import type { StageChange } from '../../core/memory/balance';
import type { RoutingState } from './routingstate';
import type { PlannerHost } from './plannerhost';
import type { OrderLock, OrderLease, RunnerClient } from './types';

/** What orders work with. */
export interface OrderContext {
  readonly vm: string;
  readonly knowledge: RoutingState;
  readonly planners: PlannerHost;
  readonly runners: RunnerClient;
  readonly lock: OrderLock;
  /** Whether this VM plans the service. */
  readonly owns: (service: string) => boolean;
  /** Time for which holders may not take turns, in milliseconds. */
  readonly leaseMs: number;
  readonly log: Logger;
}

/** Period of looking for changes to make, in milliseconds. */
const PERIOD_MS = 500;
/** Time after the start before which nothing is ordered, in milliseconds: runners and members are still being found. */
const SETTLE_MS = 1500;
/** Wait after the lock was held by another VM or the store failed, in milliseconds. */
const RETRY_MS = 2000;
/** A new holder waits for this many times the lease: the last order of the one before may be that late. */
const TURN_LEASES = 2;

/** Gives orders. */
export class OrderController {
  readonly #context: OrderContext;

  readonly #timer: NodeJS.Timeout;

  readonly #startedAt = performance.now();

  #right: OrderLease | undefined;

  #busy = false;

  /** No order before this time. */
  #notBefore = 0;

  constructor(context: OrderContext) {
    this.#context = context;
    this.#timer = setInterval(() => this.#tick(), PERIOD_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#giveUp();
  }

  /** The right may be lost with the copy, and another VM may have it already; its last order may be as late as any. */
  onStoreRestored(now: number): void {
    const { fence } = this.#right ?? {};
    if (fence !== undefined) this.#context.log.warn({ fence }, 'Gave up the right to orders.');
    this.#right = undefined;
    this.#notBefore = now + this.#turnMs;
  }

  /** Wait of a new holder, in milliseconds. */
  get #turnMs(): number {
    return Math.max(RETRY_MS, TURN_LEASES * this.#context.leaseMs);
  }

  #tick(): void {
    const now = performance.now();
    if (this.#busy || now < this.#notBefore || now - this.#startedAt < SETTLE_MS) return;
    const { planners: host, owns } = this.#context;
    const changes = host.stageChanges(now, owns);
    if (changes.length === 0) {
      this.#giveUp();
      return;
    }
    this.#busy = true;
    this.#carryOut(changes)
      .catch((error) => {
        this.#notBefore = performance.now() + RETRY_MS;
        this.#context.log.warn(toFailure(error).line);
      })
      .finally(() => {
        this.#busy = false;
      });
  }

  async #carryOut(changes: readonly (StageChange & { service: string })[]): Promise<void> {
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
    const waitMs = this.#right && fresh ? 0 : this.#turnMs;
    this.#notBefore = performance.now() + waitMs;
    if (this.#right) log.info({ fence, waitMs }, 'May give orders.');
  }

  /**
   * The lock is renewed right before each order: a process that was suspended
   * does not see by its own clock that its lease has lapsed.
   */
  async #order(
    right: OrderLease,
    change: StageChange & { readonly service: string },
  ): Promise<void> {
    const { planners: host, runners, vm, knowledge, log } = this.#context;
    const now = performance.now();
    const runner = knowledge.runnersOf(now, change.service).find(({ id }) => id === change.runner);
    if (!runner || this.#right !== right) return;
    if (!(await right.renew())) {
      this.#right = undefined;
      this.#notBefore = performance.now() + RETRY_MS;
      log.warn({ fence: right.fence }, 'Lost the right to give orders.');
      return;
    }
    const outcome = await runners.order(runner, change.role, vm, right.fence);
    host.onOrderOutcome(performance.now(), change.service, change.runner, outcome);
    log.info({ ...change, fence: right.fence, outcome }, 'Ordered a change of stage.');
  }

  #giveUp(): void {
    const right = this.#right;
    this.#right = undefined;
    right?.release().catch((error) => this.#context.log.debug(toFailure(error).line));
  }
}
