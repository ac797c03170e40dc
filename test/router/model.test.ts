import { Failure } from '../../src/core/failure';
import type { ModelContext } from '../../src/node/router/model';
import { ModelHandler } from '../../src/node/router/model';
import type { LocalDemand } from '../../src/node/router/messages';
import type { DecodeDispatch, Dispatch } from '../../src/node/router/types';
import { exchangeInto, promptRequest, replyOf, streamEngine, streamRoute } from '../fakes/exchange';
import { runnerOf as runner } from '../fakes/runner';
import {
  checksOf,
  crashedChecks,
  directPaths,
  openStateOf,
  quarantineOf,
  retriesOf,
  runsOf,
  unlimitedPermits,
  unlimitedQuotas,
  unrecordedOrigins,
} from '../fakes/runs';

describe('a model request', () => {
  /*
   * A decode runner crashed and restarted at the same address, while the listing still names the
   * previous instance. It answers that the request was misdirected. The KV cache is kept at the
   * prefill runner, so another decode runner takes it and the prefill is not repeated.
   */
  test('goes to another decode runner when the first one has restarted', async () => {
    const runners = [runner('p', 'prefill'), runner('d1', 'decode'), runner('d2', 'decode')];
    const sent: string[] = [];
    const context = {
      routingState: openStateOf(runners),
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
      reservations: {
        reserve: async () => ({ prefill: 'p', decode: 'd1' }),
        assign: async (
          _service: string,
          _id: string,
          _ms: number,
          _signal: AbortSignal,
          failed: { readonly unreachable?: string } = {},
        ) => (failed.unreachable === 'd1' ? 'd2' : 'd1'),
        reportProgress: () => {},
      },
      runs: runsOf(),
      paths: directPaths,
      quotas: unlimitedQuotas,
      permits: unlimitedPermits,
      origins: unrecordedOrigins,
      retries: retriesOf(),
    } as unknown as ModelContext;
    const out: string[] = [];
    await new ModelHandler(context).run(exchangeInto(out), streamEngine);
    expect(sent).toEqual(['prefill', 'd1 h', 'd2 h']);
    expect(out).toEqual(['200', 'id: 1\n\n']);
  });

  /*
   * The prefill is done and the runner's response is lost. The runner still keeps the KV cache;
   * another runner would repeat the prefill, and the request would give up its reservation for it.
   */
  test('retries at the same prefill runner when its response was lost', async () => {
    const sent: string[] = [];
    const context = {
      routingState: openStateOf([runner('p', 'prefill'), runner('d', 'decode')]),
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
      reservations: {
        reserve: async () => {
          sent.push('place');
          return { prefill: 'p', decode: 'd' };
        },
        assign: async () => 'd',
        reportProgress: () => {},
      },
      runs: runsOf(),
      paths: directPaths,
      quotas: unlimitedQuotas,
      permits: unlimitedPermits,
      origins: unrecordedOrigins,
      retries: retriesOf(),
    } as unknown as ModelContext;
    const out: string[] = [];
    await new ModelHandler(context).run(exchangeInto(out), streamEngine);
    expect(sent).toEqual(['place', 'prefill p', 'prefill p', 'd h2']);
    expect(out).toEqual(['200', 'id: 1\n\n']);
  });

  // Guards against a whole answer that is cut since its limit passes while its end is checked.
  test('is answered whole when its limit passes as the answer has arrived', async () => {
    const context = {
      routingState: openStateOf([runner('d', 'decode')]),
      runners: { decode: async () => replyOf(200, 'id: 1\n\n', 'close') },
      reservations: { reserve: async () => ({ decode: 'd' }), reportProgress: () => {} },
      runs: runsOf(quarantineOf(), directPaths, checksOf('running', 100)),
      paths: directPaths,
      quotas: unlimitedQuotas,
      permits: unlimitedPermits,
      origins: unrecordedOrigins,
      retries: retriesOf(),
    } as unknown as ModelContext;
    const out: string[] = [];
    const route = { ...streamRoute, timeoutMs: 70 };
    const exchange = exchangeInto(out, promptRequest, route);
    await new ModelHandler(context).run(exchange, streamEngine);
    expect([exchange.signal.aborted, exchange.code, out]).toEqual([
      true,
      undefined,
      ['200', 'id: 1\n\n'],
    ]);
  });

  /*
   * Callers choose their own deadlines: one waits for 14 s, the next one for 12 s, and both are
   * first attempts. Guards against taking the shorter deadline for time spent on earlier attempts,
   * by which the second request looked late before it began and was served last.
   */
  test('is due by its latency target, whatever the deadline of its caller', async () => {
    const asked: LocalDemand[] = [];
    const context = {
      routingState: openStateOf(),
      paths: directPaths,
      quotas: unlimitedQuotas,
      permits: unlimitedPermits,
      origins: unrecordedOrigins,
      retries: retriesOf(),
      reservations: {
        reserve: async (_service: string, demand: LocalDemand) => {
          asked.push(demand);
          throw new Failure('deadlineUnreachable', 'no reservation', { retryAfterMs: 300 });
        },
      },
    } as unknown as ModelContext;
    const handler = new ModelHandler(context);
    const exchanges = [14_000, 12_000].map((deadlineMs) =>
      exchangeInto([], { ...promptRequest, deadlineMs }),
    );
    for (const exchange of exchanges) await handler.run(exchange, streamEngine);
    expect(asked.map(({ dueAt }, i) => Math.round(dueAt - (exchanges[i]?.arrivedAt ?? 0)))).toEqual(
      [900, 900],
    );
  });

  /*
   * A resumable stream crashes its runner, after two others crashed on the same request. It is
   * quarantined, but it was executed, so that the caller must not be told that it was not.
   */
  test('is not reported as not executed when it is quarantined after a run', async () => {
    const quarantine = quarantineOf();
    const out: string[] = [];
    const route = { ...streamRoute, attempts: 3, resumable: true };
    const exchange = exchangeInto(out, promptRequest, route);
    for (const id of ['x', 'y']) {
      quarantine.crashed(performance.now(), [exchange.fingerprint], id, false);
    }
    const sent: string[] = [];
    const context = {
      routingState: openStateOf([runner('d1', 'decode'), runner('d2', 'decode')]),
      runners: {
        decode: async (dispatch: DecodeDispatch) => {
          sent.push(dispatch.runner.id);
          throw new Failure('runnerFailed', 'reset');
        },
      },
      reservations: {
        reserve: async () => ({ decode: `d${sent.length + 1}` }),
        reportProgress: () => {},
      },
      runs: runsOf(quarantine, directPaths, crashedChecks),
      paths: directPaths,
      quotas: unlimitedQuotas,
      permits: unlimitedPermits,
      origins: unrecordedOrigins,
      retries: retriesOf(),
    } as unknown as ModelContext;
    await new ModelHandler(context).run(exchange, streamEngine);
    expect(sent).toEqual(['d1']);
    expect([out[0], exchange.code]).toEqual(['502', 'runnerFailed']);
  });

  /*
   * A resumable stream is cut by its runner before its first event, and the owner has no other
   * reservation in time. The caller must not be told that the request was not executed, since a
   * runner had started it.
   */
  test('is not reported as not executed when there is no second reservation after a run', async () => {
    const out: string[] = [];
    const route = { ...streamRoute, attempts: 2, resumable: true };
    const exchange = exchangeInto(out, promptRequest, route);
    let asked = 0;
    const context = {
      routingState: openStateOf([runner('d1', 'decode')]),
      runners: {
        decode: async () => {
          throw new Failure('runnerFailed', 'reset');
        },
      },
      reservations: {
        reserve: async () => {
          asked += 1;
          if (asked === 1) return { decode: 'd1' };
          throw new Failure('deadlineUnreachable', 'no reservation in time', { retryAfterMs: 300 });
        },
        reportProgress: () => {},
      },
      runs: runsOf(),
      paths: directPaths,
      quotas: unlimitedQuotas,
      permits: unlimitedPermits,
      origins: unrecordedOrigins,
      retries: retriesOf(),
    } as unknown as ModelContext;
    await new ModelHandler(context).run(exchange, streamEngine);
    expect(asked).toBe(2);
    expect([out[0], exchange.code]).toEqual(['502', 'runnerFailed']);
  });
});
