/** Simple policies to hold the planner against. */

import type { Demand, PlanAction, PlanEvent } from '../../../src/core/memory/types';
import type { PlacementPolicy } from './bench';

/** When a caller may come back that found no slot, in milliseconds. */
const RETRY_MS = 1000;

/** Starts each prefill at once and decodes where the fewest requests are; `slots` limits how many. */
export class SlotPolicy implements PlacementPolicy {
  readonly #slots: number;

  readonly #prefills = new Map<string, number>();

  readonly #decodes = new Map<string, Set<string>>();

  /** @param slots most requests at one decode runner; `Infinity` starts whatever comes */
  constructor(slots: number) {
    this.#slots = slots;
  }

  handle(_now: number, event: PlanEvent): readonly PlanAction[] {
    if (event.kind === 'runners') {
      event.runners.forEach(({ id, role }) => {
        if (role === 'prefill') this.#prefills.set(id, 0);
        else this.#decodes.set(id, new Set());
      });
    }
    if (event.kind === 'asked') return [this.#place(event.demand)];
    if (event.kind === 'prefilled') return this.#bind(event.id);
    if (event.kind === 'released') this.#decodes.forEach((held) => held.delete(event.id));
    return [];
  }

  #place(demand: Demand): PlanAction {
    const { id, promptTokens } = demand;
    const [decode, held] = [...this.#decodes].sort(([, a], [, b]) => a.size - b.size)[0] ?? [];
    const [prefill, given = 0] = [...this.#prefills].sort(([, a], [, b]) => a - b)[0] ?? [];
    if (decode === undefined || !held || held.size >= this.#slots) {
      return { kind: 'refuse', id, retryAfterMs: RETRY_MS };
    }
    held.add(id);
    if (prefill !== undefined) this.#prefills.set(prefill, given + promptTokens);
    return { kind: 'grant', id, grant: { prefill, decode } };
  }

  #bind(id: string): readonly PlanAction[] {
    for (const [decode, held] of this.#decodes) {
      if (held.has(id)) return [{ kind: 'bind', id, decode }];
    }
    return [];
  }
}
