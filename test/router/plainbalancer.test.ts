import { RunnerHealth } from '../../src/core/cell/health';
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
import { noQuotas, runsOf } from '../fakes/runs';

const route = { ...streamRoute, kind: 'repeatable' as const, attempts: 2, aimMs: 200 };

/** A context in which some runners are limited; notes what is asked for and answers as told. */
class Limited {
  readonly asked: { readonly runners: readonly string[]; readonly mostWaitMs: number }[] = [];

  /** Runners that take no more as far as this VM knows. */
  readonly full = new Set<string>();

  /** Runners whose limit is to be looked at. */
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
    const knowledge = { runnersOf: () => runners } as unknown as RoutingState;
    return { knowledge, health: () => health, permits, domain: 'near' };
  }
}

const near = runnerOf('near', 'plain', { domain: 'near' });
const far = runnerOf('far', 'plain', { domain: 'far' });
const refused: Permit = { granted: false, retryAfterMs: 700 };

describe('the choice of a runner for a plain request', () => {
  const exchange = exchangeInto([], promptRequest, route);

  afterAll(() => exchange.end());

  /* A runner in need stands idle in the own failure domain. All VMs beside it would choose it for that. */
  test('takes no limited runner for the near one', async () => {
    const limited = new Limited(['near'], refused);
    const choice = new PlainBalancer(limited.context([near, far]));
    const chosen = await Promise.all(
      Array.from({ length: 40 }, () => choice.choose(0, exchange, [])),
    );
    expect(new Set(chosen)).toEqual(new Set([far]));
    expect(limited.asked.length).toBeLessThan(40);
  });

  test('does not ask for a limited runner that is known to take no more while there are others', async () => {
    const limited = new Limited(['near'], refused);
    limited.full.add('near');
    const choice = new PlainBalancer(limited.context([near, far]));
    for (let i = 0; i < 40; i += 1) {
      expect(await choice.choose(0, exchange, [])).toBe(far);
    }
    expect(limited.asked).toEqual([]);
  });

  /* All others are idle, so that a runner that has recovered would get nothing by which to say so. */
  test('takes a limited runner at times, to see whether it still is', async () => {
    const limited = new Limited(['near'], { granted: true, runner: 'near', waitMs: 0 });
    const choice = new PlainBalancer(limited.context([near, far]));
    limited.trials.add('near');
    expect(await choice.choose(0, exchange, [])).toBe(near);
    limited.trials.clear();
    limited.full.add('near');
    expect(await choice.choose(0, exchange, [])).toBe(far);
  });

  test('asks for all of them where all are limited, and waits for the turn within half of the aim', async () => {
    const limited = new Limited(['near', 'far'], { granted: true, runner: 'far', waitMs: 40 });
    const choice = new PlainBalancer(limited.context([near, far]));
    const since = performance.now();
    expect(await choice.choose(exchange.arrivedAt, exchange, [])).toBe(far);
    expect(performance.now() - since).toBeGreaterThanOrEqual(39);
    expect(limited.asked).toEqual([
      { runners: expect.any(Array), mostWaitMs: expect.closeTo(100) },
    ]);
    expect([...(limited.asked[0]?.runners ?? [])].sort()).toEqual(['far', 'near']);
  });

  test('says when to come back where none takes it', async () => {
    const limited = new Limited(['near', 'far'], refused);
    const choice = new PlainBalancer(limited.context([near, far]));
    const chosen = await choice.choose(0, exchange, []);
    expect(chosen).toBeInstanceOf(Failure);
    expect(chosen).toMatchObject({ codeName: 'runnersLimited', retryAfterMs: 700 });
  });
});

describe('a plain request that failed at one runner', () => {
  /* The others take no more. The caller gets what the runner answered, and not that nothing ran. */
  test('ends with that answer where no other one takes it', async () => {
    const limited = new Limited(['far'], refused);
    const out: string[] = [];
    const exchange = exchangeInto(out, promptRequest, route);
    const context = {
      ...limited.context([near, far]),
      runners: { send: async ({ runner }: Dispatch) => replyOf(500, `of ${runner.id}`) },
      runs: runsOf(),
      quotas: noQuotas,
      mayRepeat: () => true,
    } as unknown as PlainContext;
    await new PlainHandler(context).run(exchange);
    expect(out).toEqual(['500', 'of near']);
    expect(limited.asked).toHaveLength(1);
  });
});
