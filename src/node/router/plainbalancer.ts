/** Chooses the runner of a plain request, by what this VM has sent and seen, and by the rate limits that runners name. */

import { setTimeout as pause } from 'node:timers/promises';

import type { RunnerHealth } from '../../core/cell/health';
import { Failure } from '../../core/failure';
import type { Runner } from '../../core/routing/types';
import type { Exchange } from './exchange';
import type { RoutingState } from './routingstate';
import type { PermitController } from './permits';

/** What a choice works with. */
export interface BalancerContext {
  readonly knowledge: RoutingState;
  readonly health: (service: string) => RunnerHealth;
  readonly permits: Pick<
    PermitController,
    'isLimited' | 'mayTake' | 'isTrialDue' | 'ask' | 'askTrial'
  >;
  readonly domain: string;
}

/** What a runner of another failure domain, or one that names a rate limit, counts more than another, in requests in flight. */
const FAR_COST = 0.5;
/** Ties are broken at random within this, in requests in flight: all VMs choose alike. */
const TIE_COST = 0.25;
/** Part of the time left to its aim for which a request may wait for its turn at a limited runner; the rest is for its run. */
const WAIT_PART = 0.5;

/** Requests in flight by runner, and the choice by them. */
export class PlainBalancer {
  readonly #context: BalancerContext;

  readonly #busy = new Map<string, number>();

  constructor(context: BalancerContext) {
    this.#context = context;
  }

  requestStarted({ id }: Runner): void {
    this.#busy.set(id, (this.#busy.get(id) ?? 0) + 1);
  }

  requestEnded({ id }: Runner): void {
    const left = (this.#busy.get(id) ?? 1) - 1;
    if (left > 0) this.#busy.set(id, left);
    else this.#busy.delete(id);
  }

  /** Whether a runner is left that may get a request, as far as this VM knows. */
  hasAlternative(now: number, service: string, tried: readonly string[]): boolean {
    return this.#able(now, service, tried).some((runner) => this.#mayTake(now, runner));
  }

  /**
   * The runner for a request, which has a permit for it where the runner is limited; or why
   * it cannot run now. Default: there is no runner.
   */
  async choose(
    now: number,
    exchange: Exchange,
    tried: readonly string[],
  ): Promise<Runner | Failure | undefined> {
    const { permits } = this.#context;
    const able = this.#able(now, exchange.service, tried);
    const trial = able.find(({ id }) => permits.isTrialDue(now, id));
    if (trial && (await permits.askTrial(exchange.service, trial.id))) return trial;
    const best = this.#leastBusy(able);
    if (!best || !this.#isLimited(best)) return best;
    const free = able.filter((runner) => !this.#isLimited(runner));
    if (free.length === 0) return this.#inTurn(now, exchange, able);
    const permitted = this.#mayTake(now, best) && (await this.#hasPermit(exchange, best));
    return permitted ? best : this.#leastBusy(free);
  }

  /** Runners that are trusted; all if none is. */
  #able(now: number, service: string, tried: readonly string[]): readonly Runner[] {
    const { knowledge, health } = this.#context;
    const all = knowledge.runnersOf(now, service).filter(({ id }) => !tried.includes(id));
    const records = health(service);
    records.setPoolSize(all.length + tried.length);
    const trusted = all.filter(({ id }) => records.allows(now, id));
    return trusted.length > 0 ? trusted : all;
  }

  #leastBusy(runners: readonly Runner[]): Runner | undefined {
    let best: Runner | undefined;
    let bestCost = Infinity;
    for (const runner of runners) {
      const cost = this.#costOf(runner) + Math.random() * TIE_COST;
      if (cost < bestCost) {
        best = runner;
        bestCost = cost;
      }
    }
    return best;
  }

  #costOf(runner: Runner): number {
    const isNear = runner.domain === this.#context.domain && !this.#isLimited(runner);
    return (this.#busy.get(runner.id) ?? 0) + (isNear ? 0 : FAR_COST);
  }

  #isLimited({ id }: Runner): boolean {
    return this.#context.permits.isLimited(id);
  }

  #mayTake(now: number, { id }: Runner): boolean {
    const { permits } = this.#context;
    return !permits.isLimited(id) || permits.mayTake(now, id);
  }

  async #hasPermit({ service }: Exchange, { id }: Runner): Promise<boolean> {
    const permit = await this.#context.permits.ask(service, [id], 0);
    return permit.granted;
  }

  /** All runners name limits: the one whose turn comes first takes it, if that is soon enough. */
  async #inTurn(
    now: number,
    exchange: Exchange,
    runners: readonly Runner[],
  ): Promise<Runner | Failure> {
    const { service, route, arrivedAt, signal } = exchange;
    const mostWaitMs = Math.max(0, arrivedAt + route.aimMs - now) * WAIT_PART;
    const byCost = [...runners].sort((a, b) => this.#costOf(a) - this.#costOf(b));
    const ids = byCost.map(({ id }) => id);
    const permit = await this.#context.permits.ask(service, ids, mostWaitMs);
    const chosen = permit.granted && runners.find(({ id }) => id === permit.runner);
    if (chosen) {
      await pause(permit.waitMs, undefined, { signal }).catch(() => undefined);
      return chosen;
    }
    return new Failure('runnersLimited', `all runners of ${service} take no more for now`, {
      retryAfterMs: permit.granted ? 0 : permit.retryAfterMs,
    });
  }
}
