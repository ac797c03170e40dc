/** Requests that wait for a place, and who of them goes first. */

import type { Costs } from './cost';
import { prefillMs } from './cost';
import type { OrderRules } from './policy';
import type { Demand } from './types';

/** Above every key of a request that can still meet its aim. */
const LATE_KEY = 1e9;

/** Least time from a grant to the first event, in milliseconds. */
export function leastMs(costs: Costs, { promptTokens }: Demand): number {
  return prefillMs(costs, promptTokens) + costs.firstEventMs;
}

/** Part of a decode runner's memory that a request has to leave free. */
export function sparePart(
  { lateSpare }: OrderRules,
  costs: Costs,
  now: number,
  demand: Demand,
): number {
  const late = now + leastMs(costs, demand) > demand.dueAt;
  return late && !demand.resuming ? lateSpare : 0;
}

/** Those that missed their aim take what the others leave; whose caller leaves first goes first. */
function lateKey(now: number, { lostAt }: Demand): number {
  return LATE_KEY + Math.max(0, lostAt - now);
}

/** Waiting requests of one service. */
export class WaitingQueue {
  readonly #demands = new Map<string, Demand>();

  readonly #sizeOf: (demand: Demand) => number;

  readonly #costs: Costs;

  /** @param sizeOf tokens of memory that a request will take */
  constructor(costs: Costs, sizeOf: (demand: Demand) => number) {
    this.#costs = costs;
    this.#sizeOf = sizeOf;
  }

  get size(): number {
    return this.#demands.size;
  }

  has(id: string): boolean {
    return this.#demands.has(id);
  }

  /** Whether a request of a VM waits. */
  holdsFor(vm: string): boolean {
    return [...this.#demands.values()].some((demand) => demand.vm === vm);
  }

  add(demand: Demand): void {
    this.#demands.set(demand.id, demand);
  }

  delete(id: string): void {
    this.#demands.delete(id);
  }

  /** Forgets the requests of a VM that is gone. */
  dropVm(vm: string): void {
    for (const [id, demand] of this.#demands) if (demand.vm === vm) this.#demands.delete(id);
  }

  /**
   * Those that can still meet their aim first; among them the small ones, since
   * in an overload they bring the most answers for the memory. Large ones are not
   * starved by that: in an overload of twice the load, the worth of the largest tenth is 0.37.
   */
  order(now: number): readonly Demand[] {
    const keyed = [...this.#demands.values()].map((demand) => ({
      demand,
      key: this.#key(now, demand),
    }));
    keyed.sort((a, b) => a.key - b.key);
    return keyed.map(({ demand }) => demand);
  }

  #key(now: number, demand: Demand): number {
    // Its caller sees a pause in the middle of an answer.
    if (demand.resuming) return 0;
    const inTime = now + leastMs(this.#costs, demand) <= demand.dueAt;
    return inTime ? this.#sizeOf(demand) : lateKey(now, demand);
  }
}
