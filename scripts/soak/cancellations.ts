/** Checks that runners end their work soon after its caller left. */

import type { FaultFamily } from './faults';
import type { Arrival } from './work';
import { runnerIdOf } from './work';
import type { SilenceLog } from './silences';
import { MIN_FAULT_FREE_MS } from './terms';

/** Dependencies of the check. */
export interface CancellationContext {
  readonly report: (promise: string, detail: string) => void;
  /** Time since the last fault of the given families ended, in milliseconds; 0 while one is in progress. */
  readonly faultFreeMs: (...families: readonly FaultFamily[]) => number;
  readonly silences: SilenceLog;
}

/** Time within which a request must be cancelled at its runners after its caller left. */
const CANCELLATION_MS = 700;

/** Requests whose callers left. */
export class CancellationChecker {
  readonly #context: CancellationContext;

  constructor(context: CancellationContext) {
    this.#context = context;
  }

  /**
   * The caller of a request leaves.
   * @param runs its runs in progress, which change
   */
  left(leftAt: number, requestId: string, runs: ReadonlySet<Arrival>): void {
    const timer = setTimeout(
      () => this.#check(Date.now(), leftAt, requestId, runs),
      CANCELLATION_MS,
    );
    timer.unref();
  }

  /** Looks at the runs whose time is over, and again when that of the others is. */
  #check(now: number, leftAt: number, requestId: string, runs: ReadonlySet<Arrival>): void {
    const { faultFreeMs, report } = this.#context;
    if (faultFreeMs('vm', 'runner') < MIN_FAULT_FREE_MS + now - leftAt) return;
    const leftMs = [...runs].map((run) => this.#remainingMs(now, leftAt, run));
    const late = [...runs].filter((_, index) => (leftMs[index] ?? 0) <= 0);
    if (late.length > 0) {
      const runners = late.map(({ instanceId }) => instanceId).join(' ');
      const detail = `${requestId}: still running at ${runners} ${now - leftAt} ms after its caller disconnected`;
      report('gone', detail);
    } else if (leftMs.length > 0) {
      const again = (): void => this.#check(Date.now(), leftAt, requestId, runs);
      setTimeout(again, Math.min(...leftMs)).unref();
    }
  }

  /** Time that a run has left; what the link of its runner held meanwhile does not count against the VM. */
  #remainingMs(now: number, leftAt: number, run: Arrival): number {
    const heldMs = this.#context.silences.heldMs(leftAt, now, runnerIdOf(run));
    // Timers may fire a fraction of a millisecond early.
    return Math.round(leftAt + CANCELLATION_MS + heldMs - now);
  }
}
