/** Reservations of requests, from the grant to the end of the request. */

import type { Allocation, MemoryAccount, PrefillState } from './account';
import type { Costs } from './cost';
import { addPending, localPrefillMs } from './cost';
import type { WorkloadStats } from './stats';
import type { Demand, Grant, Holding } from './types';

/** The reservation of a request. */
export interface Reservation {
  demand: Demand;
  grant: Grant;
  readonly grantedAt: number;
  /** When the prefill was done; undefined if it is not. */
  prefilledAt: number | undefined;
  /** Whether memory is allocated on a decode runner. */
  isAssigned: boolean;
  /** When the decode runner was assigned after the prefill. */
  assignedAt: number | undefined;
}

/** Time after which a VM has received a grant, in milliseconds. */
const GRANT_DELIVERY_MS = 1000;

/** All reservations of one service; keeps the account of its runners consistent with them. */
export class Reservations {
  readonly #account: MemoryAccount;

  readonly #stats: WorkloadStats;

  readonly #costs: Costs;

  readonly #onChange: () => void;

  readonly #reservations = new Map<string, Reservation>();

  /** @param onChange called when the account has changed */
  constructor(account: MemoryAccount, stats: WorkloadStats, costs: Costs, onChange: () => void) {
    this.#account = account;
    this.#stats = stats;
    this.#costs = costs;
    this.#onChange = onChange;
  }

  /** Number of reservations. */
  get size(): number {
    return this.#reservations.size;
  }

  /** All reservations by request id. */
  get entries(): Iterable<[string, Reservation]> {
    return this.#reservations;
  }

  /** Number of reservations whose prefill runs or is kept and that have no decode memory yet. */
  get unassignedCount(): number {
    let count = 0;
    for (const { isAssigned } of this.#reservations.values()) if (!isAssigned) count += 1;
    return count;
  }

  /** The reservation of a request; undefined if it has none. */
  get(id: string): Reservation | undefined {
    return this.#reservations.get(id);
  }

  /** Whether a request of a VM has a reservation. */
  holdsFor(vm: string): boolean {
    return [...this.#reservations.values()].some(({ demand }) => demand.vm === vm);
  }

  /**
   * Adds a reservation.
   * @param isAssigned whether memory is allocated on the decode runner from now on
   */
  add(
    now: number,
    demand: Demand,
    grant: Grant,
    isAssigned: boolean,
    startedAt: number | undefined,
  ): void {
    const prefilledAt = startedAt === undefined ? undefined : now;
    const reservation: Reservation = {
      demand,
      grant,
      grantedAt: now,
      prefilledAt,
      isAssigned,
      assignedAt: undefined,
    };
    this.#reservations.set(demand.id, reservation);
    if (isAssigned) this.#allocate(now, reservation, startedAt);
    if (prefilledAt !== undefined) return;
    const state = this.prefillOf(grant);
    if (state) addPending(this.#costs, now, state, demand.id, demand.promptTokens);
  }

  /** Assigns a decode runner to a prefilled request and allocates memory there. */
  assign(now: number, request: Reservation, decode: string): void {
    const reservation = request;
    reservation.isAssigned = true;
    reservation.assignedAt = now;
    reservation.grant = { ...reservation.grant, decode };
    this.#allocate(now, reservation, undefined);
  }

  /** Releases a reservation and the memory allocated for it; does nothing if there is none. */
  release(now: number, id: string): void {
    const reservation = this.#reservations.get(id);
    if (!reservation) return;
    this.#onChange();
    this.#reservations.delete(id);
    this.prefillOf(reservation.grant)?.pending.delete(id);
    this.#account.release(now, reservation.grant.decode, id);
  }

  /** Releases the reservations of a VM that is gone. */
  dropVm(now: number, vm: string): void {
    for (const [id, { demand }] of this.#reservations) if (demand.vm === vm) this.release(now, id);
  }

  /**
   * Replaces the reservations counted for a VM by those that it reports: a planner that was paused
   * or partitioned would go on counting requests that have long ended.
   * @returns holdings that were not known here
   */
  sync(now: number, vm: string, holdings: readonly Holding[]): readonly Holding[] {
    const held = new Set(holdings.map(({ demand }) => demand.id));
    for (const [id, reservation] of this.#reservations) {
      const isDelivered = now - reservation.grantedAt > GRANT_DELIVERY_MS;
      if (reservation.demand.vm === vm && isDelivered && !held.has(id)) this.release(now, id);
    }
    const unknown = holdings.filter(({ demand }) => !this.#reservations.has(demand.id));
    for (const { demand, grant, startedAt } of unknown) {
      this.add(now, demand, grant, true, startedAt);
      this.#account.explainReported(now, grant.decode, demand.id);
    }
    return unknown;
  }

  /** The prefill runner of a grant; undefined for a local prefill or a runner that is gone. */
  prefillOf({ prefill }: Grant): PrefillState | undefined {
    return prefill === undefined ? undefined : this.#account.prefill.get(prefill);
  }

  /** The allocation of a request on its decode runner. */
  allocationOf(id: string): Allocation | undefined {
    const reservation = this.#reservations.get(id);
    return reservation && this.#account.decode.get(reservation.grant.decode)?.allocations.get(id);
  }

  #allocate(now: number, { demand, grant }: Reservation, startedAt: number | undefined): void {
    this.#onChange();
    this.#account.decode.get(grant.decode)?.allocations.set(demand.id, {
      demand,
      grantedAt: now,
      expectedTokens: this.#stats.expectedOutputTokens(demand),
      deviationTokens: this.#stats.deviationTokens(demand),
      startedAt,
      isLocalPrefill: grant.prefill === undefined,
      localPrefillMs: localPrefillMs(this.#costs, demand.promptTokens),
    });
  }
}
