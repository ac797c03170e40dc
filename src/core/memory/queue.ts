/** Requests that wait for a place, and who of them goes first. */

import type { Costs } from './cost';
import { prefillMs } from './cost';
import type { OrderRules } from './policy';
import type { QueueEntry, QueueOrder } from './order';
import type { Demand } from './types';

/** Least time from a grant to the first event, in milliseconds. */
export function minFirstEventMs(costs: Costs, { promptTokens }: Demand): number {
  return prefillMs(costs, promptTokens) + costs.firstEventMs;
}

/** Part of a decode runner's memory that a request has to leave free. */
export function requiredFreeShare(
  { lateFreeShare: lateSpare }: OrderRules,
  costs: Costs,
  now: number,
  demand: Demand,
): number {
  const late = now + minFirstEventMs(costs, demand) > demand.dueAt;
  return late && !demand.resuming ? lateSpare : 0;
}

/** Waiting requests of one service. */
export class WaitingQueue {
  readonly #demands = new Map<string, Demand>();

  readonly #sizeOf: (demand: Demand) => number;

  readonly #costs: Costs;

  readonly #turns: QueueOrder;

  /** Requests that wait, by customer. */
  readonly #counts = new Map<string | undefined, number>();

  /** @param sizeOf tokens of memory that a request will take */
  constructor(costs: Costs, turns: QueueOrder, sizeOf: (demand: Demand) => number) {
    this.#costs = costs;
    this.#turns = turns;
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
    const count = this.#counts.get(demand.customer) ?? 0;
    if (count === 0) this.#turns.customerQueued(demand);
    this.#counts.set(demand.customer, count + 1);
    this.#demands.set(demand.id, demand);
  }

  delete(id: string): void {
    const demand = this.#demands.get(id);
    if (!demand) return;
    this.#demands.delete(id);
    const count = (this.#counts.get(demand.customer) ?? 1) - 1;
    if (count > 0) this.#counts.set(demand.customer, count);
    else {
      this.#counts.delete(demand.customer);
      this.#turns.customerDequeued(demand);
    }
  }

  /** A request has a place: it waits no more, and its customer had its turn. */
  removeReserved(demand: Demand): void {
    this.#turns.reserved(this.#turnOf(demand));
    this.delete(demand.id);
  }

  /** Forgets the requests of a VM that is gone. */
  dropVm(vm: string): void {
    for (const [id, demand] of this.#demands) if (demand.vm === vm) this.delete(id);
  }

  /**
   * Those whose callers would see a pause in the middle of an answer, then those that can
   * still meet their aim, then the others: they take what is left, and whose caller leaves
   * first goes first.
   */
  order(now: number): readonly Demand[] {
    const all = [...this.#demands.values()];
    const resuming = all.filter((demand) => demand.resuming);
    const others = all.filter((demand) => !demand.resuming);
    const inTime = others.filter((demand) => this.#isInTime(now, demand));
    const late = others.filter((demand) => !this.#isInTime(now, demand));
    const turns = this.#turns.order(inTime.map((demand) => this.#turnOf(demand)));
    late.sort((a, b) => a.lostAt - b.lostAt);
    return [...resuming, ...turns.map(({ demand }) => demand), ...late];
  }

  #isInTime(now: number, demand: Demand): boolean {
    return now + minFirstEventMs(this.#costs, demand) <= demand.dueAt;
  }

  #turnOf(demand: Demand): QueueEntry {
    const size = this.#sizeOf(demand);
    const heldMs =
      minFirstEventMs(this.#costs, demand) + (size - demand.promptTokens) * this.#costs.tokenMs;
    return { demand, size, cost: size * heldMs };
  }
}
