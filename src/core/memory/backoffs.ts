/** Pauses that the runners of one service asked single VMs for, as their planner knows them. */

/** When a VM may send requests to the decode runners again. */
export interface VmAccess {
  /** Share of the decode runners that accept requests of the VM. */
  readonly openShare: number;
  /** Time until the first of them does, in milliseconds. */
  readonly openInMs: number;
}

/** Access to runners none of which asked for a pause. */
const FULL_ACCESS: VmAccess = { openShare: 1, openInMs: 0 };

/** Ends of the pauses by runner and VM. */
export class VmBackoffs {
  readonly #byRunner = new Map<string, Map<string, number>>();

  /** Whether no pause is known. */
  get isEmpty(): boolean {
    return this.#byRunner.size === 0;
  }

  /** Records until when a runner wants no requests of a VM. */
  record(vm: string, runner: string, until: number): void {
    const byVm = this.#byRunner.get(runner) ?? new Map<string, number>();
    byVm.set(vm, Math.max(until, byVm.get(vm) ?? 0));
    this.#byRunner.set(runner, byVm);
  }

  /** Time until a runner accepts requests of a VM, in milliseconds; 0 if it does. */
  remainingMs(now: number, runner: string, vm: string): number {
    return Math.max(0, (this.#byRunner.get(runner)?.get(vm) ?? 0) - now);
  }

  /** Whether a runner accepts requests of a VM. */
  isOpen(now: number, runner: string, vm: string): boolean {
    return this.remainingMs(now, runner, vm) === 0;
  }

  /** Whether a runner accepts requests of every VM. */
  isOpenToAll(now: number, runner: string): boolean {
    for (const until of this.#byRunner.get(runner)?.values() ?? []) if (until > now) return false;
    return true;
  }

  /** How far some runners are open to a VM. */
  accessOf(now: number, runners: Iterable<string>, vm: string): VmAccess {
    if (this.isEmpty) return FULL_ACCESS;
    const waitsMs = [...runners].map((runner) => this.remainingMs(now, runner, vm));
    if (waitsMs.length === 0) return FULL_ACCESS;
    const open = waitsMs.filter((waitMs) => waitMs === 0);
    return { openShare: open.length / waitsMs.length, openInMs: Math.min(...waitsMs) };
  }

  /** Drops the pauses that are over, and those of runners that are gone. */
  prune(now: number, isListed: (runner: string) => boolean): void {
    for (const [runner, byVm] of this.#byRunner) {
      for (const [vm, until] of byVm) if (until <= now) byVm.delete(vm);
      if (byVm.size === 0 || !isListed(runner)) this.#byRunner.delete(runner);
    }
  }
}
