import pino from 'pino';

import { RunnerHealth } from '../../src/core/cell/health';
import { Failure } from '../../src/core/failure';
import type { CodeName } from '../../src/core/codes';
import type { PlainContext } from '../../src/node/router/plain';
import { RouterMetrics } from '../../src/node/router/metrics';
import { PlainHandler } from '../../src/node/router/plain';
import { PlainLoads } from '../../src/node/router/plainloads';
import type { Exchange } from '../../src/node/router/exchange';
import type { Dispatch } from '../../src/node/router/types';
import { exchangeInto, promptRequest, replyOf, streamRoute } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import {
  directPaths,
  openStateOf,
  retriesOf,
  runsOf,
  unlimitedPermits,
  unreportedLoads,
  unlimitedQuotas,
} from '../fakes/runs';

/** Runs a call whose sends fail with the given codes, one after the other; returns its status and code. */
async function callOf(...failures: readonly CodeName[]): Promise<readonly (string | undefined)[]> {
  const out: string[] = [];
  const route = { ...streamRoute, kind: 'repeatable' as const, attempts: 2 };
  const exchange = exchangeInto(out, promptRequest, route);
  const health = new RunnerHealth();
  const remaining = [...failures];
  const context = {
    routingState: openStateOf(['a', 'b', 'c'].map((id) => runnerOf(id, 'plain'))),
    runners: {
      send: async () => {
        throw new Failure(remaining.shift() ?? 'internal', 'failed by the test');
      },
    },
    health: () => health,
    runs: runsOf(),
    paths: directPaths,
    quotas: unlimitedQuotas,
    permits: unlimitedPermits,
    loads: unreportedLoads,
    retries: retriesOf(),
    domain: 'a',
  } as unknown as PlainContext;
  await new PlainHandler(context).run(exchange);
  return [out[0], exchange.code];
}

describe('a plain call that fails', () => {
  /*
   * An idempotent call is cut by its runner, and the next runners cannot be reached. The last one
   * did not receive the call, but the first one did.
   */
  test('is not reported as not executed once a runner received it', async () => {
    const failures = ['runnerFailed', 'runnerUnreachable', 'runnerUnreachable'] as const;
    expect(await callOf(...failures)).toEqual(['502', 'runnerFailed']);
  });

  test('is reported as not executed when no runner was reached', async () => {
    const failures = ['runnerUnreachable', 'runnerUnreachable', 'runnerUnreachable'] as const;
    expect(await callOf(...failures)).toEqual(['503', 'runnerUnreachable']);
  });
});

/** Serves a stream by runners of two versions; returns where it was sent, what was recorded and what the caller gets. */
async function streamOf(version: string | undefined): Promise<Readonly<Record<string, unknown>>> {
  const out: string[] = [];
  const exchange = exchangeInto(out, promptRequest, { ...streamRoute, resumable: true });
  if (version !== undefined) exchange.pin({ service: 's', version });
  const health = new RunnerHealth();
  const sent: string[] = [];
  const recorded: string[] = [];
  const context = {
    routingState: openStateOf([
      runnerOf('a', 'plain', { version: 'v1' }),
      runnerOf('b', 'plain', { version: 'v2' }),
    ]),
    runners: {
      send: async ({ runner }: Dispatch) => {
        sent.push(runner.version);
        return replyOf(200, 'id: 1\ndata: x\n\n');
      },
    },
    health: () => health,
    runs: runsOf(),
    paths: directPaths,
    quotas: unlimitedQuotas,
    permits: unlimitedPermits,
    loads: unreportedLoads,
    origins: {
      began: (_now: number, { version: began }: Exchange) => {
        recorded.push(`${began}, ${out.length} parts sent`);
      },
    },
    retries: retriesOf(),
    domain: 'a',
  } as unknown as PlainContext;
  await new PlainHandler(context).run(exchange);
  return { sent, recorded, status: out[0], code: exchange.code };
}

describe('a stream of a plain service', () => {
  // Guards against callers that hold events of two versions of a service without an engine.
  test('goes on at a runner of the version that began it', async () => {
    const streams = await Promise.all(Array.from({ length: 8 }, () => streamOf('v2')));
    expect(new Set(streams.flatMap(({ sent }) => sent))).toEqual(new Set(['v2']));
  });

  test('is rejected, not run, if there is no such runner', async () => {
    expect(await streamOf('v3')).toEqual({
      sent: [],
      recorded: [],
      status: '503',
      code: 'versionGone',
    });
  });

  test('has its version recorded before its first event is sent', async () => {
    const { sent, recorded } = await streamOf(undefined);
    expect(recorded).toEqual([`${(sent as readonly string[])[0]}, 0 parts sent`]);
  });
});

/** Serves a call by one runner of one slot, which has reported requests that wait. */
async function heldCallOf(
  waiting: number,
  deadlineMs: number,
): Promise<Readonly<Record<string, unknown>>> {
  const runner = runnerOf('a', 'plain', { slots: 1 });
  const routingState = openStateOf([runner]);
  const metrics = new RouterMetrics();
  const loads = new PlainLoads({
    vm: 'v',
    fleet: { all: [], ownersOf: () => [], call: async () => null, deprioritize: () => {} },
    routingState,
    metrics,
    log: pino({ level: 'silent' }),
  });
  const out: string[] = [];
  const route = { ...streamRoute, kind: 'once' as const };
  const exchange = exchangeInto(out, { ...promptRequest, deadlineMs }, route);
  const now = performance.now();
  const load = { running: 1, waiting, slots: 1, slowness: 1 };
  loads.replied(now, exchange, runner, now, { ...replyOf(200, ''), load });
  let sentCount = 0;
  const context = {
    routingState,
    runners: {
      send: async () => {
        sentCount += 1;
        return replyOf(200, 'x');
      },
    },
    health: () => new RunnerHealth(),
    runs: runsOf(),
    paths: directPaths,
    quotas: unlimitedQuotas,
    permits: unlimitedPermits,
    loads,
    metrics,
    retries: retriesOf(),
    domain: 'a',
  } as unknown as PlainContext;
  await new PlainHandler(context).run(exchange);
  const { code, heldMs } = exchange;
  return { status: out[0], code, sentCount, isHeld: heldMs > 0 };
}

describe('a plain call while all runners are full', () => {
  // Guards against rejections by full runners, and against a wait that no slot ends.
  test('is held until a slot is expected', async () => {
    const served = { status: '200', code: undefined, sentCount: 1 };
    expect(await heldCallOf(8, 10_000)).toEqual({ ...served, isHeld: true });
    expect(await heldCallOf(0, 10_000)).toEqual({ ...served, isHeld: false });
  });

  test('is rejected at once, not run, if it cannot end within its time budget', async () => {
    const rejected = { status: '503', code: 'runnersBusy', sentCount: 0, isHeld: false };
    expect(await heldCallOf(50, 2000)).toEqual(rejected);
  });
});
