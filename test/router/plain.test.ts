import { RunnerHealth } from '../../src/core/cell/health';
import { Failure } from '../../src/core/failure';
import type { CodeName } from '../../src/core/codes';
import type { PlainContext } from '../../src/node/router/plain';
import { PlainHandler } from '../../src/node/router/plain';
import { exchangeInto, promptRequest, streamRoute } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import { directPaths, openStateOf, runsOf, unlimitedPermits, unlimitedQuotas } from '../fakes/runs';

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
    takeRetry: () => true,
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
