import { setTimeout as pause } from 'node:timers/promises';

import pino from 'pino';

import { Planner } from '../../src/core/memory/planner';
import { planPolicy } from '../../src/core/memory/policy';
import { unlimited } from '../../src/core/ratelimits/types';
import type { Engine, RoutingConfig } from '../../src/core/routing/types';
import { StoreHistory } from '../../src/core/routing/position';
import type { Decision } from '../../src/node/router/messages';
import { PlannerHost } from '../../src/node/router/plannerhost';
import { RoutingState } from '../../src/node/router/routingstate';
import type { RunnerClient, RunnerReport } from '../../src/node/router/types';
import { demandOf } from '../fakes/demand';
import { noopListener } from '../fakes/listener';
import { positionAt } from '../fakes/position';
import { runnerOf } from '../fakes/runner';

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

/** Time after which a runner would get requests again if only its failure counted, in milliseconds. */
const AFTER_EJECTION_MS = 1000;
/** Time after which a check without an answer counts as missed, in milliseconds, with a margin. */
const AFTER_CHECK_MS = 450;

describe('the owner of a service', () => {
  const decoding = ['d1', 'd2', 'd3'];

  /** Runners that do not answer. */
  const silent = new Set<string>();

  /** Releases the answers that silent runners hold. */
  const held: (() => void)[] = [];

  let host: PlannerHost;

  beforeEach(() => {
    silent.clear();
    const routingState = new RoutingState(new StoreHistory(), log, noopListener);
    routingState.learnConfig(performance.now(), config, 'store');
    const runners = [...decoding.map((id) => runnerOf(id, 'decode')), runnerOf('p', 'prefill')];
    const facts = runners.map((runner) => ({ id: runner.id, position: positionAt(1), runner }));
    routingState.learnRunners(performance.now(), facts, 'store');
    const report = async ({ id }: { readonly id: string }): Promise<RunnerReport> => {
      if (silent.has(id)) {
        await new Promise<void>((resolve) => {
          held.push(resolve);
        });
      }
      return { runner: id, bornAt: 0, leaving: false, usedTokens: 0, runs: [] };
    };
    host = new PlannerHost(routingState, { report } as unknown as RunnerClient, log, {
      onIncompleteState: () => {},
      rateAllowanceOf: () => unlimited,
    });
  });

  afterEach(() => host.stop());

  function reserve(id: string): Decision {
    const request = {
      service: 's',
      id,
      rank: 1,
      promptTokens: 100,
      maxOutputTokens: 100,
      dueInMs: 900,
      gapMs: 300,
      lostInMs: 3600,
      resuming: false,
      avoid: [],
    };
    return host.reserve(performance.now(), 'vm2', request, () => {});
  }

  /** Decode runners that get some requests. */
  function used(round: string): readonly string[] {
    const decisions = Array.from({ length: 9 }, (_, index) => reserve(`${round}${index}`));
    const runners = decisions.map((decision) =>
      decision.state === 'granted' ? decision.decode : decision.state,
    );
    return [...new Set(runners)].sort();
  }

  function fail(blame: string): void {
    reserve('failed');
    host.onProgress(performance.now(), 'vm2', {
      service: 's',
      id: 'failed',
      kind: 'released',
      blame,
    });
  }

  // Guards against requests that are sent to a lost runner again and again, each until a timeout.
  test('uses a runner that failed and does not answer only once it answers again', async () => {
    await pause(AFTER_EJECTION_MS);
    silent.add('d2');
    fail('d2');
    await pause(AFTER_EJECTION_MS);
    const whileSilent = used('silent');
    silent.clear();
    await pause(2 * AFTER_EJECTION_MS);
    expect([whileSilent, used('back')]).toEqual([['d1', 'd3'], decoding]);
  });

  // Guards against sound runners that are held off for a second after they have gone on.
  test('uses a runner at once that was silent for a moment and goes on', async () => {
    await pause(AFTER_EJECTION_MS);
    for (let failures = 0; failures < 3; failures += 1) {
      silent.add('d2');
      fail('d2');
      await pause(AFTER_CHECK_MS);
      const whileSilent = used(`silent${failures}`);
      silent.clear();
      for (const release of held.splice(0)) release();
      await pause(1);
      expect([whileSilent, used(`back${failures}`)]).toEqual([['d1', 'd3'], decoding]);
    }
  });

  // Guards against requests of a VM that lost its path to one runner, which wait while the other one is ejected.
  test('uses a runner that does not answer for a request that avoids all others', () => {
    const planner = new Planner(planPolicy);
    const engine = config.services[0]?.engine as Engine;
    const runners = [runnerOf('p', 'prefill'), runnerOf('d1', 'decode'), runnerOf('d2', 'decode')];
    planner.handle(0, { kind: 'runners', engine, runners });
    planner.handle(1000, { kind: 'silent', runner: 'd2' });
    const demand = demandOf('q', 1001, { avoid: ['d1'] });
    expect(planner.handle(1001, { kind: 'asked', demand })).toEqual([
      { kind: 'grant', id: 'q', grant: { prefill: 'p', decode: 'd2' } },
    ]);
  });

  // Guards against a longer loss of a runner that failed one request and runs.
  test('uses a runner that failed and answers after its ejection', async () => {
    await pause(AFTER_EJECTION_MS);
    fail('d2');
    await pause(AFTER_EJECTION_MS);
    expect(used('later')).toEqual(decoding);
  });
});
