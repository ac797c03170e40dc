/** Changes of runners between prefill and decode, from what is known of the runners of one service. */

import type { Engine } from '../routing/types';
import type { MemoryAccount } from './account';
import type { StageChange } from './balance';
import { StageBalancer } from './balance';
import type { Costs } from './cost';
import type { WorkloadStats } from './stats';
import type { StageRules } from './policy';

/** The stages of one service's runners. */
export class StageController {
  readonly #balance: StageBalancer;

  readonly #account: MemoryAccount;

  readonly #learning: WorkloadStats;

  readonly #costs: Costs;

  constructor(rules: StageRules, account: MemoryAccount, learning: WorkloadStats, costs: Costs) {
    this.#balance = new StageBalancer(rules);
    this.#account = account;
    this.#learning = learning;
    this.#costs = costs;
  }

  /** Changes that would serve more requests; none while one is under way. */
  changes(now: number, engine: Engine, isIdle: boolean): readonly StageChange[] {
    const { prefill, decode } = this.#account;
    const { sizes, residenceMs } = this.#learning;
    const needs = { ...sizes, residenceMs, prefillTokenMs: this.#costs.prefillTokenMs };
    const states = [[...prefill.values()], [...decode.values()]] as const;
    return this.#balance.changes(now, engine, ...states, needs, isIdle);
  }

  /** A runner took an order, or may have: it gets no new work until it is listed in its new stage. */
  recordOrder(now: number, runner: string, accepted: boolean, engine: Engine | undefined): void {
    const until = this.#balance.recordOrder(now, runner, accepted, engine);
    const state = this.#account.prefill.get(runner) ?? this.#account.decode.get(runner);
    if (state && accepted) state.switchingUntil = until;
  }
}
