import { RunnerHealth } from '../../src/core/cell/health';
import type { Path } from '../../src/core/paths/table';
import type { LocalDemand } from '../../src/node/router/messages';
import type { ModelContext } from '../../src/node/router/model';
import { ModelHandler } from '../../src/node/router/model';
import type { PlainContext } from '../../src/node/router/plain';
import { PlainHandler } from '../../src/node/router/plain';
import type { DecodeDispatch, Dispatch } from '../../src/node/router/types';
import { exchangeInto, promptRequest, replyOf, streamEngine, streamRoute } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import {
  openStateOf,
  pathsOf,
  retriesOf,
  runsOf,
  unlimitedPermits,
  unreportedLoads,
  unlimitedQuotas,
  unrecordedOrigins,
} from '../fakes/runs';

type Paths = Readonly<Partial<Record<'a' | 'b' | 'd1' | 'd2', Path>>>;

const plainRoute = { ...streamRoute, kind: 'repeatable' as const, attempts: 2, aimMs: 200 };

/** Serves a plain request by runners `a` and `b`; returns those that got it, and the answer. */
async function servePlain(paths: Paths): Promise<readonly string[]> {
  const sent: string[] = [];
  const health = new RunnerHealth();
  const context = {
    routingState: openStateOf([runnerOf('a', 'plain'), runnerOf('b', 'plain')]),
    paths: pathsOf(paths),
    runners: {
      send: async ({ runner }: Dispatch) => {
        sent.push(runner.id);
        return replyOf(200, 'done');
      },
    },
    health: () => health,
    runs: runsOf(),
    quotas: unlimitedQuotas,
    permits: unlimitedPermits,
    loads: unreportedLoads,
    origins: unrecordedOrigins,
    retries: retriesOf(),
    domain: 'a',
  } as unknown as PlainContext;
  const out: string[] = [];
  await new PlainHandler(context).run(exchangeInto(out, promptRequest, plainRoute));
  return [...sent, ...out.slice(0, 1)];
}

/** Serves a model request that the planner places at `p` and `d1`; returns what was asked and sent, and the answer. */
async function serveModel(paths: Paths): Promise<readonly string[]> {
  const log: string[] = [];
  const runners = [runnerOf('p', 'prefill'), runnerOf('d1', 'decode'), runnerOf('d2', 'decode')];
  const context = {
    routingState: openStateOf(runners),
    paths: pathsOf(paths),
    runners: {
      prefill: async () => ({ address: 'p:80', handle: 'h' }),
      decode: async ({ runner }: DecodeDispatch) => {
        log.push(`sent to ${runner.id}`);
        return replyOf(200, 'id: 1\n\n');
      },
      freeCache: async () => {},
    },
    reservations: {
      reserve: async (_service: string, { avoid }: LocalDemand) => {
        log.push(`asked, avoiding ${avoid.join(' ') || 'none'}`);
        return { prefill: 'p', decode: avoid.includes('d1') ? 'd2' : 'd1' };
      },
      assign: async () => (paths.d1 === 'none' ? 'd2' : 'd1'),
      reportProgress: () => {},
    },
    runs: runsOf(),
    quotas: unlimitedQuotas,
    permits: unlimitedPermits,
    origins: unrecordedOrigins,
    retries: retriesOf(),
  } as unknown as ModelContext;
  const out: string[] = [];
  await new ModelHandler(context).run(exchangeInto(out), streamEngine);
  return [...log, ...out.slice(0, 1)];
}

/* A runner without a path was chosen like any other: it has nothing in flight, and each attempt there waits for connections. */
describe('runners that a VM does not reach', () => {
  test('get no plain requests while others are reached', async () => {
    for (let turn = 0; turn < 10; turn += 1) {
      expect(await servePlain({ a: 'none' })).toEqual(['b', '200']);
    }
  });

  test('are not chosen by way of another VM while others are reached directly', async () => {
    for (let turn = 0; turn < 10; turn += 1) {
      expect(await servePlain({ a: 'tunnel' })).toEqual(['b', '200']);
    }
  });

  test('are named to the planner', async () => {
    expect(await serveModel({ d1: 'none' })).toEqual(['asked, avoiding d1', 'sent to d2', '200']);
    expect(await serveModel({ d1: 'tunnel' })).toEqual([
      'asked, avoiding none',
      'sent to d1',
      '200',
    ]);
  });

  test('are no reason to wait: requests are rejected at once if none is reached', async () => {
    expect(await servePlain({ a: 'none', b: 'none' })).toEqual(['503']);
    expect(await serveModel({ d1: 'none', d2: 'none' })).toEqual(['503']);
  });
});
