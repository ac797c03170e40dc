/**
 * Knows callers that come back. A caller that was refused, or whose answer broke
 * off, asks again under a new request id and at any VM; its prompt is the same.
 */

import type { Demand } from './types';

/** Time for which a try is remembered, in milliseconds: longer than callers' deadlines leave between two tries. */
const REMEMBER_MS = 20_000;

interface Try {
  readonly at: number;
  /** When the first event was due at the first of the tries. */
  readonly dueAt: number;
}

/** Tries of requests that have no whole answer yet, by prompt. */
export class PreviousAttempts {
  /** In the order in which they were made. */
  readonly #tries = new Map<string, Try>();

  /**
   * Takes note of a try, and tells what is due if the caller came back: its time
   * runs from its first try. Guessed from deadlines, which callers draw by
   * themselves, two of five tries looked late before they began and were served last.
   */
  record(now: number, demand: Demand): Demand {
    this.#expire(now);
    const { promptId, dueAt } = demand;
    if (promptId === undefined) return demand;
    const earlier = this.#tries.get(promptId);
    const first = Math.min(dueAt, earlier?.dueAt ?? dueAt);
    this.#tries.delete(promptId);
    this.#tries.set(promptId, { at: now, dueAt: first });
    return earlier ? { ...demand, dueAt: first, returned: true } : demand;
  }

  /** The caller has its answer; the same prompt is another request from now on. */
  forget({ promptId }: Demand): void {
    if (promptId !== undefined) this.#tries.delete(promptId);
  }

  #expire(now: number): void {
    for (const [promptId, { at }] of this.#tries) {
      if (now - at < REMEMBER_MS) return;
      this.#tries.delete(promptId);
    }
  }
}
