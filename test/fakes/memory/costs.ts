/** Cost model with the true costs of a stand-in engine, to test the planner without estimation errors. */

import type { CostModel } from '../../../src/core/memory/cost';
import { KV_TRANSFER_MS } from './bench';
import type { MemoryFigures } from './engines';

/** Number of concurrent requests for which the time of a token is computed. */
const TYPICAL_BATCH = 8;

/** Takes the costs from the engine's parameters and ignores measurements. */
export class KnownCosts implements CostModel {
  readonly prefillBaseMs: number;

  readonly prefillTokenMs: number;

  readonly firstEventMs: number;

  readonly tokenMs: number;

  readonly minTokenMs: number;

  readonly localPrefillTokenMs: number;

  readonly slowedTokenMs: number;

  constructor(figures: MemoryFigures) {
    this.prefillBaseMs = figures.prefillBaseMs;
    this.prefillTokenMs = 1 / figures.prefillTokensPerMs;
    this.tokenMs = figures.stepMs + figures.stepSlotMs * TYPICAL_BATCH;
    this.minTokenMs = this.tokenMs;
    const chunkMs = (2 * figures.chunkTokens) / figures.prefillTokensPerMs;
    this.slowedTokenMs = this.tokenMs + chunkMs;
    this.localPrefillTokenMs = this.slowedTokenMs / figures.chunkTokens;
    this.firstEventMs = KV_TRANSFER_MS + figures.eventTokens * this.tokenMs;
  }

  isLocalPrefillMeasured(): boolean {
    return true;
  }

  recordPrefill(): void {}

  recordFirstEvent(): void {}

  recordTokenTime(): void {}

  recordLocalPrefill(): void {}

  recordSlowedTokens(): void {}
}
