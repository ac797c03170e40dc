/** Stage changes of one service's runners between prefill and decode. */

import type { Engine } from '../routing/types';
import type { MemoryAccount } from './account';
import type { StageChange } from './balance';
import { StageBalance } from './balance';
import type { Costs } from './cost';
import type { Learning } from './learning';
import type { StageRules } from './policy';

/**
 * Decides on stage changes of one service's runners, and keeps changing runners free of new work.
 */
export class Stages {
  readonly #balance: StageBalance;

  readonly #account: MemoryAccount;

  readonly #stats: Learning;

  readonly #costs: Costs;

  constructor(rules: StageRules, account: MemoryAccount, stats: Learning, costs: Costs) {
    this.#balance = new StageBalance(rules);
    this.#account = account;
    this.#stats = stats;
    this.#costs = costs;
  }

  /** Stage changes that would serve more requests; empty while one is in progress. */
  changes(now: number, engine: Engine, isIdle: boolean): readonly StageChange[] {
    const { prefill, decode } = this.#account;
    const { sizes, residenceMs } = this.#stats;
    const needs = { ...sizes, residenceMs, readTokenMs: this.#costs.readTokenMs };
    const states = [[...prefill.values()], [...decode.values()]] as const;
    return this.#balance.consider(now, engine, ...states, needs, isIdle);
  }

  /**
   * Records that a runner accepted an order, or may have. It gets no new work until it is listed in
   * its new stage.
   */
  ordered(now: number, runner: string, accepted: boolean, engine: Engine | undefined): void {
    const until = this.#balance.ordered(now, runner, accepted, engine);
    const state = this.#account.prefill.get(runner) ?? this.#account.decode.get(runner);
    if (state && accepted) state.avoidUntil = until;
  }
}
