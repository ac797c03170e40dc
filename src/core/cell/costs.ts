/** Learnt costs of a service's runners: prefill, transfer and time between tokens. */

import { LinearCost } from './linear';
import type { CellPolicy } from './types';

/** Read-only view of the costs. */
export interface Costs {
  /** Milliseconds to prefill this many tokens that are not cached. */
  prefillMs(tokens: number): number;
  /** Milliseconds to move the KV cache of this many tokens over an idle link. */
  transferMs(tokens: number): number;
  /** Milliseconds between tokens in a batch of this size. */
  tokenMs(batch: number): number;
  /** Largest batch whose time between tokens stays within the target. */
  maxBatchWithin(targetMs: number, slots: number): number;
}

/** Keeps a batch that just meets the target from losing a place to rounding. */
const ROUNDING = 1e-6;

/** Costs corrected by every outcome. */
export class LearntCosts implements Costs {
  readonly #prefill: LinearCost;

  readonly #token: LinearCost;

  readonly #linkTokensPerMs: number;

  constructor(policy: CellPolicy) {
    this.#prefill = new LinearCost(policy.prefillBaseMs, policy.prefillTokenMs);
    this.#token = new LinearCost(policy.decodeBaseMs, policy.decodeSlotMs);
    this.#linkTokensPerMs = policy.linkTokensPerMs;
  }

  prefillMs(tokens: number): number {
    return this.#prefill.estimate(tokens);
  }

  transferMs(tokens: number): number {
    return tokens / this.#linkTokensPerMs;
  }

  tokenMs(batch: number): number {
    return this.#token.estimate(batch);
  }

  maxBatchWithin(targetMs: number, slots: number): number {
    const batch = Math.floor(this.#token.maxSizeWithin(targetMs) + ROUNDING);
    return Math.max(1, Math.min(slots, batch));
  }

  observePrefill(tokens: number, ms: number): void {
    this.#prefill.observe(tokens, ms);
  }

  observeTokens(batch: number, msPerToken: number): void {
    this.#token.observe(batch, msPerToken);
  }
}
