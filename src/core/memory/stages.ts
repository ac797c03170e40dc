/** Changes of runners between prefill and decode, from what is known of the runners of one service. */

import type { Engine } from '../routing/types';
import type { MemoryAccount } from './account';
import type { StageChange } from './balance';
import { StageBalance } from './balance';
import type { Costs } from './cost';
import type { Learning } from './learning';
import type { StageRules } from './policy';

/** The stages of one service's runners. */
export class Stages {
  readonly #balance: StageBalance;

  readonly #account: MemoryAccount;

  readonly #learning: Learning;

  readonly #costs: Costs;

  constructor(rules: StageRules, account: MemoryAccount, learning: Learning, costs: Costs) {
    this.#balance = new StageBalance(rules);
    this.#account = account;
    this.#learning = learning;
    this.#costs = costs;
  }

  /** Changes that would serve more requests; none while one is under way. */
  changes(now: number, engine: Engine, isIdle: boolean): readonly StageChange[] {
    const { prefill, decode } = this.#account;
    const { sizes, residenceMs } = this.#learning;
    const needs = { ...sizes, residenceMs, readTokenMs: this.#costs.readTokenMs };
    const states = [[...prefill.values()], [...decode.values()]] as const;
    return this.#balance.consider(now, engine, ...states, needs, isIdle);
  }

  /** A runner took an order, or may have: it gets no new work until it is listed in its new stage. */
  ordered(now: number, runner: string, accepted: boolean, engine: Engine | undefined): void {
    const until = this.#balance.ordered(now, runner, accepted, engine);
    const state = this.#account.prefill.get(runner) ?? this.#account.decode.get(runner);
    if (state && accepted) state.avoidUntil = until;
  }
}
