import { Failure } from '../../src/core/failure';
import { Planner } from '../../src/core/memory/planner';
import { planPolicy } from '../../src/core/memory/policy';
import type { Demand, PlanAction } from '../../src/core/memory/types';
import { fromWireDemand, toWireDemand } from '../../src/node/router/messages';
import type { LocalDemand } from '../../src/node/router/messages';
import type { ModelContext } from '../../src/node/router/model';
import { ModelHandler } from '../../src/node/router/model';
import { demandOf } from '../fakes/demand';
import { exchangeInto, promptRequest, replyOf, streamEngine, streamRoute } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import {
  directPaths,
  openStateOf,
  retriesOf,
  runsOf,
  unlimitedPermits,
  unlimitedQuotas,
  unrecordedOrigins,
} from '../fakes/runs';

const runners = [runnerOf('p1', 'prefill'), runnerOf('d1', 'decode'), runnerOf('d2', 'decode')];

function plannerOf(): Planner {
  const planner = new Planner(planPolicy);
  planner.handle(0, { kind: 'runners', engine: streamEngine, runners });
  return planner;
}

function ask(planner: Planner, change: Partial<Demand>): readonly PlanAction[] {
  return planner.handle(1, { kind: 'asked', demand: demandOf('q', 1, change) });
}

describe('a request of a VM that reaches no prefill runner', () => {
  // Guards against requests that wait for a prefill runner until their callers leave.
  test('is prefilled by its decode runner, however long that takes', () => {
    const change = { promptTokens: 40_000, avoid: ['p1'] };
    expect(ask(plannerOf(), change)).toEqual([
      { kind: 'grant', id: 'q', grant: { prefill: undefined, decode: 'd1' } },
    ]);
  });
});

describe('a request that may be sent to one more runner only', () => {
  test('is planned without a prefill runner', () => {
    expect(ask(plannerOf(), { prefillsLocally: true })).toEqual([
      { kind: 'grant', id: 'q', grant: { prefill: undefined, decode: 'd1' } },
    ]);
  });

  // Guards against streams that pause for the prompt of another one's retry.
  test('is refused at once if the prompt would delay other streams', () => {
    const planner = plannerOf();
    ['a', 'b'].forEach((id) => {
      planner.handle(0, { kind: 'asked', demand: demandOf(id, 0, { gapMs: 10 }) });
    });
    const [refusal] = ask(planner, { prefillsLocally: true });
    expect(refusal).toMatchObject({ kind: 'refuse', id: 'q' });
    expect(planner.waiting).toBe(0);
  });

  // Guards against the loss of all but a few streams of a runner that lost power.
  test('waits for the local prefills of other streams if it continues one', () => {
    const planner = plannerOf();
    const change = { prefillsLocally: true, resuming: true };
    const [first, second, third] = ['a', 'b', 'c'].map((id) =>
      planner.handle(0, { kind: 'asked', demand: demandOf(id, 0, change) }),
    );
    expect([first, second]).toMatchObject([[{ kind: 'grant' }], [{ kind: 'grant' }]]);
    expect(third).toEqual([]);
    expect(planner.waiting).toBe(1);
    const actions = planner.handle(20, { kind: 'started', id: 'a' });
    expect(actions).toMatchObject([{ kind: 'grant', id: 'c' }]);
  });

  /** A planner whose decode runners have no free slot. */
  function fullPlannerOf(change: Partial<Demand>): Planner {
    const planner = new Planner(planPolicy);
    const engine = { ...streamEngine, slots: 2 };
    planner.handle(0, { kind: 'runners', engine, runners });
    ['a', 'b', 'c', 'd'].forEach((id) => {
      const demand = demandOf(id, 0, { promptTokens: 100, ...change });
      planner.handle(0, { kind: 'asked', demand });
      planner.handle(0, {
        kind: 'prefilled',
        id,
        ms: 1,
        unreachable: undefined,
        shedBy: undefined,
      });
      planner.handle(0, { kind: 'started', id });
    });
    return planner;
  }

  // Guards against streams of a lost runner that are cut while all slots of the others are taken.
  test('waits for a free slot if it continues a stream', () => {
    const planner = fullPlannerOf({});
    const change = { prefillsLocally: true, resuming: true, promptTokens: 100 };
    expect(ask(planner, change)).toEqual([]);
    expect(planner.handle(20, { kind: 'finished', id: 'a', outputTokens: 100 })).toMatchObject([
      { kind: 'grant', id: 'q', grant: { prefill: undefined } },
    ]);
  });

  test('is refused although it continues a stream if no free slot lets a runner prefill it', () => {
    const planner = fullPlannerOf({ gapMs: 10 });
    const change = { prefillsLocally: true, resuming: true, promptTokens: 100 };
    expect(ask(planner, change)).toMatchObject([{ kind: 'refuse', id: 'q' }]);
  });

  test('tells the owner so', () => {
    const { vm, returned, ...sent } = demandOf('q', 0, { prefillsLocally: true });
    expect(fromWireDemand(0, vm, toWireDemand(0, sent))).toEqual({ ...sent, vm, returned });
  });

  // Guards against prefills after which no repeat is left for the run.
  test.each([
    [0, [undefined]],
    [1, [undefined, true]],
    [2, [undefined, undefined]],
  ])(
    'asks for a runner that prefills it itself, with %d repeats left',
    async (repeats, expected) => {
      const asked: LocalDemand[] = [];
      const context = {
        routingState: openStateOf(runners),
        paths: directPaths,
        quotas: unlimitedQuotas,
        permits: unlimitedPermits,
        origins: unrecordedOrigins,
        retries: retriesOf(repeats),
        runs: runsOf(),
        reservations: {
          reserve: async (_service: string, demand: LocalDemand) => {
            asked.push(demand);
            if (asked.length > 1) throw new Failure('deadlineUnreachable', 'no reservation');
            return { prefill: 'p1', decode: 'd1' };
          },
          assign: async () => 'd1',
          reportProgress: () => {},
        },
        runners: {
          prefill: async () => ({ address: 'p1:80', handle: 'h' }),
          decode: async () => replyOf(500, ''),
          report: async () => ({}),
        },
      } as unknown as ModelContext;
      const route = { ...streamRoute, attempts: 3, resumable: true };
      const exchange = exchangeInto([], promptRequest, route);
      await new ModelHandler(context).run(exchange, streamEngine);
      expect(asked.map(({ prefillsLocally }) => prefillsLocally)).toEqual(expected);
    },
  );
});
