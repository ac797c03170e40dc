/** Requests that wait for a reservation, and their scheduling order. */

import type { Costs } from './cost';
import { prefillMs } from './cost';
import type { OrderRules } from './policy';
import type { QueueEntry, QueueOrder } from './order';
import { RankTurns } from './ranks';
import type { Demand } from './types';

/** Shortest time from a grant to the first event, in milliseconds. */
export function minFirstEventMs(costs: Costs, { promptTokens }: Demand): number {
  return prefillMs(costs, promptTokens) + costs.firstEventMs;
}

/** Share of a decode runner's memory that must stay free in addition to a request. */
export function requiredFreeShare(
  { lateFreeShare }: OrderRules,
  costs: Costs,
  now: number,
  demand: Demand,
): number {
  const late = now + minFirstEventMs(costs, demand) > demand.dueAt;
  return late && !demand.resuming ? lateFreeShare : 0;
}

/** Waiting requests of one service. */
export class WaitingQueue {
  readonly #demands = new Map<string, Demand>();

  readonly #sizeOf: (demand: Demand) => number;

  readonly #costs: Costs;

  readonly #queueOrder: QueueOrder;

  readonly #turns: RankTurns;

  #aged: ReadonlySet<string> = new Set();

  /** Number of waiting requests by customer. */
  readonly #counts = new Map<string | undefined, number>();

  /** @param sizeOf tokens of memory that a request will take */
  constructor(costs: Costs, rules: OrderRules, sizeOf: (demand: Demand) => number) {
    this.#costs = costs;
    this.#queueOrder = rules.createOrder();
    this.#turns = new RankTurns(rules);
    this.#sizeOf = sizeOf;
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#demands.size;
  }

  /** Number of waiting requests by rank. */
  get countsByRank(): Readonly<Record<number, number>> {
    const counts: Record<number, number> = {};
    for (const { rank } of this.#demands.values()) counts[rank] = (counts[rank] ?? 0) + 1;
    return counts;
  }

  /** Order between ranks. */
  get turns(): RankTurns {
    return this.#turns;
  }

  /** Whether the turn of a request in the last order is by age. */
  isAged({ id }: Demand): boolean {
    return this.#aged.has(id);
  }

  /** Whether a request waits. */
  has(id: string): boolean {
    return this.#demands.has(id);
  }

  /** Whether a request of a VM waits. */
  holdsFor(vm: string): boolean {
    return [...this.#demands.values()].some((demand) => demand.vm === vm);
  }

  /** Adds a request. */
  add(demand: Demand): void {
    const count = this.#counts.get(demand.customer) ?? 0;
    if (count === 0) this.#queueOrder.customerQueued(demand);
    this.#counts.set(demand.customer, count + 1);
    this.#demands.set(demand.id, demand);
  }

  /**
   * Removes a request without a charge to its customer's share; does nothing if it does not wait.
   */
  delete(id: string): void {
    const demand = this.#demands.get(id);
    if (!demand) return;
    this.#demands.delete(id);
    const count = (this.#counts.get(demand.customer) ?? 1) - 1;
    if (count > 0) this.#counts.set(demand.customer, count);
    else {
      this.#counts.delete(demand.customer);
      this.#queueOrder.customerDequeued(demand);
    }
  }

  /** Removes a request that got a reservation and charges its customer's share. */
  removeReserved(demand: Demand): void {
    const entry = this.#entryOf(demand);
    this.#queueOrder.reserved(entry);
    this.#turns.reserved(entry);
    this.delete(demand.id);
  }

  /** Removes the requests of a VM that is gone. */
  dropVm(vm: string): void {
    for (const [id, demand] of this.#demands) if (demand.vm === vm) this.delete(id);
  }

  /**
   * All waiting requests in scheduling order: first those that resume an interrupted answer, since
   * their callers see a pause; then those that can still meet their deadline; then late ones, which
   * get the remaining capacity, ordered by rank, then by when their callers disconnect.
   */
  order(now: number): readonly Demand[] {
    const all = [...this.#demands.values()];
    const resuming = all.filter((demand) => demand.resuming);
    const others = all.filter((demand) => !demand.resuming);
    const onTime = others.filter((demand) => this.#isInTime(now, demand));
    const late = others.filter((demand) => !this.#isInTime(now, demand));
    const { entries, aged } = this.#turns.order(
      onTime.map((demand) => this.#entryOf(demand)),
      (own, byAge) => this.#queueOrder.order(own, byAge),
    );
    this.#aged = aged;
    late.sort((a, b) => this.#turns.rankOf(a) - this.#turns.rankOf(b) || a.lostAt - b.lostAt);
    return [...resuming, ...entries.map(({ demand }) => demand), ...late];
  }

  #isInTime(now: number, demand: Demand): boolean {
    return now + minFirstEventMs(this.#costs, demand) <= demand.dueAt;
  }

  #entryOf(demand: Demand): QueueEntry {
    const size = this.#sizeOf(demand);
    const heldMs =
      minFirstEventMs(this.#costs, demand) + (size - demand.promptTokens) * this.#costs.tokenMs;
    return { demand, size, cost: size * heldMs };
  }
}
