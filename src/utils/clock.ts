/** A clock that goes on while the VM is suspended. */

/** By how much the time of day may get ahead of the steady clock between two readings without a suspension, in milliseconds: it is slewed by some parts in a thousand. */
const SLEW_MS = 50;

/** A steady clock that is put forward by what it missed. */
export class BootClock {
  #missedMs = 0;

  #aheadMs: number | undefined;

  /**
   * @param steadyMs steady time, which stands still while the VM is suspended
   * @param wallMs time of day, which goes on; a step of it forward is taken for a suspension, one back for none
   */
  read(steadyMs: number, wallMs: number): number {
    const aheadMs = wallMs - steadyMs;
    const leapMs = aheadMs - (this.#aheadMs ?? aheadMs);
    if (leapMs > SLEW_MS) this.#missedMs += leapMs;
    this.#aheadMs = aheadMs;
    return steadyMs + this.#missedMs;
  }
}

const clock = new BootClock();

/**
 * Milliseconds on a steady clock that never goes slower than time. `performance.now`
 * stands still while the VM is suspended: by it, what a VM had proved before it was
 * suspended looked as young as ever after it. Where the time of day steps forward,
 * proofs look older than they are until the next ones, which costs little.
 */
export function bootNow(): number {
  return clock.read(performance.now(), Date.now());
}
