/** Stage changes of one service's runners between prefill and decode. */

import type { Engine } from '../routing/types';
import type { MemoryAccount } from './account';
import type { StageChange } from './balance';
import { StageBalancer } from './balance';
import type { Costs } from './cost';
import type { WorkloadStats } from './stats';
import type { StageRules } from './policy';

/**
 * Decides on stage changes of one service's runners, and keeps changing runners free of new work.
 */
export class StageController {
  readonly #balance: StageBalancer;

  readonly #account: MemoryAccount;

  readonly #stats: WorkloadStats;

  readonly #costs: Costs;

  constructor(rules: StageRules, account: MemoryAccount, stats: WorkloadStats, costs: Costs) {
    this.#balance = new StageBalancer(rules);
    this.#account = account;
    this.#stats = stats;
    this.#costs = costs;
  }

  /** Stage changes that would serve more requests; empty while one is in progress. */
  changes(now: number, engine: Engine, isIdle: boolean): readonly StageChange[] {
    const { prefill, decode } = this.#account;
    const { sizes, residenceMs } = this.#stats;
    const workload = { ...sizes, residenceMs, prefillTokenMs: this.#costs.prefillTokenMs };
    const states = [[...prefill.values()], [...decode.values()]] as const;
    return this.#balance.changes(now, engine, ...states, workload, isIdle);
  }

  /**
   * Records that a runner accepted an order, or may have. It gets no new work until it is listed in
   * its new stage.
   */
  recordOrder(now: number, runner: string, accepted: boolean, engine: Engine | undefined): void {
    const until = this.#balance.recordOrder(now, runner, accepted, engine);
    const state = this.#account.prefill.get(runner) ?? this.#account.decode.get(runner);
    if (state && accepted) state.switchingUntil = until;
  }
}
