/** Notices that this process stood still: frozen, suspended with its VM, or starved of processor time. */

/** Time above the period that counts as a pause, in milliseconds: longer than a busy turn of the event loop, shorter than the time after which others pass this VM over. */
const PAUSE_MS = 700;

/** Watches a periodic tick. */
export class PauseDetector {
  readonly #periodMs: number;

  #steadyMs: number | undefined;

  #wallMs = 0;

  constructor(periodMs: number) {
    this.#periodMs = periodMs;
  }

  /**
   * Takes one tick; true if the process stood still before it. The steady clock
   * stands still with a suspended VM, so the time of day is looked at too; a jump
   * of it counts as a pause, which costs a moment of caution and nothing else.
   */
  tick(steadyMs: number, wallMs: number): boolean {
    const steadyGap = steadyMs - (this.#steadyMs ?? steadyMs);
    const wallGap = this.#steadyMs === undefined ? 0 : wallMs - this.#wallMs;
    this.#steadyMs = steadyMs;
    this.#wallMs = wallMs;
    return Math.max(steadyGap, wallGap) > this.#periodMs + PAUSE_MS;
  }
}
