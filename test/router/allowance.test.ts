import { Planner } from '../../src/core/memory/planner';
import { planPolicy } from '../../src/core/memory/policy';
import type { Demand, PlanAction } from '../../src/core/memory/types';
import type { QuotaBounds } from '../../src/core/quotas/account';
import { QuotaAccount } from '../../src/core/quotas/account';
import type { RateAllowance } from '../../src/core/ratelimits/types';
import type { Engine, Runner } from '../../src/core/routing/types';
import { LazyMap } from '../../src/utils/lazymap';
import { runnerOf } from '../fakes/runner';

const engine: Engine = {
  slots: 64,
  memoryTokens: 65_000,
  eventTokens: 7,
  keepMs: 500,
  switchMs: undefined,
};
const bounds: QuotaBounds = { windowMs: 4000, overage: 0.5, slack: 5, wholeRuns: true };
const PREFILL_MS = 100;
const RUN_MS = 800;

/** Rate allowances of rate-limited runners, kept by one owner. */
class FixedAllowance implements RateAllowance {
  readonly #rates: Readonly<Record<string, number>>;

  readonly #accounts = new LazyMap<string, QuotaAccount>(() => new QuotaAccount(0, bounds));

  constructor(rates: Readonly<Record<string, number>>) {
    this.#rates = rates;
  }

  ratePerS(runner: string): number | undefined {
    return this.#rates[runner];
  }

  waitMs(now: number, runner: string): number {
    const ratePerS = this.#rates[runner];
    if (ratePerS === undefined) return 0;
    return this.#accounts.get(runner).waitMs(now, { ratePerS, burst: 0 }, 1, 1);
  }

  take(now: number, runner: string): void {
    const ratePerS = this.#rates[runner];
    if (ratePerS === undefined) return;
    this.#accounts.get(runner).take(now, { ratePerS, burst: 0 }, 1, { size: 1 });
  }
}

const demandOf = (id: string, now: number): Demand => ({
  id,
  vm: 'vm1',
  customer: undefined,
  rank: 1,
  promptId: undefined,
  promptTokens: 1000,
  maxOutputTokens: 200,
  hintTokens: undefined,
  dueAt: now + 900,
  gapMs: 0,
  lostAt: now + 3600,
  returned: false,
  resuming: false,
  avoid: [],
});

/** Results of a load. */
class Played {
  /** Number of requests by runner. */
  readonly sent: Record<string, number> = {};

  readonly refusedAfterMs: number[] = [];

  finished = 0;
}

/** Plays a steady load for ten seconds against runners that accept and finish every request. */
function play(
  runners: readonly Runner[],
  rates: Readonly<Record<string, number>>,
  perS: number,
): Played {
  const planner = new Planner(planPolicy, undefined, new FixedAllowance(rates));
  planner.handle(0, { kind: 'runners', engine, runners });
  const played = new Played();
  const due: { readonly at: number; readonly run: (now: number) => void }[] = [];
  const askedAt = new Map<string, number>();
  const send = (runner: string): void => {
    played.sent[runner] = (played.sent[runner] ?? 0) + 1;
  };
  const later = (at: number, run: (now: number) => void): void => {
    due.push({ at, run });
  };
  const perform = (now: number, actions: readonly PlanAction[]): void => {
    for (const action of actions) {
      const { id } = action;
      if (action.kind === 'refuse') played.refusedAfterMs.push(now - (askedAt.get(id) ?? now));
      if (action.kind === 'grant' && action.grant.prefill !== undefined) {
        send(action.grant.prefill);
        later(now + PREFILL_MS, (at) => {
          const ready = { id, ms: PREFILL_MS, unreachable: undefined, shedBy: undefined };
          perform(at, planner.handle(at, { kind: 'prefilled', ...ready }));
        });
      }
      const isDirect = action.kind === 'grant' && action.grant.prefill === undefined;
      if (action.kind === 'bind' || isDirect) {
        send(action.kind === 'bind' ? action.decode : action.grant.decode);
        later(now + RUN_MS, (at) => {
          played.finished += 1;
          perform(at, planner.handle(at, { kind: 'finished', id, outputTokens: 100 }));
        });
      }
    }
  };
  const stepMs = 1000 / perS;
  for (let now = 0; now < 10_000; now += 5) {
    for (const { run } of due.filter(({ at }) => at <= now)) run(now);
    due.splice(0, due.length, ...due.filter(({ at }) => at > now));
    if (now % stepMs < 5) {
      const id = `r${now}`;
      askedAt.set(id, now);
      perform(now, planner.handle(now, { kind: 'asked', demand: demandOf(id, now) }));
    }
    perform(now, planner.handle(now, { kind: 'woke' }));
  }
  return played;
}

const most = (ratePerS: number): number => ratePerS * 10 + 1;

describe('a planner of rate-limited runners', () => {
  test('sends them requests up to their limits and the rest to other runners', () => {
    const runners = [
      runnerOf('p1', 'prefill'),
      runnerOf('p2', 'prefill'),
      runnerOf('d1', 'decode'),
      runnerOf('d2', 'decode'),
    ];
    const { sent, finished, refusedAfterMs } = play(runners, { p1: 2, d1: 1.4 }, 10);
    const { p1, d1 } = sent;
    expect(p1).toBeLessThanOrEqual(most(2));
    expect(d1).toBeLessThanOrEqual(most(1.4));
    expect(finished).toBeGreaterThan(85);
    expect(refusedAfterMs).toEqual([]);
  });

  /*
   * All decode runners have rate limits, and the load exceeds their sum. Their free memory must not
   * make requests wait for nothing.
   */
  test('refuses at once the load above the sum of all limits', () => {
    const runners = [runnerOf('p1', 'prefill'), runnerOf('d1', 'decode'), runnerOf('d2', 'decode')];
    const { sent, finished, refusedAfterMs } = play(runners, { d1: 1.4, d2: 0.5 }, 10);
    const { d1, d2 } = sent;
    expect(d1).toBeLessThanOrEqual(most(1.4));
    expect(d2).toBeLessThanOrEqual(most(0.5));
    expect(finished).toBeGreaterThan(14);
    expect(refusedAfterMs.length).toBeGreaterThan(60);
    const sorted = [...refusedAfterMs].sort((a, b) => a - b);
    expect(sorted[Math.floor(sorted.length / 2)]).toBeLessThan(50);
  });

  /*
   * The only prefill runner has a rate limit; the decode runners have idle memory and prefill the
   * rest.
   */
  test('uses local prefills for prompts above the limit of the prefill runner', () => {
    const runners = [runnerOf('p1', 'prefill'), runnerOf('d1', 'decode'), runnerOf('d2', 'decode')];
    const { sent, finished } = play(runners, { p1: 1 }, 4);
    const { p1 } = sent;
    expect(p1).toBeLessThanOrEqual(most(1));
    expect(finished).toBeGreaterThan(30);
  });
});
