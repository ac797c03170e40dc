import { RunnerHealth } from '../../src/core/cell/health';
import { Failure } from '../../src/core/failure';
import { Planner } from '../../src/core/memory/planner';
import { planPolicy } from '../../src/core/memory/policy';
import type { Demand, PlanAction } from '../../src/core/memory/types';
import { NO_NOTICE } from '../../src/core/routing/notice';
import type { Runner } from '../../src/core/routing/types';
import type { ModelContext } from '../../src/node/router/model';
import { ModelHandler } from '../../src/node/router/model';
import type { PlainContext } from '../../src/node/router/plain';
import { PlainHandler } from '../../src/node/router/plain';
import { PlainBalancer } from '../../src/node/router/plainbalancer';
import type { DecodeDispatch, Dispatch, Reply } from '../../src/node/router/types';
import { demandOf } from '../fakes/demand';
import { exchangeInto, promptRequest, replyOf, streamEngine, streamRoute } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import {
  directPaths,
  retriesOf,
  unlimitedPermits,
  unreportedLoads,
  unlimitedQuotas,
  unrecordedOrigins,
} from '../fakes/runs';
import { VmState } from '../fakes/vmstate';

const PAUSE_MS = 3000;

/** The rejection of a request that asks for a pause. */
const rejection: Reply = {
  ...replyOf(503, ''),
  genuine: false,
  notRun: true,
  notice: { ...NO_NOTICE, backoffMs: PAUSE_MS },
};

const a = runnerOf('a', 'plain');
const b = runnerOf('b', 'plain');
const plainRoute = { ...streamRoute, kind: 'repeatable' as const, attempts: 2, aimMs: 200 };

function plainContextOf(vm: VmState, send: (dispatch: Dispatch) => Reply): PlainContext {
  const health = new RunnerHealth();
  return {
    routingState: vm.state,
    health: () => health,
    permits: unlimitedPermits,
    loads: unreportedLoads,
    origins: unrecordedOrigins,
    domain: 'a',
    runners: {
      send: async (dispatch: Dispatch) => {
        const reply = send(dispatch);
        dispatch.onReply(reply);
        return reply;
      },
    },
    runs: vm.runs,
    paths: directPaths,
    quotas: unlimitedQuotas,
    retries: retriesOf(),
  } as unknown as PlainContext;
}

/** Serves some plain requests one after the other; returns their outcomes. */
async function servePlain(context: PlainContext, count: number): Promise<readonly unknown[]> {
  const outcomes: unknown[] = [];
  for (let i = 0; i < count; i += 1) {
    const out: string[] = [];
    const exchange = exchangeInto(out, promptRequest, plainRoute);
    await new PlainHandler(context).run(exchange);
    outcomes.push(exchange.code ?? out[0]);
  }
  return outcomes;
}

describe('plain requests while runners want none of this VM', () => {
  /* The runner rejects in a millisecond and has nothing in flight, so that it looks the idlest. */
  test('go to the others', async () => {
    const vm = new VmState([a, b]);
    const sent: string[] = [];
    const context = plainContextOf(vm, ({ runner }) => {
      sent.push(runner.id);
      return runner.id === 'a' ? rejection : replyOf(200, '');
    });
    vm.answered(a, rejection);
    expect(await servePlain(context, 20)).toEqual(Array.from({ length: 20 }, () => '200'));
    expect(new Set(sent)).toEqual(new Set(['b']));
  });

  /* Held until its deadline, a caller could not try another VM or come back. */
  test('are rejected at once where no other runner is left, with the time at which the first is back', async () => {
    const vm = new VmState([a, b]);
    const context = plainContextOf(vm, () => rejection);
    vm.answered(a, rejection);
    vm.answered(b, { ...rejection, notice: { ...NO_NOTICE, backoffMs: PAUSE_MS * 2 } });
    const balancer = new PlainBalancer(context);
    const exchange = exchangeInto([], promptRequest, plainRoute);
    const failures = await Promise.all(
      Array.from({ length: 20 }, () => balancer.choose(performance.now(), exchange, [])),
    );
    exchange.end();
    const times = failures.map((one) => (one instanceof Failure ? (one.retryAfterMs ?? 0) : 0));
    expect(failures[0]).toMatchObject({ codeName: 'runnersBackingOff' });
    expect(Math.min(...times)).toBeGreaterThan(PAUSE_MS * 0.9);
    expect(Math.max(...times)).toBeLessThan(PAUSE_MS * 1.6);
    expect(new Set(times).size).toBe(20);
    expect(await servePlain(context, 1)).toEqual(['runnersBackingOff']);
  });

  /* Told to come back after the usual 0.3 s, the caller of a call that may be sent once would be rejected again. */
  test('tell a rejected caller when the runner is back', async () => {
    const vm = new VmState([a]);
    const out: string[] = [];
    const exchange = exchangeInto(out, promptRequest, { ...plainRoute, kind: 'once', attempts: 1 });
    const failed = jest.spyOn(exchange, 'fail');
    await new PlainHandler(plainContextOf(vm, () => rejection)).run(exchange);
    const [[, failure] = []] = failed.mock.calls;
    expect(failure?.codeName).toBe('runnerFull');
    expect(failure?.retryAfterMs).toBeGreaterThan(PAUSE_MS * 0.9);
  });

  /* Three rejections in a row would eject the runner for a time of its own, beyond the one that it asked for. */
  test('do not eject a runner that says when it is back', async () => {
    const vm = new VmState([a, b]);
    const context = plainContextOf(vm, ({ runner }) =>
      runner.id === 'a' ? rejection : replyOf(200, ''),
    );
    const health = context.health('s');
    for (let i = 0; i < 3; i += 1) health.recordFailure(0, 'b');
    await servePlain(context, 3);
    expect(health.allows(0, 'a')).toBe(true);
  });

  /* Another instance has the same listing, and has rejected nothing. */
  test('go to a runner that has been started again', () => {
    const vm = new VmState([a, b]);
    vm.answered(a, rejection);
    vm.list({ ...a, id: 'a@1', bornAt: 1 }, 9);
    const now = performance.now();
    expect(vm.state.openRunnersOf(now, 's').map(({ id }) => id)).toEqual(['a@1', 'b']);
  });
});

