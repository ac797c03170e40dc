/** Learnt costs of a service's runners: prefill, transfer and time between tokens. */

import { FittedLine } from './line';
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
  batchWithin(targetMs: number, slots: number): number;
}

/** Prompt length up to which the first guess at prefill cost is spread. */
const GUESS_SPAN_TOKENS = 4000;
/** Batch size up to which the first guess at decode cost is spread. */
const GUESS_SPAN_SLOTS = 20;

/** Costs corrected by every outcome. */
export class LearntCosts implements Costs {
  readonly #prefill: FittedLine;

  readonly #token: FittedLine;

  readonly #linkTokensPerMs: number;

  constructor(policy: CellPolicy) {
    this.#prefill = new FittedLine(policy.prefillBaseMs, policy.prefillTokenMs, GUESS_SPAN_TOKENS);
    this.#token = new FittedLine(policy.decodeBaseMs, policy.decodeSlotMs, GUESS_SPAN_SLOTS);
    this.#linkTokensPerMs = policy.linkTokensPerMs;
  }

  prefillMs(tokens: number): number {
    return this.#prefill.at(tokens);
  }

  transferMs(tokens: number): number {
    return tokens / this.#linkTokensPerMs;
  }

  tokenMs(batch: number): number {
    return this.#token.at(batch);
  }

  batchWithin(targetMs: number, slots: number): number {
    const { base, slope } = this.#token;
    if (slope <= 0) return slots;
    return Math.max(1, Math.min(slots, Math.floor((targetMs - base) / slope + 1e-6)));
  }

  observePrefill(tokens: number, ms: number): void {
    this.#prefill.observe(tokens, ms);
  }

  observeTokens(batch: number, msPerToken: number): void {
    this.#token.observe(batch, msPerToken);
  }
}
