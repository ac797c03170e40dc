/** Requests that were given a place, from the grant to their end. */

import type { Allocation, MemoryAccount, PrefillState } from './account';
import type { Costs } from './cost';
import { addPending } from './cost';
import type { WorkloadStats } from './stats';
import type { Demand, Grant, Holding } from './types';

/** A request and its place. */
export interface Reservation {
  demand: Demand;
  grant: Grant;
  readonly grantedAt: number;
  /** When the prefill was done. */
  prefilledAt: number | undefined;
  /** Whether a decode runner keeps memory for it. */
  isAssigned: boolean;
  /** When it was told its decode runner after the prefill. */
  assignedAt: number | undefined;
}

/** Time after which a VM surely knows of a grant, in milliseconds. */
const GRANT_TRAVEL_MS = 1000;

/** All placed requests of one service; keeps the account of its runners in step. */
export class Reservations {
  readonly #account: MemoryAccount;

  readonly #learning: WorkloadStats;

  readonly #costs: Costs;

  readonly #onChange: () => void;

  readonly #placed = new Map<string, Reservation>();

  /** @param onChange called when the account has changed */
  constructor(account: MemoryAccount, learning: WorkloadStats, costs: Costs, onChange: () => void) {
    this.#account = account;
    this.#learning = learning;
    this.#costs = costs;
    this.#onChange = onChange;
  }

  get size(): number {
    return this.#placed.size;
  }

  get entries(): Iterable<[string, Reservation]> {
    return this.#placed;
  }

  /** Requests whose prefill runs or is kept and that have no decode memory yet. */
  get unassignedCount(): number {
    let count = 0;
    for (const { isAssigned: bound } of this.#placed.values()) if (!bound) count += 1;
    return count;
  }

  get(id: string): Reservation | undefined {
    return this.#placed.get(id);
  }

  /** Whether a request of a VM is placed. */
  holdsFor(vm: string): boolean {
    return [...this.#placed.values()].some(({ demand }) => demand.vm === vm);
  }

  /** @param bound whether a decode runner keeps memory for it from now on */
  add(
    now: number,
    demand: Demand,
    grant: Grant,
    bound: boolean,
    startedAt: number | undefined,
  ): void {
    const readyAt = startedAt === undefined ? undefined : now;
    const placed: Reservation = { demand, grant, grantedAt: now, prefilledAt: readyAt, isAssigned: bound, assignedAt: undefined };
    this.#placed.set(demand.id, placed);
    if (bound) this.#reserve(now, placed, startedAt);
    if (readyAt !== undefined) return;
    const state = this.prefillOf(grant);
    if (state) addPending(this.#costs, now, state, demand.id, demand.promptTokens);
  }

  /** A prefilled request gets memory at a decode runner. */
  assign(now: number, request: Reservation, decode: string): void {
    const placed = request;
    placed.isAssigned = true;
    placed.assignedAt = now;
    placed.grant = { ...placed.grant, decode };
    this.#reserve(now, placed, undefined);
  }

  release(now: number, id: string): void {
    const placed = this.#placed.get(id);
    if (!placed) return;
    this.#onChange();
    this.#placed.delete(id);
    this.prefillOf(placed.grant)?.pending.delete(id);
    this.#account.release(now, placed.grant.decode, id);
  }

  /** Forgets the requests of a VM that is gone. */
  dropVm(now: number, vm: string): void {
    for (const [id, { demand }] of this.#placed) if (demand.vm === vm) this.release(now, id);
  }

  /**
   * What a VM says it holds replaces what is counted for it: a planner that was
   * frozen or cut off would go on counting requests that have long ended.
   * @returns what was not known here
   */
  sync(now: number, vm: string, holdings: readonly Holding[]): readonly Holding[] {
    const held = new Set(holdings.map(({ demand }) => demand.id));
    for (const [id, placed] of this.#placed) {
      const settled = now - placed.grantedAt > GRANT_TRAVEL_MS;
      if (placed.demand.vm === vm && settled && !held.has(id)) this.release(now, id);
    }
    const fresh = holdings.filter(({ demand }) => !this.#placed.has(demand.id));
    for (const { demand, grant, startedAt } of fresh) {
      this.add(now, demand, grant, true, startedAt);
      this.#account.explainReported(now, grant.decode, demand.id);
    }
    return fresh;
  }

  prefillOf({ prefill }: Grant): PrefillState | undefined {
    return prefill === undefined ? undefined : this.#account.prefill.get(prefill);
  }

  /** A request's place on its decode runner. */
  allocationOf(id: string): Allocation | undefined {
    const placed = this.#placed.get(id);
    return placed && this.#account.decode.get(placed.grant.decode)?.allocations.get(id);
  }

  #reserve(now: number, { demand, grant }: Reservation, startedAt: number | undefined): void {
    this.#onChange();
    this.#account.decode.get(grant.decode)?.allocations.set(demand.id, {
      demand,
      grantedAt: now,
      expectedTokens: this.#learning.expectedOutputTokens(demand),
      deviationTokens: this.#learning.deviationTokens(demand),
      startedAt,
      isLocalPrefill: grant.prefill === undefined,
    });
  }
}
