import pino from 'pino';

import { PauseDetector } from '../../src/core/pause';
import { unlimited } from '../../src/core/ratelimits/types';
import type { RoutingConfig } from '../../src/core/routing/types';
import { StoreHistory } from '../../src/core/routing/position';
import { RoutingState } from '../../src/node/router/routingstate';
import { PlannerHost } from '../../src/node/router/plannerhost';
import type { ReservationRequest } from '../../src/node/router/messages';
import type { RunnerClient } from '../../src/node/router/types';
import { at } from '../fakes/position';
import { runnerOf as runner } from '../fakes/runner';
import { silentListener } from '../fakes/listener';

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

/** A host that knows one decode runner with room for eleven and enough prefill runners. */
function hostAt(now: number, onUnsure: (service: string) => void = () => {}): PlannerHost {
  const knowledge = new RoutingState(new StoreHistory(), log, silentListener);
  knowledge.learnConfig(now, config, 'store');
  const runners = [runner('d', 'decode'), ...'12345678'.split('').map((i) => runner(i, 'prefill'))];
  const facts = runners.map((entry) => ({ id: entry.id, position: at(1), runner: entry }));
  knowledge.learnRunners(now, facts, 'store');
  return new PlannerHost(knowledge, {} as RunnerClient, log, {
    onIncompleteState: onUnsure,
    rateAllowanceOf: () => unlimited,
  });
}

/** Places given to a burst at one moment. */
function burst(host: PlannerHost, now: number): number {
  const states = Array.from(
    { length: 20 },
    (_, i) => host.reserve(now, 'vm2', ask(`${now}-${i}`), () => {}).state,
  );
  return states.filter((state) => state === 'granted').length;
}

describe('an owner', () => {
  /*
   * A VM planned a service, stood aside for another one, and is asked again ten
   * seconds later. The other VMs have not told yet what they hold. Filled at once,
   * decode runners that are full would turn requests away after their prefill.
   */
  test('plans cautiously again when it has not been asked for long', () => {
    const now = performance.now();
    const fresh = hostAt(now);
    fresh.onHoldings(now, 'vm2', { service: 's', holdings: [] });
    const asked = burst(fresh, now + 1000);
    const again = hostAt(now);
    again.onHoldings(now, 'vm2', { service: 's', holdings: [] });
    const unheard = burst(again, now + 10_000);
    fresh.stop();
    again.stop();
    expect([asked, unheard]).toEqual([11, 6]);
  });

  /*
   * The VMs tell what they hold every two seconds. An owner that began in between
   * took what runners reported for somebody else's work and refused requests,
   * though half of it were places that it was about to hear of.
   */
  test('has all VMs tell what they hold when it begins and after a silence', () => {
    const now = performance.now();
    const unsure: string[] = [];
    const host = hostAt(now, (service) => unsure.push(service));
    host.reserve(now, 'vm2', ask('first'), () => {});
    host.reserve(now + 1000, 'vm2', ask('second'), () => {});
    expect(unsure).toEqual(['s']);
    host.reserve(now + 10_000, 'vm2', ask('third'), () => {});
    host.stop();
    expect(unsure).toEqual(['s', 's']);
  });
});

describe('a process that watches itself', () => {
  test('notices that it was frozen, suspended with its VM, and nothing else', () => {
    const watch = new PauseDetector(25);
    const ticks = [
      [0, 1000],
      [25, 1025],
      [400, 1400],
      // Frozen: both clocks went on.
      [3000, 4000],
      [3025, 4025],
      // Suspended: the steady clock stood still.
      [3050, 9000],
      // The time of day was set back.
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
