/**
 * Pauses that runners asked one VM for when they rejected its requests. A pause belongs to one
 * instance of a runner and ends with it, or when its time is over.
 */

interface Entry {
  /** End of the pause. */
  readonly until: number;
  /** When the first request after the pause was sent; undefined before that. */
  probedAt: number | undefined;
}

/** A pause that lasts. */
export interface RunnerBackoff {
  /** Id of the runner's instance. */
  readonly runner: string;
  /** Time for which it wants no more requests, in milliseconds. */
  readonly ms: number;
}

/**
 * Largest share of a pause, and largest time in milliseconds, that is added to it at random: a full
 * runner rejects all VMs at about the same time, and they would all return at the same moment.
 */
const SPREAD_SHARE = 0.2;
const MAX_SPREAD_MS = 1000;
/**
 * Time for which the first request after a pause is the only one if it gets no answer, in
 * milliseconds: the requests that were held back would fill the runner at once again.
 */
const PROBE_MS = 1000;
/** Maximum number of pauses that are kept: more than the largest fleet has runners. */
const MAX_ENTRIES = 10_000;

/** Pauses by the id of the runner's instance. */
export class RunnerBackoffs {
  readonly #entries = new Map<string, Entry>();

  /**
   * Records a pause. Of several the one that ends last holds: each rejection is a wish of its own.
   * @param random uniform in [0, 1)
   * @returns how long this VM keeps to it, in milliseconds
   */
  record(now: number, runner: string, ms: number, random: number): number {
    const spreadMs = Math.min(ms * SPREAD_SHARE, MAX_SPREAD_MS) * random;
    const before = this.#entries.get(runner)?.until ?? 0;
    this.#entries.delete(runner);
    this.#entries.set(runner, {
      until: Math.max(before, now + ms + spreadMs),
      probedAt: undefined,
    });
    const [oldest] = this.#entries.keys();
    if (this.#entries.size > MAX_ENTRIES && oldest !== undefined) this.#entries.delete(oldest);
    return this.remainingMs(now, runner);
  }

  /** Time for which a runner wants no requests, in milliseconds; 0 if it accepts them. */
  remainingMs(now: number, runner: string): number {
    return Math.max(0, (this.#entries.get(runner)?.until ?? 0) - now);
  }

  /** Whether the first request after a pause has no answer yet. */
  isProbing(now: number, runner: string): boolean {
    const { until = Infinity, probedAt } = this.#entries.get(runner) ?? {};
    return now >= until && probedAt !== undefined && now < probedAt + PROBE_MS;
  }

  /** Records a request that is sent to a runner. */
  sent(now: number, runner: string): void {
    const entry = this.#entries.get(runner);
    if (entry && now >= entry.until && !this.isProbing(now, runner)) entry.probedAt = now;
  }

  /** Records an answer that asks for no pause. One to a request from before the pause says nothing. */
  accepted(sentAt: number, runner: string): void {
    const { until = Infinity } = this.#entries.get(runner) ?? {};
    if (sentAt >= until) this.#entries.delete(runner);
  }

  /** The pauses that last. */
  pending(now: number): readonly RunnerBackoff[] {
    return [...this.#entries]
      .map(([runner, { until }]) => ({ runner, ms: until - now }))
      .filter(({ ms }) => ms > 0);
  }
}
