import { RunnerHealth } from '../../src/core/cell/health';
import { LoadTable } from '../../src/core/plain/loadtable';
import { Failure } from '../../src/core/failure';
import type { Runner } from '../../src/core/routing/types';
import type { RoutingState } from '../../src/node/router/routingstate';
import type { Permit } from '../../src/node/router/permits';
import type { BalancerContext } from '../../src/node/router/plainbalancer';
import { PlainBalancer } from '../../src/node/router/plainbalancer';
import { PlainHandler } from '../../src/node/router/plain';
import type { PlainContext } from '../../src/node/router/plain';
import type { Dispatch } from '../../src/node/router/types';
import { exchangeInto, promptRequest, replyOf, streamRoute } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import {
  directPaths,
  openStateOf,
  retriesOf,
  runsOf,
  unlimitedQuotas,
  unreportedLoads,
} from '../fakes/runs';

const route = { ...streamRoute, kind: 'repeatable' as const, attempts: 2, aimMs: 200 };

/** A context in which some runners are rate-limited; records the permits requested and answers all with the given one. */
class LimitedRunners {
  readonly asked: { readonly runners: readonly string[]; readonly mostWaitMs: number }[] = [];

  /** Runners without permits left, by the state of this VM. */
  readonly full = new Set<string>();

  /** Runners whose rate limit is due for a trial request. */
  readonly trials = new Set<string>();

  readonly #limited: readonly string[];

  readonly #permit: Permit;

  constructor(limited: readonly string[], permit: Permit) {
    this.#limited = limited;
    this.#permit = permit;
  }

  context(runners: readonly Runner[]): BalancerContext {
    const health = new RunnerHealth();
    const permits: BalancerContext['permits'] = {
      isLimited: (runner) => this.#limited.includes(runner),
      mayTake: (_now, runner) => !this.full.has(runner),
      isTrialDue: (_now, runner) => this.trials.has(runner),
      askTrial: async () => this.#permit.granted,
      ask: async (_service, asked, mostWaitMs) => {
        this.asked.push({ runners: asked, mostWaitMs });
        return this.#permit;
      },
    };
    const routingState = openStateOf(runners) as unknown as RoutingState;
    const paths = directPaths;
    const loads = unreportedLoads;
    return { routingState, paths, health: () => health, permits, loads, domain: 'near' };
  }
}

const near = runnerOf('near', 'plain', { domain: 'near' });
const far = runnerOf('far', 'plain', { domain: 'far' });
const refused: Permit = { granted: false, retryAfterMs: 700 };

