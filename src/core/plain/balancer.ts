/** Choice of runners for plain calls, by what one gateway has sent and seen itself. */

import { RunnerHealth } from '../cell/health';

/** A runner of plain calls. */
export interface PlainRunner {
  readonly id: string;
  readonly domain: string;
}

/** A runner that said it leaves gets nothing for this time, in milliseconds; then one call finds out again. */
const LEAVING_MS = 5000;

/** Least outstanding calls first, the nearer failure domain on a tie. */
export class PlainBalancer {
  readonly #domain: string;

  readonly #outstanding = new Map<string, number>();

  readonly #leavingUntil = new Map<string, number>();

  readonly #health = new RunnerHealth();

  #turn = 0;

  constructor(domain: string) {
    this.#domain = domain;
  }

  /** A runner for one call, without those tried already; undefined if none is able. */
  choose<T extends PlainRunner>(
    now: number,
    runners: readonly T[],
    tried: ReadonlySet<string>,
  ): T | undefined {
    this.#health.setPoolSize(runners.length);
    this.#turn += 1;
    const able = runners.filter(({ id }) => !tried.has(id) && this.#able(now, id));
    // Beginning at another one each time spreads calls over runners that are equally idle.
    const from = this.#turn % Math.max(1, able.length);
    const turned = [...able.slice(from), ...able.slice(0, from)];
    const [best] = turned.sort((a, b) => this.#cost(a) - this.#cost(b));
    if (best) this.#health.recordDispatch(now, best.id);
    return best;
  }

  begin(runner: string): void {
    this.#outstanding.set(runner, this.#of(runner) + 1);
  }

  end(now: number, runner: string, result: 'ok' | 'lost' | 'leaving' | 'inconclusive'): void {
    this.#outstanding.set(runner, Math.max(0, this.#of(runner) - 1));
    if (result === 'ok') this.#health.recordSuccess(runner);
    else if (result === 'lost') this.#health.recordFailure(now, runner);
    else this.#health.recordInconclusive(runner);
    if (result === 'leaving') this.#leavingUntil.set(runner, now + LEAVING_MS);
  }

  #able(now: number, id: string): boolean {
    return (this.#leavingUntil.get(id) ?? 0) <= now && this.#health.allows(now, id);
  }

  #of(runner: string): number {
    return this.#outstanding.get(runner) ?? 0;
  }

  #cost({ id, domain }: PlainRunner): number {
    return this.#of(id) + (domain === this.#domain ? 0 : 0.5);
  }
}
