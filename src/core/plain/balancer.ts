/** Selects runners for plain calls by the outstanding calls and results of one gateway. */

import { RunnerHealth } from '../cell/health';

/** A runner for plain calls. */
export interface PlainRunner {
  readonly id: string;
  readonly domain: string;
}

/** Time for which a runner that announced that it leaves receives no calls, in milliseconds; then one call checks it again. */
const LEAVING_MS = 5000;

/** Balances by least outstanding calls; ties go to the own failure domain. */
export class PlainBalancer {
  readonly #domain: string;

  readonly #outstanding = new Map<string, number>();

  readonly #leavingUntil = new Map<string, number>();

  readonly #health = new RunnerHealth();

  #rotation = 0;

  constructor(domain: string) {
    this.#domain = domain;
  }

  /** Selects a runner for one call, excluding those already tried; undefined if none is available. */
  choose<T extends PlainRunner>(
    now: number,
    runners: readonly T[],
    tried: ReadonlySet<string>,
  ): T | undefined {
    this.#health.setPoolSize(runners.length);
    this.#rotation += 1;
    const available = runners.filter(({ id }) => !tried.has(id) && this.#isAvailable(now, id));
    // Rotating the starting point spreads calls over runners that are equally idle.
    const from = this.#rotation % Math.max(1, available.length);
    const rotated = [...available.slice(from), ...available.slice(0, from)];
    const [best] = rotated.sort((a, b) => this.#cost(a) - this.#cost(b));
    if (best) this.#health.recordDispatch(now, best.id);
    return best;
  }

  /** Records the start of a call. */
  begin(runner: string): void {
    this.#outstanding.set(runner, this.#outstandingOf(runner) + 1);
  }

  /** Records the end of a call and its result. */
  end(now: number, runner: string, result: 'ok' | 'lost' | 'leaving' | 'inconclusive'): void {
    this.#outstanding.set(runner, Math.max(0, this.#outstandingOf(runner) - 1));
    if (result === 'ok') this.#health.recordSuccess(runner);
    else if (result === 'lost') this.#health.recordFailure(now, runner);
    else this.#health.recordInconclusive(runner);
    if (result === 'leaving') this.#leavingUntil.set(runner, now + LEAVING_MS);
  }

  #isAvailable(now: number, id: string): boolean {
    return (this.#leavingUntil.get(id) ?? 0) <= now && this.#health.allows(now, id);
  }

  #outstandingOf(runner: string): number {
    return this.#outstanding.get(runner) ?? 0;
  }

  #cost({ id, domain }: PlainRunner): number {
    return this.#outstandingOf(id) + (domain === this.#domain ? 0 : 0.5);
  }
}
