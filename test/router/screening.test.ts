import { Failure } from '../../src/core/failure';
import type { LocalDemand } from '../../src/node/router/messages';
import type { ModelContext } from '../../src/node/router/model';
import { ModelHandler } from '../../src/node/router/model';
import { LONG_WAIT, Screening, SHORT_WAIT } from '../../src/node/router/screening';
import { exchangeInto, promptRequest, replyOf, streamEngine } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import {
  directPaths,
  openStateOf,
  quarantineOf,
  retriesOf,
  runsOf,
  unlimitedPermits,
  unlimitedQuotas,
  unrecordedOrigins,
} from '../fakes/runs';

const PARTS = ['a', 'c1', 'fa7a1', 'own'];
const request = { ...promptRequest, promptParts: PARTS };

/** A quarantine in which some runners crashed under the request of an exchange, a second apart. */
function crashedUnder(fingerprints: readonly string[], runners: readonly string[]) {
  const quarantine = quarantineOf();
  const now = performance.now() - 10_000;
  runners.forEach((runner, i) => quarantine.crashed(now + 1000 * i, fingerprints, runner, false));
  return quarantine;
}

describe('the screening of a request', () => {
  // Guards against requests that hold a reservation, or wait, for as long as their callers do.
  test.each([
    ['holds nothing', LONG_WAIT],
    ['holds a reservation', SHORT_WAIT],
  ])('waits for the trial of another one for a time if it %s', async (_, wait) => {
    const exchange = exchangeInto([], request);
    const quarantine = crashedUnder(exchange.fingerprintsAt('v1'), ['a', 'b']);
    const trials = { ask: async () => false };
    const routingState = openStateOf([runnerOf('d', 'decode')]);
    const screening = new Screening({ quarantine, routingState, trials });
    const startedAt = performance.now();
    const refused = await screening.admit(exchange, wait);
    const ms = performance.now() - startedAt;
    exchange.end();
    expect({ code: refused?.codeName, isNotRun: refused?.code.notRun }).toEqual({
      code: 'onTrial',
      isNotRun: true,
    });
    expect(ms).toBeGreaterThanOrEqual(wait.limitMs - wait.pollMs);
    expect(ms).toBeLessThan(wait.limitMs + 5 * wait.pollMs);
  });

  test('admits it once its trial is granted, and refuses it once the part is in quarantine', async () => {
    const exchange = exchangeInto([], request);
    const fingerprints = exchange.fingerprintsAt('v1');
    const quarantine = crashedUnder(fingerprints, ['a', 'b']);
    const routingState = openStateOf([runnerOf('d', 'decode')]);
    const asked: (readonly string[])[] = [];
    const trials = {
      ask: async (_now: number, _exchange: unknown, all: readonly string[]) => {
        asked.push(all);
        return asked.length > 1;
      },
    };
    const screening = new Screening({ quarantine, routingState, trials });
    const refusals = [await screening.admit(exchange, SHORT_WAIT)];
    refusals.push(screening.refusal(performance.now(), exchange));
    quarantine.crashed(performance.now(), fingerprints, 'c', false);
    refusals.push(screening.refusal(performance.now(), exchange));
    exchange.end();
    expect(asked).toEqual([fingerprints, fingerprints]);
    expect(refusals.map((one) => one?.codeName)).toEqual([undefined, undefined, 'quarantined']);
  });
});

describe('a model request that waits for a reservation', () => {
  // Guards against callers that wait for a request which is known not to be servable.
  test('is rejected at once when its prompt part is found to crash runners', async () => {
    const out: string[] = [];
    const sent: string[] = [];
    const exchange = exchangeInto(out, request);
    const context = {
      routingState: openStateOf([runnerOf('d', 'decode')]),
      paths: directPaths,
      runners: {
        decode: async () => {
          sent.push('decode');
          return replyOf(200, 'id: 1\n\n');
        },
      },
      reservations: {
        reserve: (_service: string, _demand: LocalDemand, signal: AbortSignal) =>
          new Promise((_resolve, reject) => {
            signal.addEventListener('abort', () => reject(new Failure('timedOut', 'aborted')));
          }),
        reportProgress: () => {},
      },
      runs: runsOf(),
      quotas: unlimitedQuotas,
      permits: unlimitedPermits,
      origins: unrecordedOrigins,
      retries: retriesOf(),
    } as unknown as ModelContext;
    const served = new ModelHandler(context).run(exchange, streamEngine);
    await new Promise(setImmediate);
    exchange.refuse(new Failure('quarantined', 'three runners crashed', { retryAfterMs: 1000 }));
    await served;
    expect({ status: out[0], code: exchange.code, sent }).toEqual({
      status: '503',
      code: 'quarantined',
      sent: [],
    });
  });
});
