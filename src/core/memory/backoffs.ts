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

/** Ends of the pauses by runner and VM. A runner is kept until it has accepted a request after them. */
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

  /** Records that a runner accepted a request; during a pause that says nothing of the next one. */
  accepted(now: number, runner: string): void {
    if (this.isOpenToAll(now, runner)) this.#byRunner.delete(runner);
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

  /** Whether the pauses of a runner are over and it has accepted no request since. */
  isUnconfirmed(now: number, runner: string): boolean {
    return this.#byRunner.has(runner) && this.isOpenToAll(now, runner);
  }

  /** How far some runners are open to a VM. */
  accessOf(now: number, runners: Iterable<string>, vm: string): VmAccess {
    if (this.isEmpty) return FULL_ACCESS;
    const waitsMs = [...runners].map((runner) => this.remainingMs(now, runner, vm));
    if (waitsMs.length === 0) return FULL_ACCESS;
    const open = waitsMs.filter((waitMs) => waitMs === 0);
    return { openShare: open.length / waitsMs.length, openInMs: Math.min(...waitsMs) };
  }

  /** Drops the pauses of runners that are gone. */
  retain(isListed: (runner: string) => boolean): void {
    for (const runner of this.#byRunner.keys()) {
      if (!isListed(runner)) this.#byRunner.delete(runner);
    }
  }
}
