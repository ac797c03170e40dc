/**
 * Detects repeated attempts of callers. A caller that was refused, or whose answer broke off,
 * retries with a new request id and at any VM, but with the same prompt.
 */

import type { Demand } from './types';

/**
 * Time for which an attempt is remembered, in milliseconds: longer than the time between two
 * attempts that callers' deadlines allow.
 */
const RETENTION_MS = 20_000;

interface Attempt {
  readonly at: number;
  /** Deadline of the first event at the first attempt. */
  readonly dueAt: number;
}

/** Attempts of requests that have no complete answer yet, by prompt. */
export class PreviousAttempts {
  /** In the order of the last attempt. */
  readonly #attempts = new Map<string, Attempt>();

  /**
   * Records an attempt. For a repeated one, returns the request with the deadline of the first
   * attempt. Callers choose their deadlines independently; when the first attempt was guessed from
   * them, two of five attempts looked late before they began and were served last.
   */
  record(now: number, demand: Demand): Demand {
    this.#expire(now);
    const { promptId, dueAt } = demand;
    if (promptId === undefined) return demand;
    const previous = this.#attempts.get(promptId);
    const firstDueAt = Math.min(dueAt, previous?.dueAt ?? dueAt);
    this.#attempts.delete(promptId);
    this.#attempts.set(promptId, { at: now, dueAt: firstDueAt });
    return previous ? { ...demand, dueAt: firstDueAt, returned: true } : demand;
  }

  /**
   * Forgets the attempts of a request that was answered; the same prompt is a new request from now
   * on.
   */
  forget({ promptId }: Demand): void {
    if (promptId !== undefined) this.#attempts.delete(promptId);
  }

  #expire(now: number): void {
    for (const [promptId, { at }] of this.#attempts) {
      if (now - at < RETENTION_MS) return;
      this.#attempts.delete(promptId);
    }
  }
}
