/** Simple placement policies to compare the planner with. */

import type { Demand, PlanAction, PlanEvent } from '../../../src/core/memory/types';
import type { PlacementPolicy } from './bench';

/** Delay after which a caller without a free slot may retry. */
const RETRY_AFTER_MS = 1000;

/** Starts each prefill at once and decodes at the runner with the fewest requests, up to a number of slots for each runner. */
export class SlotPolicy implements PlacementPolicy {
  readonly #slots: number;

  readonly #prefillTokens = new Map<string, number>();

  readonly #decodeRequests = new Map<string, Set<string>>();

  /** @param slots most requests at one decode runner; `Infinity` accepts every request */
  constructor(slots: number) {
    this.#slots = slots;
  }

  handle(_now: number, event: PlanEvent): readonly PlanAction[] {
    if (event.kind === 'runners') {
      event.runners.forEach(({ id, role }) => {
        if (role === 'prefill') this.#prefillTokens.set(id, 0);
        else this.#decodeRequests.set(id, new Set());
      });
    }
    if (event.kind === 'asked') return [this.#place(event.demand)];
    if (event.kind === 'prefilled') return this.#assign(event.id);
    if (event.kind === 'released') this.#decodeRequests.forEach((held) => held.delete(event.id));
    return [];
  }

  #place(demand: Demand): PlanAction {
    const { id, promptTokens } = demand;
    const [decode, held] =
      [...this.#decodeRequests].sort(([, a], [, b]) => a.size - b.size)[0] ?? [];
    const [prefill, assignedTokens = 0] =
      [...this.#prefillTokens].sort(([, a], [, b]) => a - b)[0] ?? [];
    if (decode === undefined || !held || held.size >= this.#slots) {
      const cause = { rank: demand.rank, reason: 'memory' } as const;
      return { kind: 'refuse', id, retryAfterMs: RETRY_AFTER_MS, cause };
    }
    held.add(id);
    if (prefill !== undefined) this.#prefillTokens.set(prefill, assignedTokens + promptTokens);
    return { kind: 'grant', id, grant: { prefill, decode } };
  }

  #assign(id: string): readonly PlanAction[] {
    for (const [decode, held] of this.#decodeRequests) {
      if (held.has(id)) return [{ kind: 'bind', id, decode }];
    }
    return [];
  }
}
