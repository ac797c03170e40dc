/** Costs of a stand-in engine as they are, for a planner that is told the truth. */

import type { CostModel } from '../../../src/core/memory/cost';
import { MOVE_MS } from './bench';
import type { MemoryFigures } from './engines';

/** Requests that run beside each other when the time of a token is taken. */
const USUAL_RUNNING = 8;

/** Knows the figures and learns nothing. */
export class KnownCosts implements CostModel {
  readonly readBaseMs: number;

  readonly readTokenMs: number;

  readonly firstEventMs: number;

  readonly tokenMs: number;

  readonly leastTokenMs: number;

  constructor(figures: MemoryFigures) {
    this.readBaseMs = figures.prefillBaseMs;
    this.readTokenMs = 1 / figures.prefillTokensPerMs;
    this.tokenMs = figures.stepMs + figures.stepSlotMs * USUAL_RUNNING;
    this.leastTokenMs = this.tokenMs;
    this.firstEventMs = MOVE_MS + figures.eventTokens * this.tokenMs;
  }

  read(): void {}

  began(): void {}

  made(): void {}
}