const p1 = runnerOf('p1', 'prefill');
const p2 = runnerOf('p2', 'prefill');
const d1 = runnerOf('d1', 'decode');
const d2 = runnerOf('d2', 'decode');

function plannerOf(runners: readonly Runner[]): Planner {
  const planner = new Planner(planPolicy);
  planner.handle(0, { kind: 'runners', engine: streamEngine, runners });
  return planner;
}

function backOff(planner: Planner, vm: string, runners: readonly string[], until: number): void {
  const backoffs = runners.map((runner) => ({ runner, until }));
  planner.handle(0, { kind: 'backedOff', vm, backoffs });
}

function ask(planner: Planner, now: number, one: Demand): readonly PlanAction[] {
  return planner.handle(now, { kind: 'asked', demand: one });
}

/** Runners of the first grant. */
function grantOf([action]: readonly PlanAction[]): readonly (string | undefined)[] {
  return action?.kind === 'grant' ? [action.grant.prefill, action.grant.decode] : [];
}

describe('the planner while runners want no requests of a VM', () => {
  test('places its requests elsewhere, and those of other VMs there last', () => {
    const planner = plannerOf([p1, p2, d1, d2]);
    backOff(planner, 'vm1', ['p1', 'd1'], PAUSE_MS);
    expect(grantOf(ask(planner, 0, demandOf('q1', 0)))).toEqual(['p2', 'd2']);
    expect(grantOf(ask(planner, 0, demandOf('q2', 0, { vm: 'vm2' })))).toEqual(['p2', 'd2']);
    const left = plannerOf([p1, d1]);
    backOff(left, 'vm1', ['p1', 'd1'], PAUSE_MS);
    expect(grantOf(ask(left, 0, demandOf('q2', 0, { vm: 'vm2' })))).toEqual(['p1', 'd1']);
  });

  /* A request waits for memory when the answer comes that asks for a pause. */
  test('does not place waiting requests there', () => {
    const planner = plannerOf([p1, d1]);
    const first = Array.from({ length: 40 }, (_, i) => ask(planner, 0, demandOf(`q${i}`, 0)));
    const granted = first.flat().filter(({ kind }) => kind === 'grant');
    expect(planner.waiting).toBeGreaterThan(0);
    backOff(planner, 'vm1', ['d1'], PAUSE_MS);
    const released = granted.flatMap(({ id }) =>
      planner.handle(10, { kind: 'released', id, blame: undefined }),
    );
    expect(released.filter(({ kind }) => kind === 'grant')).toEqual([]);
  });

  test('has decode runners prefill where all prefill runners pause', () => {
    const planner = plannerOf([p1, d1]);
    backOff(planner, 'vm1', ['p1'], PAUSE_MS);
    expect(grantOf(ask(planner, 0, demandOf('q', 0)))).toEqual([undefined, 'd1']);
  });

  test('refuses at once what no runner takes before its caller leaves, with the time of the first', () => {
    const planner = plannerOf([p1, d1, d2]);
    backOff(planner, 'vm1', ['d1'], 5000);
    backOff(planner, 'vm1', ['d2'], 8000);
    const refusals = ['q1', 'q2'].flatMap((id) => ask(planner, 0, demandOf(id, 0)));
    const times = refusals.map((one) => (one.kind === 'refuse' ? one.retryAfterMs : 0));
    expect(times).toHaveLength(2);
    expect(Math.min(...times)).toBeGreaterThanOrEqual(5000);
    expect(Math.max(...times)).toBeLessThan(6000);
    expect(new Set(times).size).toBe(2);
  });

  test('lets a request wait for a pause that ends before it is late', () => {
    const planner = plannerOf([p1, d1]);
    backOff(planner, 'vm1', ['d1'], 300);
    expect(ask(planner, 0, demandOf('q', 0))).toEqual([]);
    expect(grantOf(planner.handle(301, { kind: 'woke' }))).toEqual(['p1', 'd1']);
  });

  /* All requests that waited would be sent at once, be rejected and lose their prefills. */
  test('sends one request first when a pause is over, and the others once it has started', () => {
    const planner = plannerOf([p1, d1]);
    backOff(planner, 'vm1', ['d1'], 300);
    const waiting = ['q1', 'q2', 'q3'].flatMap((id) => ask(planner, 0, demandOf(id, 0)));
    expect(waiting).toEqual([]);
    const grantedBy = (actions: readonly PlanAction[]): readonly string[] =>
      actions.filter(({ kind }) => kind === 'grant').map(({ id }) => id);
    expect(grantedBy(planner.handle(301, { kind: 'woke' }))).toEqual(['q1']);
    expect(grantedBy(planner.handle(400, { kind: 'woke' }))).toEqual([]);
    expect(grantedBy(planner.handle(500, { kind: 'started', id: 'q1' }))).toEqual(['q2', 'q3']);
  });

  /* The prompt was being read when another request of its VM was rejected by the decode runner. */
  test('assigns a prefilled request to another decode runner', () => {
    const planner = plannerOf([p1, d1, d2]);
    const [, decode = ''] = grantOf(ask(planner, 0, demandOf('q', 0)));
    backOff(planner, 'vm1', [decode], PAUSE_MS);
    const ready = { kind: 'prefilled', id: 'q', ms: 150 } as const;
    const bound = planner.handle(150, { ...ready, unreachable: undefined, shedBy: undefined });
    expect(bound).toEqual([{ kind: 'bind', id: 'q', decode: decode === 'd1' ? 'd2' : 'd1' }]);
  });
});

