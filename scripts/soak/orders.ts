/** Checks that no two VMs give orders to runners at the same time. */

import type { Order } from './work';

/** The last order that each runner instance received. */
export class OrderChecker {
  readonly #last = new Map<string, Order>();

  /** A runner receives an order; returns what is wrong with it. */
  ordered(order: Order): readonly string[] {
    const { instanceId: runner, holder, fence } = order;
    const before = this.#last.get(runner);
    this.#last.set(runner, order);
    if (!before) return [];
    const isOlder = fence < before.fence;
    const isShared = before.holder !== holder && fence === before.fence;
    return [
      ...(isOlder
        ? [`${runner}: ${holder} sent an order with fence ${fence} after ${before.fence}`]
        : []),
      ...(isShared ? [`${runner}: ${holder} and ${before.holder} both use fence ${fence}`] : []),
    ];
  }
}
