import { Readable } from 'node:stream';
import { setTimeout as pause } from 'node:timers/promises';

import { RunnerHealth } from '../../src/core/cell/health';
import type { CodeName } from '../../src/core/codes';
import { Failure } from '../../src/core/failure';
import type { Path } from '../../src/core/paths/table';
import type { ModelContext } from '../../src/node/router/model';
import { ModelHandler } from '../../src/node/router/model';
import type { PlainContext } from '../../src/node/router/plain';
import { PlainHandler } from '../../src/node/router/plain';
import type { ProgressReport } from '../../src/node/router/messages';
import type { FailedAssignment } from '../../src/node/router/reservations';
import type { Dispatch } from '../../src/node/router/types';
import { exchangeInto, promptRequest, replyOf, streamEngine, streamRoute } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import {
  openStateOf,
  pathsOf,
  quarantineOf,
  retriesOf,
  runsOf,
  unlimitedPermits,
  unreportedLoads,
  unlimitedQuotas,
  unrecordedOrigins,
} from '../fakes/runs';

/** Which step of a model request fails, and how. */
type Fault = 'prefill lost' | 'decode not reached' | 'stream broken';

/** Serves a model request by `p` and `d`, of which one fails; returns what the planner is told of them. */
async function toldPlanner(fault: Fault, paths: Readonly<Record<string, Path>>): Promise<unknown> {
  const told: unknown[] = [];
  const context = {
    routingState: openStateOf([runnerOf('p', 'prefill'), runnerOf('d', 'decode')]),
    paths: pathsOf(paths),
    runners: {
      prefill: async () => {
        if (fault === 'prefill lost') throw new Failure('answerLost', 'reset');
        return { address: 'p:80', handle: 'h' };
      },
      decode: async () => {
        if (fault === 'decode not reached') throw new Failure('runnerUnreachable', 'no path');
        throw new Failure('runnerFailed', 'reset');
      },
      freeCache: async () => {},
    },
    reservations: {
      reserve: async () => ({ prefill: 'p', decode: 'd' }),
      assign: async (
        _s: string,
        _i: string,
        _m: number,
        _x: unknown,
        failed?: FailedAssignment,
      ) => {
        if (failed) told.push(failed);
        return 'd';
      },
      reportProgress: (_service: string, { blame }: ProgressReport) => {
        told.push(blame ? { blame } : {});
      },
    },
    runs: runsOf(),
    quotas: unlimitedQuotas,
    permits: unlimitedPermits,
    origins: unrecordedOrigins,
    retries: retriesOf(0),
  } as unknown as ModelContext;
  await new ModelHandler(context).run(exchangeInto([]), streamEngine);
  return told[0];
}

/** What the planner is told of a runner if the caller leaves its request there, which has been silent for a time. */
async function toldOnLeaving(
  role: 'prefill' | 'decode',
  events: string,
  silentMs: number,
  code: CodeName = 'runnerFailed',
): Promise<unknown> {
  const told: unknown[] = [];
  const body = new Readable({ read: () => {} }).on('error', () => {});
  if (events !== '') body.push(events);
  const context = {
    routingState: openStateOf([runnerOf('r', role), runnerOf('d', 'decode')]),
    paths: pathsOf({}),
    runners: {
      [role]: ({ signal }: Pick<Dispatch, 'signal'>) =>
        new Promise((resolve, reject) => {
          signal.addEventListener('abort', () => {
            body.destroy(new Error('aborted'));
            reject(new Failure(code, 'aborted'));
          });
          if (events !== '') resolve({ ...replyOf(200, events), body });
        }),
      freeCache: async () => {},
    },
    reservations: {
      assign: () => pause(500, 'd'),
      reserve: async () => ({ decode: 'd', [role]: 'r' }),
      reportProgress: (_service: string, { kind, blame }: ProgressReport) => {
        if (kind === 'released') told.push(blame ? { blame } : {});
      },
    },
    runs: runsOf(),
    quotas: unlimitedQuotas,
    permits: unlimitedPermits,
    origins: unrecordedOrigins,
    retries: retriesOf(),
  } as unknown as ModelContext;
  const exchange = exchangeInto([]);
  const served = new ModelHandler(context).run(exchange, streamEngine);
  await pause(silentMs);
  exchange.end();
  await served;
  return told[0];
}

