/** Which runners of one stage may get work of a VM, and in which order they are tried. */

import type { DecodeState, PrefillState } from './account';
import { eligibleOf } from './account';
import type { VmBackoffs } from './backoffs';
import type { EjectionRules } from './policy';
import type { Demand } from './types';

/**
 * Time for which the first request after a pause is the only one at its runner if it does not
 * start, in milliseconds.
 */
const PROBE_MS = 1000;

/** Candidates by ejections and pauses. */
export class RunnerCandidates {
  readonly #rules: EjectionRules;

  readonly #backoffs: VmBackoffs;

  constructor(rules: EjectionRules, backoffs: VmBackoffs) {
    this.#rules = rules;
    this.#backoffs = backoffs;
  }

  /**
   * Runners that may get a request, in groups: those that accept requests of every VM, then those
   * that rejected requests of other VMs and are probably full. Runners that the request avoids do
   * not count: if all others are ejected, it gets one of them, as nothing else can serve it.
   */
  groupsOf<T extends DecodeState | PrefillState>(
    now: number,
    states: ReadonlyMap<string, T>,
    { vm, avoid }: Pick<Demand, 'vm' | 'avoid'>,
  ): readonly (readonly T[])[] {
    const all = [...states.values()];
    const usable =
      avoid.length === 0 ? all : all.filter(({ runner }) => !avoid.includes(runner.id));
    if (this.#backoffs.isEmpty) return [eligibleOf(now, usable, this.#rules)];
    const open = usable.filter(({ runner }) => this.#backoffs.isOpen(now, runner.id, vm));
    const eligible = eligibleOf(now, open, this.#rules);
    const ready = eligible.filter((state) => !this.#isProbing(now, state));
    const isOpenToAll = ({ runner }: T): boolean => this.#backoffs.isOpenToAll(now, runner.id);
    return [ready.filter(isOpenToAll), ready.filter((state) => !isOpenToAll(state))];
  }

  /**
   * Whether a runner that paused has its first request since, which has not started yet. The
   * requests that waited for it would fill it again at once.
   */
  #isProbing(now: number, state: DecodeState | PrefillState): boolean {
    if (!this.#backoffs.isUnconfirmed(now, state.runner.id)) return false;
    if ('pending' in state) return state.pending.size > 0;
    return [...state.allocations.values()].some(
      ({ startedAt, grantedAt }) => startedAt === undefined && now - grantedAt < PROBE_MS,
    );
  }
}
