/** Costs of a stand-in engine as they are, for a planner that is told the truth. */

import type { CostModel } from '../../../src/core/memory/cost';
import { KV_TRANSFER_MS } from './bench';
import type { MemoryFigures } from './engines';

/** Requests that run beside each other when the time of a token is taken. */
const USUAL_RUNNING = 8;

/** Knows the figures and learns nothing. */
export class KnownCosts implements CostModel {
  readonly prefillBaseMs: number;

  readonly prefillTokenMs: number;

  readonly firstEventMs: number;

  readonly tokenMs: number;

  readonly minTokenMs: number;

  constructor(figures: MemoryFigures) {
    this.prefillBaseMs = figures.prefillBaseMs;
    this.prefillTokenMs = 1 / figures.prefillTokensPerMs;
    this.tokenMs = figures.stepMs + figures.stepSlotMs * USUAL_RUNNING;
    this.minTokenMs = this.tokenMs;
    this.firstEventMs = KV_TRANSFER_MS + figures.eventTokens * this.tokenMs;
  }

  recordPrefill(): void {}

  recordFirstEvent(): void {}

  recordTokenTime(): void {}
}