describe('the choice of a runner for a plain request', () => {
  const exchange = exchangeInto([], promptRequest, route);

  afterAll(() => exchange.end());

  // Guards against a runner that answers errors while its health checks pass.
  test('avoids a runner that fails more requests than the others, where no load is reported', async () => {
    const limited = new LimitedRunners([], refused);
    const failureExcess = (_now: number, _service: string, id: string): number =>
      id === 'near' ? 0.4 : 0;
    const loads = { ...unreportedLoads, failureExcess };
    const balancer = new PlainBalancer({ ...limited.context([near, far]), loads });
    const sound = new PlainBalancer(limited.context([near, far]));
    const now = performance.now();
    expect([
      await balancer.choose(now, exchange, []),
      await sound.choose(now, exchange, []),
    ]).toEqual([far, near]);
  });

  /* A rate-limited runner is idle in the own failure domain. All VMs of that domain would choose it as the cheapest. */
  test('does not prefer a rate-limited runner for its failure domain', async () => {
    const limited = new LimitedRunners(['near'], refused);
    const balancer = new PlainBalancer(limited.context([near, far]));
    const chosen = await Promise.all(
      Array.from({ length: 40 }, () => balancer.choose(0, exchange, [])),
    );
    expect(new Set(chosen)).toEqual(new Set([far]));
    expect(limited.asked.length).toBeLessThan(40);
  });

  test('requests no permit of a runner known to be at its rate limit while there are others', async () => {
    const limited = new LimitedRunners(['near'], refused);
    limited.full.add('near');
    const balancer = new PlainBalancer(limited.context([near, far]));
    for (let i = 0; i < 40; i += 1) {
      expect(await balancer.choose(0, exchange, [])).toBe(far);
    }
    expect(limited.asked).toEqual([]);
  });

  /* All others are idle, so that a runner whose limit was lifted would get no request by which to show it. */
  test('sends a trial request to a rate-limited runner when one is due', async () => {
    const limited = new LimitedRunners(['near'], { granted: true, runner: 'near', waitMs: 0 });
    const balancer = new PlainBalancer(limited.context([near, far]));
    limited.trials.add('near');
    expect(await balancer.choose(0, exchange, [])).toBe(near);
    limited.trials.clear();
    limited.full.add('near');
    expect(await balancer.choose(0, exchange, [])).toBe(far);
  });

  test('requests a permit of any runner where all are rate-limited, and waits up to half of the latency target', async () => {
    const limited = new LimitedRunners(['near', 'far'], {
      granted: true,
      runner: 'far',
      waitMs: 40,
    });
    const balancer = new PlainBalancer(limited.context([near, far]));
    const since = performance.now();
    expect(await balancer.choose(exchange.arrivedAt, exchange, [])).toBe(far);
    expect(performance.now() - since).toBeGreaterThanOrEqual(39);
    expect(limited.asked).toEqual([
      { runners: expect.any(Array), mostWaitMs: expect.closeTo(100) },
    ]);
    expect([...(limited.asked[0]?.runners ?? [])].sort()).toEqual(['far', 'near']);
  });

  /* The owner does not know which runners this VM may use. */
  test('follows the owner of the load table unless that runner was tried or is limited', async () => {
    const limited = new LimitedRunners(['near'], refused);
    const asked: string[] = [];
    const table = new LoadTable();
    const loads: BalancerContext['loads'] = {
      ...unreportedLoads,
      isActive: () => true,
      best: (now, _exchange, candidates) => table.best(now, candidates, 100, () => 0),
      choiceOf: (now, _exchange, runner) => {
        const expected = table.expect(now, runner, 100);
        return { runner, expected, areAllFull: false };
      },
      refresh: async (_now, _exchange, allowed) => {
        asked.push(allowed.map(({ id }) => id).join());
        return 'far';
      },
    };
    const balancer = new PlainBalancer({ ...limited.context([near, far]), loads });
    expect(await balancer.choose(0, exchange, [])).toBe(far);
    expect(await balancer.choose(0, exchange, ['far'])).toBeInstanceOf(Failure);
    expect(asked).toEqual(['far', 'near']);
  });

  test('fails with a retry delay where no permit is granted', async () => {
    const limited = new LimitedRunners(['near', 'far'], refused);
    const balancer = new PlainBalancer(limited.context([near, far]));
    const chosen = await balancer.choose(0, exchange, []);
    expect(chosen).toBeInstanceOf(Failure);
    expect(chosen).toMatchObject({ codeName: 'runnersLimited', retryAfterMs: 700 });
  });
});

describe('a plain request that failed at one runner', () => {
  /* The others are at their rate limits. The caller gets the error response of the runner, not a failure stating that nothing was executed. */
  test('ends with its response where no other runner grants a permit', async () => {
    const limited = new LimitedRunners(['far'], refused);
    const out: string[] = [];
    const exchange = exchangeInto(out, promptRequest, route);
    const context = {
      ...limited.context([near, far]),
      runners: { send: async ({ runner }: Dispatch) => replyOf(500, `of ${runner.id}`) },
      runs: runsOf(),
      paths: directPaths,
      quotas: unlimitedQuotas,
      retries: retriesOf(),
    } as unknown as PlainContext;
    await new PlainHandler(context).run(exchange);
    expect(out).toEqual(['500', 'of near']);
    expect(limited.asked).toHaveLength(1);
  });
});
