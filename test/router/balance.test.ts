import type { DecodeState, PrefillState } from '../../src/core/memory/account';
import { StageBalancer } from '../../src/core/memory/balance';
import { planPolicy } from '../../src/core/memory/policy';
import type { Runner } from '../../src/core/routing/types';

const engine = { slots: 64, memoryTokens: 65_000, eventTokens: 7, keepMs: 500, switchMs: 6000 };
const workload = {
  promptTokens: 5200,
  prefillTokenMs: 0.018,
  outputTokens: 480,
  residenceMs: 3500,
};

const states = (prefix: string, count: number): readonly never[] =>
  Array.from({ length: count }, (_, i) => {
    const runner = { id: `${prefix}${i}` } as Runner;
    const state: Partial<DecodeState & PrefillState> = {
      runner,
      allocations: new Map(),
      pending: new Map(),
      slowness: 1,
    };
    return state as never;
  });

const changes = (balance: StageBalancer, now: number, prefill: number, decode: number): number =>
  balance.changes(now, engine, states('p', prefill), states('d', decode), workload, true).length;

describe('the balance of stages at the start', () => {
  /*
   * Runners register one after the other. The first two known are one of each
   * stage, and a decode runner was ordered to prefill; with all six known there
   * were four prefill runners and two to decode, for the rest of the day.
   */
  test('waits until no more runners turn up', () => {
    const balance = new StageBalancer(planPolicy.stages);
    expect(changes(balance, 0, 1, 2)).toBe(0);
    expect(changes(balance, 500, 1, 2)).toBe(0);
    expect(changes(balance, 1000, 3, 3)).toBe(0);
    expect(changes(balance, 3400, 3, 3)).toBe(0);
    expect(changes(balance, 3600, 3, 3)).toBe(1);
  });
});
