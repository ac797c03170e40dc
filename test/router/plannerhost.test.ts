import pino from 'pino';

import { PauseDetector } from '../../src/core/pause';
import { unlimited } from '../../src/core/ratelimits/types';
import type { RoutingConfig } from '../../src/core/routing/types';
import { StoreHistory } from '../../src/core/routing/position';
import { RoutingState } from '../../src/node/router/routingstate';
import { PlannerHost } from '../../src/node/router/plannerhost';
import type { ReservationRequest } from '../../src/node/router/messages';
import type { RunnerClient } from '../../src/node/router/types';
import { positionAt } from '../fakes/position';
import { runnerOf as runner } from '../fakes/runner';
import { noopListener } from '../fakes/listener';

const log = pino({ level: 'silent' });

const config: RoutingConfig = {
  version: 1,
  routes: [],
  services: [
    {
      name: 's',
      connections: 100,
      engine: { slots: 64, memoryTokens: 65_000, eventTokens: 7, keepMs: 500, switchMs: undefined },
    },
  ],
  limits: { bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

const ask = (id: string): ReservationRequest => ({
  service: 's',
  id,
  rank: 1,
  promptTokens: 5000,
  maxOutputTokens: 1200,
  dueInMs: 900,
  gapMs: 300,
  lostInMs: 3600,
  resuming: false,
  avoid: [],
});

/** A planner host with one decode runner that has memory for eleven requests, and enough prefill runners. */
function hostAt(now: number, onIncompleteState: (service: string) => void = () => {}): PlannerHost {
  const routingState = new RoutingState(new StoreHistory(), log, noopListener);
  routingState.learnConfig(now, config, 'store');
  const runners = [runner('d', 'decode'), ...'12345678'.split('').map((i) => runner(i, 'prefill'))];
  const facts = runners.map((entry) => ({ id: entry.id, position: positionAt(1), runner: entry }));
  routingState.learnRunners(now, facts, 'store');
  return new PlannerHost(routingState, {} as RunnerClient, log, {
    onIncompleteState,
    rateAllowanceOf: () => unlimited,
  });
}

/** Number of reservations granted to a burst of requests at one time. */
function burst(host: PlannerHost, now: number): number {
  const states = Array.from(
    { length: 20 },
    (_, i) => host.reserve(now, 'vm2', ask(`${now}-${i}`), () => {}).state,
  );
  return states.filter((state) => state === 'granted').length;
}

describe('an owner', () => {
  /*
   * A VM planned a service, another VM took over, and ten seconds later the first one receives
   * requests again. The other VMs have not reported their reservations yet. If it filled the decode
   * runners at once, full ones would reject requests after their prefill.
   */
  test('warms up again after a long time without requests', () => {
    const now = performance.now();
    const fresh = hostAt(now);
    fresh.onHoldings(now, 'vm2', { service: 's', holdings: [], backoffs: [] });
    const inService = burst(fresh, now + 1000);
    const again = hostAt(now);
    again.onHoldings(now, 'vm2', { service: 's', holdings: [], backoffs: [] });
    const afterSilence = burst(again, now + 10_000);
    fresh.stop();
    again.stop();
    expect([inService, afterSilence]).toEqual([11, 6]);
  });

  /*
   * The VMs report their reservations every two seconds. Guards against a new owner that takes the
   * memory reported by runners for load from an unknown source and refuses requests, although half
   * of it belongs to reservations that are about to be reported.
   */
  test('requests reports from all VMs when it starts and after a long time without messages', () => {
    const now = performance.now();
    const incomplete: string[] = [];
    const host = hostAt(now, (service) => incomplete.push(service));
    host.reserve(now, 'vm2', ask('first'), () => {});
    host.reserve(now + 1000, 'vm2', ask('second'), () => {});
    expect(incomplete).toEqual(['s']);
    host.reserve(now + 10_000, 'vm2', ask('third'), () => {});
    host.stop();
    expect(incomplete).toEqual(['s', 's']);
  });

  /* Operators could not see which kind of request waits in an overload. */
  test('shows its waiting requests by rank', () => {
    const now = performance.now();
    const host = hostAt(now);
    const states = Array.from({ length: 24 }, (_, i) => {
      const request = { ...ask(`q${i}`), rank: i % 2, dueInMs: 60_000, lostInMs: 60_000 };
      return host.reserve(now + 1000, 'vm2', request, () => {}).state;
    });
    const [plan] = host.snapshot(now + 1000) as readonly { readonly waitingByRank: unknown }[];
    host.stop();
    const waiting = [0, 1].map(
      (rank) => states.filter((state, i) => state === 'waiting' && i % 2 === rank).length,
    );
    expect(plan?.waitingByRank).toEqual({ ...waiting });
    expect(Math.min(...waiting)).toBeGreaterThan(0);
  });
});

describe('pause detection', () => {
  test('detects a stopped process and a suspended VM, and nothing else', () => {
    const watch = new PauseDetector(25);
    const ticks = [
      [0, 1000],
      [25, 1025],
      [400, 1400],
      // Process stopped: both clocks continued.
      [3000, 4000],
      [3025, 4025],
      // VM suspended: the monotonic clock stopped.
      [3050, 9000],
      // The wall clock was set back.
      [3075, 2000],
    ] as const;
    expect(ticks.map(([steady, wall]) => watch.tick(steady, wall))).toEqual([
      false,
      false,
      false,
      true,
      false,
      true,
      false,
    ]);
  });
});
