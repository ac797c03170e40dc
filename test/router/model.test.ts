import { Failure } from '../../src/core/failure';
import type { ModelContext } from '../../src/node/router/model';
import { ModelHandler } from '../../src/node/router/model';
import type { LocalDemand } from '../../src/node/router/messages';
import type { DecodeDispatch, Dispatch } from '../../src/node/router/types';
import { exchangeInto, promptRequest, replyOf, streamEngine, streamRoute } from '../fakes/exchange';
import { runnerOf as runner } from '../fakes/runner';
import { noPermits, noQuotas, quarantineOf, runsOf } from '../fakes/runs';

describe('a model request', () => {
  /*
   * A decode runner crashed and was started anew at its address; the list still
   * names its former start. It answers that it is not the one meant. The prompt
   * was read and is kept: another decode runner takes it, and it is not read again.
   */
  test('goes to another decode runner when the first was started anew', async () => {
    const runners = [runner('p', 'prefill'), runner('d1', 'decode'), runner('d2', 'decode')];
    const sent: string[] = [];
    const context = {
      knowledge: { runnersOf: () => runners },
      runners: {
        prefill: async () => {
          sent.push('prefill');
          return { address: 'p:80', handle: 'h' };
        },
        decode: async (dispatch: DecodeDispatch) => {
          sent.push(`${dispatch.runner.id} ${dispatch.cache?.handle}`);
          return dispatch.runner.id === 'd1' ? replyOf(421, '') : replyOf(200, 'id: 1\n\n');
        },
        freeCache: async () => {},
      },
      places: {
        ask: async () => ({ prefill: 'p', decode: 'd1' }),
        bind: async (
          _service: string,
          _id: string,
          _ms: number,
          _signal: AbortSignal,
          failed: { readonly unreachable?: string } = {},
        ) => (failed.unreachable === 'd1' ? 'd2' : 'd1'),
        note: () => {},
      },
      runs: runsOf(),
      quotas: noQuotas,
      permits: noPermits,
      mayRepeat: () => true,
    } as unknown as ModelContext;
    const out: string[] = [];
    await new ModelHandler(context).run(exchangeInto(out), streamEngine);
    expect(sent).toEqual(['prefill', 'd1 h', 'd2 h']);
    expect(out).toEqual(['200', 'id: 1\n\n']);
  });

  /*
   * The prompt was read and the runner's answer is lost on the way. The runner
   * still has the prompt; read at another one, it would be read twice, and the
   * place that the request holds would be given up for it.
   */
  test('asks the same prefill runner again when its answer was lost', async () => {
    const sent: string[] = [];
    const context = {
      knowledge: { runnersOf: () => [runner('p', 'prefill'), runner('d', 'decode')] },
      runners: {
        prefill: async (dispatch: Dispatch) => {
          sent.push(`prefill ${dispatch.runner.id}`);
          if (sent.length === 2) throw new Failure('answerLost', 'reset');
          return { address: 'p:80', handle: 'h2' };
        },
        decode: async (dispatch: DecodeDispatch) => {
          sent.push(`${dispatch.runner.id} ${dispatch.cache?.handle}`);
          return replyOf(200, 'id: 1\n\n');
        },
      },
      places: {
        ask: async () => {
          sent.push('place');
          return { prefill: 'p', decode: 'd' };
        },
        bind: async () => 'd',
        note: () => {},
      },
      runs: runsOf(),
      quotas: noQuotas,
      permits: noPermits,
      mayRepeat: () => true,
    } as unknown as ModelContext;
    const out: string[] = [];
    await new ModelHandler(context).run(exchangeInto(out), streamEngine);
    expect(sent).toEqual(['place', 'prefill p', 'prefill p', 'd h2']);
    expect(out).toEqual(['200', 'id: 1\n\n']);
  });

  /*
   * Callers draw their deadlines by themselves: one waits for 14 s, the next for
   * 12. Both ask for the first time. The time left was taken for time spent on
   * earlier tries, so the second looked late before it began and was served last.
   */
  test('is due by its aim, whatever its caller will wait', async () => {
    const asked: LocalDemand[] = [];
    const context = {
      quotas: noQuotas,
      permits: noPermits,
      places: {
        ask: async (_service: string, demand: LocalDemand) => {
          asked.push(demand);
          throw new Failure('deadlineUnreachable', 'no place', { retryAfterMs: 300 });
        },
      },
    } as unknown as ModelContext;
    const caller = new ModelHandler(context);
    const exchanges = [14_000, 12_000].map((deadlineMs) =>
      exchangeInto([], { ...promptRequest, deadlineMs }),
    );
    for (const exchange of exchanges) await caller.run(exchange, streamEngine);
    expect(asked.map(({ dueAt }, i) => Math.round(dueAt - (exchanges[i]?.arrivedAt ?? 0)))).toEqual(
      [900, 900],
    );
  });

  /*
   * A stream that may be resumed has ended its runner, and is the third to do so. It is
   * not sent on; but it has run, so that its caller is not told that it has not.
   */
  test('is not said not to have run when it is kept from runners after a run', async () => {
    const quarantine = quarantineOf();
    const out: string[] = [];
    const route = { ...streamRoute, attempts: 3, resumable: true };
    const exchange = exchangeInto(out, promptRequest, route);
    for (const id of ['x', 'y']) quarantine.crashed(performance.now(), exchange.fingerprint, id);
    const sent: string[] = [];
    const context = {
      knowledge: { runnersOf: () => [runner('d1', 'decode'), runner('d2', 'decode')] },
      runners: {
        decode: async (dispatch: DecodeDispatch) => {
          sent.push(dispatch.runner.id);
          throw new Failure('runnerFailed', 'reset');
        },
      },
      places: { ask: async () => ({ decode: `d${sent.length + 1}` }), note: () => {} },
      runs: runsOf(quarantine),
      quotas: noQuotas,
      permits: noPermits,
      mayRepeat: () => true,
    } as unknown as ModelContext;
    await new ModelHandler(context).run(exchange, streamEngine);
    expect(sent).toEqual(['d1']);
    expect([out[0], exchange.code]).toEqual(['502', 'runnerFailed']);
  });

  /*
   * A stream that may be resumed is cut by its runner before its first event. Asked for
   * another place, the owner has none in time. The caller is not told that the request
   * has not run: a runner had begun it.
   */
  test('is not said not to have run when no second place is found after a run', async () => {
    const out: string[] = [];
    const route = { ...streamRoute, attempts: 2, resumable: true };
    const exchange = exchangeInto(out, promptRequest, route);
    let asked = 0;
    const context = {
      knowledge: { runnersOf: () => [runner('d1', 'decode')] },
      runners: {
        decode: async () => {
          throw new Failure('runnerFailed', 'reset');
        },
      },
      places: {
        ask: async () => {
          asked += 1;
          if (asked === 1) return { decode: 'd1' };
          throw new Failure('deadlineUnreachable', 'no place in time', { retryAfterMs: 300 });
        },
        note: () => {},
      },
      runs: runsOf(),
      quotas: noQuotas,
      permits: noPermits,
      mayRepeat: () => true,
    } as unknown as ModelContext;
    await new ModelHandler(context).run(exchange, streamEngine);
    expect(asked).toBe(2);
    expect([out[0], exchange.code]).toEqual(['502', 'runnerFailed']);
  });
});
