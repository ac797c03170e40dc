import { RunnerHealth } from '../../src/core/cell/health';
import { Failure } from '../../src/core/failure';
import type { CodeName } from '../../src/core/codes';
import type { PlainContext } from '../../src/node/router/plain';
import { PlainHandler } from '../../src/node/router/plain';
import { exchangeInto, promptRequest, streamRoute } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import { noPermits, noQuotas, runsOf } from '../fakes/runs';

/** A call whose sends end as told, one after the other; gives its status and code. */
async function callOf(...ends: readonly CodeName[]): Promise<readonly (string | undefined)[]> {
  const out: string[] = [];
  const route = { ...streamRoute, kind: 'repeatable' as const, attempts: 2 };
  const exchange = exchangeInto(out, promptRequest, route);
  const health = new RunnerHealth();
  const left = [...ends];
  const context = {
    knowledge: { runnersOf: () => ['a', 'b', 'c'].map((id) => runnerOf(id, 'plain')) },
    runners: {
      send: async () => {
        throw new Failure(left.shift() ?? 'internal', 'as told');
      },
    },
    health: () => health,
    runs: runsOf(),
    quotas: noQuotas,
    permits: noPermits,
    mayRepeat: () => true,
    domain: 'a',
  } as unknown as PlainContext;
  await new PlainHandler(context).run(exchange);
  return [out[0], exchange.code];
}

describe('a plain call that fails', () => {
  /*
   * An idempotent call is cut by its runner, and the runners that it is sent to then
   * cannot be reached. The last of them had nothing of it, but the first one had.
   */
  test('is not said not to have run once a runner had it', async () => {
    const ends = ['runnerFailed', 'runnerUnreachable', 'runnerUnreachable'] as const;
    expect(await callOf(...ends)).toEqual(['502', 'runnerFailed']);
  });

  test('is said not to have run when no runner was reached', async () => {
    const ends = ['runnerUnreachable', 'runnerUnreachable', 'runnerUnreachable'] as const;
    expect(await callOf(...ends)).toEqual(['503', 'runnerUnreachable']);
  });
});