/* Half of the ejections in a run of the soak were of sound runners whose callers had left. */
describe('a runner is not blamed for a caller that leaves', () => {
  const event = 'id: 1\ndata: x\n\n';

  test.each<readonly [string, 'prefill' | 'decode', string, number, unknown]>([
    ['soon after an event', 'decode', event, 300, {}],
    ['soon after the send', 'decode', '', 300, {}],
    ['soon after the prefill was sent', 'prefill', '', 300, {}],
    ['while the decode runner is assigned', 'prefill', event, 300, {}],
    ['after a silence within the stream', 'decode', event, 1300, { blame: 'r' }],
    ['after a silence since the send', 'decode', '', 1300, { blame: 'r' }],
    ['after a long prefill', 'prefill', '', 1300, { blame: 'r' }],
  ])('%s', async (_, role, events, silentMs, expected) => {
    expect(await toldOnLeaving(role, events, silentMs)).toEqual(expected);
  });

  test('while the runner is connected', async () => {
    expect(await toldOnLeaving('decode', '', 300, 'runnerUnreachable')).toEqual({});
  });
});

/* Reports of VMs that had lost their paths ejected sound runners 49 times in nine seconds, for all VMs. */
describe('a runner is not blamed for a path that was lost under a request', () => {
  test.each<readonly [Fault, string, unknown, unknown]>([
    ['prefill lost', 'p', { blame: 'p' }, {}],
    ['stream broken', 'd', { blame: 'd' }, {}],
    ['decode not reached', 'd', { unreachable: 'd' }, { unavailable: 'd' }],
  ])('to the planner: %s', async (fault, runner, ifDirect, ifLost) => {
    expect(await toldPlanner(fault, {})).toEqual(ifDirect);
    expect(await toldPlanner(fault, { [runner]: 'tunnel' })).toEqual(ifLost);
  });

  test.each<readonly [Path, boolean]>([
    ['direct', true],
    ['tunnel', false],
  ])('to the quarantine: path %s', (path, isRefused) => {
    const ids = ['a', 'b', 'c'];
    const quarantine = quarantineOf();
    const paths = pathsOf(Object.fromEntries(ids.map((id) => [id, path])));
    const runs = runsOf(quarantine, paths);
    const exchange = exchangeInto([]);
    for (const id of ids) runs.begin(0, exchange, runnerOf(id, 'plain')).interrupted(10);
    expect(runs.refusal(20, exchange) !== undefined).toBe(isRefused);
    exchange.end();
  });

  test.each<readonly [string, 'runnerFailed' | 'runnerUnreachable', Path, boolean]>([
    ['fails', 'runnerFailed', 'direct', false],
    ['fails', 'runnerFailed', 'tunnel', true],
    ['is not reached', 'runnerUnreachable', 'direct', true],
  ])('to the ejection of plain runners: one %s (%s, path %s)', async (_, code, path, isAllowed) => {
    const health = new RunnerHealth();
    const context = {
      routingState: openStateOf([runnerOf('a', 'plain'), runnerOf('b', 'plain')]),
      paths: pathsOf({ a: path, b: path }),
      runners: {
        send: async ({ runner }: { readonly runner: { readonly id: string } }) => {
          if (runner.id === 'a') throw new Failure(code, 'broken');
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
    const route = { ...streamRoute, kind: 'repeatable' as const, attempts: 2, aimMs: 200 };
    const handler = new PlainHandler(context);
    for (let turn = 0; turn < 40; turn += 1) {
      await handler.run(exchangeInto([], promptRequest, route));
    }
    expect(health.allows(performance.now(), 'a')).toBe(isAllowed);
  });
});
