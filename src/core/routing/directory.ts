/**
 * What is known of runners, from the store and from peers.
 *
 * Every fact carries the store's revision of its last change. The highest
 * revision wins, so an older copy from a peer never undoes a newer one.
 */

import type { Runner } from './types';

/** One fact: a runner as of a revision, or that it is gone. */
export interface RunnerFact {
  readonly id: string;
  readonly revision: number;
  readonly runner: Runner | undefined;
}

interface Known {
  fact: RunnerFact;
  /** The last listed form of a runner whose entry vanished, kept while its return is likely. */
  last: Runner | undefined;
  goneAt: number;
}

/** How long gone runners are remembered, so that an old fact cannot bring them back, in milliseconds. */
const FORGET_MS = 60_000;

/** Runners by id. */
export class RunnerDirectory {
  readonly #known = new Map<string, Known>();

  #revision = 0;

  /** Highest revision of a change that matters to routing. */
  get revision(): number {
    return this.#revision;
  }

  get facts(): readonly RunnerFact[] {
    return [...this.#known.values()].map(({ fact }) => fact);
  }

  /**
   * Takes a fact over if it is newer.
   * @param graceMs how long the runner stays in use if its entry vanished, in milliseconds
   * @returns whether anything that matters changed
   */
  learn(now: number, fact: RunnerFact, graceMs: number): boolean {
    const known = this.#known.get(fact.id);
    if (known && known.fact.revision >= fact.revision) return false;
    const before = known?.fact.runner;
    const changed = JSON.stringify(before) !== JSON.stringify(fact.runner);
    const last = fact.runner ?? before ?? known?.last;
    const goneAt = last?.leaving ? now : now + graceMs;
    this.#known.set(fact.id, { fact, last, goneAt: fact.runner ? Infinity : goneAt });
    if (changed) this.#revision = Math.max(this.#revision, fact.revision);
    return changed;
  }

  /** Runners that may get work now. */
  usable(now: number): readonly Runner[] {
    const found: Runner[] = [];
    for (const [id, { fact, last, goneAt }] of this.#known) {
      const runner = fact.runner ?? (now < goneAt ? last : undefined);
      if (runner && !runner.leaving) found.push(runner);
      if (now > goneAt + FORGET_MS) this.#known.delete(id);
    }
    return found;
  }

  /** Ids that the store's full list did not name although they are listed here. */
  missing(listed: ReadonlySet<string>): readonly string[] {
    return [...this.#known.values()]
      .filter(({ fact }) => fact.runner !== undefined && !listed.has(fact.id))
      .map(({ fact }) => fact.id);
  }
}
