/** Detects that this process was paused: frozen, suspended with its VM, or starved of processor time. */

/** Delay of a tick that counts as a pause, in milliseconds: longer than a busy turn of the event loop, shorter than the time after which other VMs stop using this one. */
const PAUSE_MS = 700;

/** Detects pauses by the delay of a periodic tick. */
export class PauseDetector {
  readonly #periodMs: number;

  #steadyMs: number | undefined;

  #wallMs = 0;

  constructor(periodMs: number) {
    this.#periodMs = periodMs;
  }

  /**
   * Records one tick; returns whether the process was paused before it. The monotonic clock
   * stops while a VM is suspended, so the wall clock is checked as well. A jump of the wall
   * clock counts as a pause, which only causes a short warm-up.
   */
  tick(steadyMs: number, wallMs: number): boolean {
    const steadyGap = steadyMs - (this.#steadyMs ?? steadyMs);
    const wallGap = this.#steadyMs === undefined ? 0 : wallMs - this.#wallMs;
    this.#steadyMs = steadyMs;
    this.#wallMs = wallMs;
    return Math.max(steadyGap, wallGap) > this.#periodMs + PAUSE_MS;
  }
}
