/** Requests that wait for a place, and who of them goes first. */

import type { Costs } from './cost';
import { prefillMs } from './cost';
import type { OrderRules } from './policy';
import type { Demand } from './types';

/** A request that waits. */
export interface Waiting {
  readonly demand: Demand;
  readonly since: number;
}

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
  readonly #entries = new Map<string, Waiting>();

  readonly #sizeOf: (demand: Demand) => number;

  readonly #costs: Costs;

  readonly #rules: OrderRules;

  /** @param sizeOf tokens of memory that a request will take */
  constructor(rules: OrderRules, costs: Costs, sizeOf: (demand: Demand) => number) {
    this.#rules = rules;
    this.#costs = costs;
    this.#sizeOf = sizeOf;
  }

  get size(): number {
    return this.#entries.size;
  }

  has(id: string): boolean {
    return this.#entries.has(id);
  }

  /** Whether a request of a VM waits. */
  holdsFor(vm: string): boolean {
    return [...this.#entries.values()].some(({ demand }) => demand.vm === vm);
  }

  add(now: number, demand: Demand): void {
    this.#entries.set(demand.id, { demand, since: now });
  }

  delete(id: string): void {
    this.#entries.delete(id);
  }

  /** Forgets the requests of a VM that is gone. */
  dropVm(vm: string): void {
    for (const [id, { demand }] of this.#entries) if (demand.vm === vm) this.#entries.delete(id);
  }

  /**
   * Those that can still meet their aim first; among them the small ones, since
   * in an overload they bring the most answers for the memory; a large one that
   * has waited for most of its time goes before them, so that it is not starved.
   */
  order(now: number): readonly Waiting[] {
    const keyed = [...this.#entries.values()].map((entry) => ({
      entry,
      key: this.#key(now, entry),
    }));
    keyed.sort((a, b) => a.key - b.key);
    return keyed.map(({ entry }) => entry);
  }

  #key(now: number, { demand, since }: Waiting): number {
    // Its caller sees a pause in the middle of an answer.
    if (demand.resuming) return 0;
    const needMs = leastMs(this.#costs, demand);
    const inTime = now + needMs <= demand.dueAt;
    const size = this.#sizeOf(demand);
    if (!inTime) return lateKey(now, demand);
    const slack = Math.max(1, demand.dueAt - needMs - since);
    const aged = (now - since) / slack >= this.#rules.agingPart;
    return aged ? size / 2 : size;
  }
}