/** Serves one model request whose decode runner `d1` asks for a pause; returns what was sent and the outcome. */
async function serveModel(
  attempts: number,
  isRetryAllowed: boolean,
): Promise<{ readonly sent: readonly string[]; readonly outcome: string | undefined }> {
  const vm = new VmState([p1, d1, d2]);
  const sent: string[] = [];
  const out: string[] = [];
  const context = {
    routingState: vm.state,
    runners: {
      prefill: async ({ runner }: Dispatch) => {
        sent.push(`prefill ${runner.id}`);
        return { address: 'p1:80', handle: 'h' };
      },
      decode: async (dispatch: DecodeDispatch) => {
        sent.push(`decode ${dispatch.runner.id} ${dispatch.cache?.handle}`);
        const reply = dispatch.runner.id === 'd1' ? rejection : replyOf(200, 'id: 1\n\n');
        dispatch.onReply(reply);
        return reply;
      },
      freeCache: async () => {
        sent.push('free');
      },
    },
    reservations: {
      reserve: async () => ({ prefill: 'p1', decode: 'd1' }),
      assign: async (
        _service: string,
        _id: string,
        _ms: number,
        _signal: AbortSignal,
        { unavailable }: { readonly unavailable?: string } = {},
      ) => (unavailable === 'd1' ? 'd2' : 'd1'),
      reportProgress: (_service: string, { kind, blame }: { kind: string; blame?: string }) => {
        if (blame !== undefined) sent.push(`${kind} blames ${blame}`);
      },
    },
    runs: vm.runs,
    paths: directPaths,
    quotas: unlimitedQuotas,
    permits: unlimitedPermits,
    origins: unrecordedOrigins,
    retries: retriesOf(isRetryAllowed ? 1 : 0),
  } as unknown as ModelContext;
  const exchange = exchangeInto(out, promptRequest, { ...streamRoute, attempts });
  await new ModelHandler(context).run(exchange, streamEngine);
  return { sent, outcome: exchange.code ?? out[0] };
}

describe('a model request whose decode runner asks for a pause', () => {
  /* Sent there once more without its KV cache, it would be rejected again, and the prefill be lost. */
  test('goes to another one with its KV cache', async () => {
    expect(await serveModel(2, true)).toEqual({
      sent: ['prefill p1', 'decode d1 h', 'decode d2 h'],
      outcome: '200',
    });
  });

  test.each([
    [1, true],
    [2, false],
  ])('is rejected as not run if it may not be sent again', async (attempts, isRetryAllowed) => {
    expect(await serveModel(attempts, isRetryAllowed)).toEqual({
      sent: ['prefill p1', 'decode d1 h', 'free'],
      outcome: 'runnerFull',
    });
  });
});
