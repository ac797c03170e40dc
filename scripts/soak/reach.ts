/** Checks that VMs that are partitioned from all runners serve their callers about as often as the others. */

import type { CallerAnswer } from './callers';

/** Attempts, and how many were served. */
interface Share {
  attempts: number;
  served: number;
}

/** One partition of a VM. */
interface Cut {
  readonly since: number;
  readonly own: Share;
  /** At the VMs that were not partitioned meanwhile. */
  readonly others: Share;
}

/** What a partition cost callers. */
export interface ReachLoss {
  readonly detail: string;
}

/** Time from the beginning of a partition after which attempts count, in milliseconds. */
const STABLE_MS = 3000;
/** Part of the share served at the other VMs that must be served. */
const MIN_PART = 2 / 3;
/** Attempts that may fail. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_RATIO = 1 / 50;
/** Statuses of attempts that are not to be served: without a valid key, or over a quota. */
export const UNOWED: ReadonlySet<number> = new Set([401, 403, 429]);

/** Partitions by the VM's address. */
export class ReachChecker {
  readonly #cuts = new Map<string, Cut>();

  /** A VM is partitioned from all runners. */
  begin(now: number, vm: string): void {
    this.#cuts.set(vm, {
      since: now,
      own: { attempts: 0, served: 0 },
      others: { attempts: 0, served: 0 },
    });
  }

  /** The partition of a VM ends; returns what it cost if that is too much. */
  end(vm: string): ReachLoss | undefined {
    const cut = this.#cuts.get(vm);
    this.#cuts.delete(vm);
    if (!cut) return undefined;
    const { own, others } = cut;
    const failures = own.attempts - own.served;
    const all = own.attempts + others.attempts;
    const isWorse = own.served * others.attempts < MIN_PART * others.served * own.attempts;
    if (!isWorse || failures <= ALLOWED_FAILURES + all * ALLOWED_FAILURE_RATIO) return undefined;
    const detail = `${vm}: ${own.served} of ${own.attempts} served, at others ${others.served} of ${others.attempts}`;
    return { detail };
  }

  /** Whether a VM is partitioned from all runners. */
  isCut(vm: string): boolean {
    return this.#cuts.has(vm);
  }

  /** Counts an attempt that no other fault affected. */
  answered(sentAt: number, vm: string, { outcome, status }: CallerAnswer): void {
    if (outcome === 'left' || UNOWED.has(status)) return;
    for (const [cutVm, { since, own, others }] of this.#cuts) {
      const isOther = !this.#cuts.has(vm);
      if (sentAt >= since + STABLE_MS && (vm === cutVm || isOther)) {
        const share = vm === cutVm ? own : others;
        share.attempts += 1;
        if (outcome === 'served') share.served += 1;
      }
    }
  }
}
