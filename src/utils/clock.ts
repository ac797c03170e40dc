/** A monotonic clock that includes the time during which the VM is suspended, and the limit of timers. */

/** Longest delay of a timer, in milliseconds; Node takes longer ones for 1 ms. */
export const MAX_TIMER_MS = 2 ** 31 - 1;

/** Advance of the wall clock over the monotonic clock between two readings, in milliseconds, up to which no suspension is assumed. The wall clock may be slewed by a few parts per thousand. */
const MAX_SLEW_MS = 50;

/** Adds the time of suspensions to a monotonic clock that stops during them. */
export class BootClock {
  #suspendedMs = 0;

  #aheadMs: number | undefined;

  /**
   * Time including suspensions, in milliseconds.
   * @param steadyMs monotonic time, which stops while the VM is suspended, in milliseconds
   * @param wallMs wall-clock time, which continues, in milliseconds; a step forward is taken for a suspension, a step back is ignored
   */
  read(steadyMs: number, wallMs: number): number {
    const aheadMs = wallMs - steadyMs;
    const stepMs = aheadMs - (this.#aheadMs ?? aheadMs);
    if (stepMs > MAX_SLEW_MS) this.#suspendedMs += stepMs;
    this.#aheadMs = aheadMs;
    return steadyMs + this.#suspendedMs;
  }
}

const clock = new BootClock();

/**
 * Monotonic time that never runs slower than real time, in milliseconds. `performance.now`
 * stops while the VM is suspended, so a freshness confirmation from before the suspension
 * would look recent afterwards. If the wall clock steps forward, confirmations look older
 * than they are until the next ones, which costs little.
 */
export function bootNow(): number {
  return clock.read(performance.now(), Date.now());
}
