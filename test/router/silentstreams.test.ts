import { Readable } from 'node:stream';
import { setTimeout as pause } from 'node:timers/promises';

import { Failure } from '../../src/core/failure';
import type { Grant } from '../../src/core/memory/types';
import type { Route, Runner } from '../../src/core/routing/types';
import type { Exchange } from '../../src/node/router/exchange';
import type { LocalDemand, ProgressReport } from '../../src/node/router/messages';
import type { ModelContext } from '../../src/node/router/model';
import { ModelHandler } from '../../src/node/router/model';
import type { RetryController } from '../../src/node/router/retries';
import type { Reply } from '../../src/node/router/types';
import { exchangeInto, promptRequest, replyOf, streamEngine, streamRoute } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import {
  checksOf,
  directPaths,
  openStateOf,
  quarantineOf,
  retriesOf,
  runsOf,
  unansweredChecks,
  unlimitedPermits,
  unlimitedQuotas,
  unrecordedOrigins,
} from '../fakes/runs';

/** A route whose callers wait for two seconds between events. */
const route: Route = { ...streamRoute, attempts: 3, resumable: true, patienceMs: 2000 };

/** Events with the ids from `first` to `last`. */
function eventsOf(first: number, last: number): string {
  const ids = Array.from({ length: last - first + 1 }, (_, index) => first + index);
  return ids.map((id) => `id: ${id}\ndata: token ${id}\n\n`).join('');
}

/** A reply of two events, and of the two others after a silence. */
function silentReply(silentMs: number): Reply {
  const body = new Readable({ read: () => {} });
  body.push(Buffer.from(eventsOf(1, 2)));
  setTimeout(() => {
    body.push(Buffer.from(eventsOf(3, 4)));
    body.push(null);
  }, silentMs).unref();
  return { ...replyOf(200, 'id:'), body: Object.assign(body, { complete: true }) as never };
}

const inTurn = ['200', eventsOf(1, 2), eventsOf(3, 4)];

/** An event of what happened, for the order. */
type Step = 'asked' | 'ended' | 'sent' | 'freed' | `released${string}`;

/** A stream that `d1` begins and then is silent for a time; what happened to it. */
class SilentStream {
  readonly out: string[] = [];

  readonly steps: Step[] = [];

  readonly asked: LocalDemand[] = [];

  readonly quarantine = quarantineOf();

  readonly exchange: Exchange;

  readonly retries: RetryController;

  readonly #context: ModelContext;

  #sent = 0;

  /**
   * @param onAsked what the owner decides when it is asked for another run
   * @param prefill the prefill runner of the first run. Default: none
   */
  constructor(
    silentMs: number,
    onAsked: () => Promise<Grant>,
    {
      prefill,
      toRoute = route,
      retries = retriesOf(),
      prefillMs = 0,
      ...change
    }: Partial<Omit<ModelContext, 'retries'>> & {
      readonly prefill?: string;
      /** How long the prefill of the other run takes. Default: no time */
      readonly prefillMs?: number;
      readonly toRoute?: Route;
      readonly retries?: RetryController;
    } = {},
  ) {
    const runners = [runnerOf('p1', 'prefill'), runnerOf('d1', 'decode'), runnerOf('d2', 'decode')];
    const first = silentReply(silentMs);
    first.body.once('close', () => this.steps.push('ended'));
    this.retries = retries;
    this.exchange = exchangeInto(this.out, promptRequest, toRoute);
    this.#context = {
      routingState: openStateOf(runners),
      runners: {
        prefill: async () => {
          if (this.asked.length > 1) await pause(prefillMs);
          return { address: 'p1:80', handle: 'h' };
        },
        decode: async () => {
          this.#sent += 1;
          this.steps.push('sent');
          return this.#sent === 1 ? first : replyOf(200, eventsOf(3, 4));
        },
        freeCache: async () => this.steps.push('freed'),
      },
      reservations: {
        reserve: async (_service: string, demand: LocalDemand) => {
          this.asked.push(demand);
          if (this.asked.length === 1) return { prefill, decode: 'd1' };
          this.steps.push('asked');
          return onAsked();
        },
        assign: async () => (this.asked.length === 1 ? 'd1' : 'd2'),
        reportProgress: (_service: string, { id, kind, blame }: ProgressReport) => {
          if (kind === 'released') this.steps.push(`released ${id}${blame ? ` for ${blame}` : ''}`);
        },
      },
      runs: runsOf(this.quarantine, directPaths, unansweredChecks, retries),
      paths: directPaths,
      quotas: unlimitedQuotas,
      permits: unlimitedPermits,
      origins: unrecordedOrigins,
      retries,
      ...change,
    } as unknown as ModelContext;
  }

  /** Serves the stream to its end. */
  async serve(): Promise<this> {
    await new ModelHandler(this.#context).run(this.exchange, streamEngine);
    return this;
  }

  /** Number of runs that were sent. */
  get runs(): number {
    return this.#sent;
  }
}

const granted = async (): Promise<Grant> => ({ prefill: undefined, decode: 'd2' });

const refused = async (): Promise<Grant> => {
  throw new Failure('deadlineUnreachable', 'no reservation in time', { retryAfterMs: 300 });
};

/** An owner that does not answer. */
const unanswered = async (): Promise<Grant> => {
  await pause(200);
  throw new Failure('noOwner', '4 owners did not answer', { retryAfterMs: 300 });
};

describe('a stream whose sound runner is silent for longer than a check waits', () => {
  // Guards against a stream that ends because its run was given up before another one was certain.
  test('is whole although the budget allows no prefill and the owner refuses its run', async () => {
    const options = { prefill: 'p1', retries: retriesOf(1) };
    const { out, asked, runs } = await new SilentStream(1500, refused, options).serve();
    expect({ out, runs, isLocal: asked[1]?.prefillsLocally }).toEqual({
      out: inTurn,
      runs: 1,
      isLocal: true,
    });
  });

  // Guards against the same while the owner does not answer.
  test('is whole although the owner is silent', async () => {
    const { out, runs } = await new SilentStream(1500, unanswered).serve();
    expect({ out, runs }).toEqual({ out: inTurn, runs: 1 });
  });

  // Guards against the same while no other runner has the version of the stream.
  test('is whole although no other runner has its version', async () => {
    const runners = [runnerOf('d1', 'decode'), runnerOf('d2', 'decode', { version: 'v2' })];
    // An owner of an earlier version plans without versions.
    const onAsked = jest.fn().mockImplementationOnce(granted).mockImplementation(refused);
    const routingState = openStateOf(runners) as ModelContext['routingState'];
    const { out, runs } = await new SilentStream(1500, onAsked, { routingState }).serve();
    expect({ out, runs }).toEqual({ out: inTurn, runs: 1 });
  });

  // Guards against the same after the quota of its customer is used up.
  test('is whole although the quota is used up', async () => {
    const cover = jest
      .fn()
      .mockResolvedValueOnce(undefined)
      .mockResolvedValue(new Failure('overQuota', 'over the quota'));
    const { out, runs } = await new SilentStream(1500, granted, { quotas: { cover } }).serve();
    expect({ out, runs }).toEqual({ out: inTurn, runs: 1 });
    expect(cover.mock.calls.length).toBeGreaterThan(1);
  });

  // Guards against the same where what was prepared may not be sent any more.
  test('is whole although the other runner takes no requests once its run is prepared', async () => {
    const state = openStateOf([runnerOf('d1', 'decode'), runnerOf('d2', 'decode')]);
    const accepts = ({ id }: Runner): boolean => id !== 'd2';
    const routingState = { ...state, accepts: (_now: number, one: Runner) => accepts(one) };
    const options = { routingState: routingState as ModelContext['routingState'] };
    const { out, runs, steps } = await new SilentStream(1500, granted, options).serve();
    expect({ out, runs }).toEqual({ out: inTurn, runs: 1 });
    expect(steps.filter((step) => step === 'asked').length).toBe(
      steps.filter((step) => step.startsWith('released')).length - 1,
    );
  });

  // Guards against a second run for a silence that callers with more patience do not mind.
  test('keeps its run while its callers wait longer', async () => {
    const toRoute = { ...route, patienceMs: 3600 };
    const { out, steps } = await new SilentStream(1600, granted, { toRoute }).serve();
    expect({ out, steps }).toEqual({ out: inTurn, steps: ['sent', 'ended', 'released q/1'] });
  });

  // Guards against two runs of one stream, and against capacity and repeats that are kept for nothing.
  test.each<readonly [string, number, number, readonly string[]]>([
    ['its owner decides', 500, 0, []],
    ['its prompt is prefilled', 0, 500, ['freed']],
  ])('goes on by itself while %s for another run', async (_, ownerMs, prefillMs, freed) => {
    const onAsked = async (): Promise<Grant> => {
      await pause(ownerMs);
      return { prefill: 'p1', decode: 'd2' };
    };
    const options = { prefill: 'p1', prefillMs, retries: retriesOf(2) };
    const stream = await new SilentStream(1200, onAsked, options).serve();
    await pause(400);
    expect({ out: stream.out, steps: stream.steps }).toEqual({
      out: inTurn,
      steps: ['sent', 'asked', 'ended', 'released q/1', ...freed, 'released q/2'],
    });
    expect(stream.exchange.arrivals.held).toBe(0);
  });

  // Guards against repeats that stay set aside after the request, until the budget allows none.
  test('leaves nothing set aside when it ends while its prompt is prefilled elsewhere', async () => {
    const retries = retriesOf(1);
    const onAsked = async (): Promise<Grant> => ({ prefill: 'p1', decode: 'd2' });
    const stream = new SilentStream(1200, onAsked, { retries, prefillMs: 500 });
    const { out, exchange } = await stream.serve();
    retries.settle(exchange);
    await pause(500);
    const next = exchangeInto([]);
    next.arrivals.add('run', next.arrivals.costOf('run'));
    expect({ out, isAllowed: retries.holdRun(performance.now(), next) }).toEqual({
      out: inTurn,
      isAllowed: true,
    });
  });

  // Guards against taking this VM, which does not read while the caller does not, for a silent runner.
  test('is whole although its caller reads slowly', async () => {
    const stream = new SilentStream(100, granted);
    const { exchange } = stream;
    const write = exchange.write.bind(exchange);
    exchange.write = async (chunk) => {
      await write(chunk);
      await pause(2200);
    };
    const { out, runs, asked } = await stream.serve();
    expect({ out, runs, asked: asked.length }).toEqual({ out: inTurn, runs: 1, asked: 1 });
  });

  // Guards against an end of a run that nothing can follow.
  test.each([
    ['may not be resumed', { ...route, resumable: false }],
    ['has no attempt left', { ...route, attempts: 1 }],
  ])('is whole if it %s', async (_, toRoute) => {
    const { out, asked, runs } = await new SilentStream(1600, granted, { toRoute }).serve();
    expect({ out, runs, asked: asked.length }).toEqual({ out: inTurn, runs: 1, asked: 1 });
  });
});

describe('a stream whose runner stays silent', () => {
  // Guards against callers that leave, two runs at work, and the blame for a runner that may be sound.
  test('is sent to another runner once that is prepared, within the patience of its callers', async () => {
    const startedAt = performance.now();
    const stream = await new SilentStream(9000, granted).serve();
    expect({ out: stream.out, steps: stream.steps }).toEqual({
      out: inTurn,
      steps: ['sent', 'asked', 'ended', 'released q/1', 'sent', 'released q/2'],
    });
    expect(performance.now() - startedAt).toBeLessThan(route.patienceMs);
    expect(stream.quarantine.crashCount(stream.exchange.fingerprint)).toBe(0);
  });

  // Guards against callers that wait for a runner that certainly ended.
  test.each([
    ['a check shows that', 'gone', ['d1', 'd2']],
    ['it does not answer and is not listed any more', 'unknown', ['d2']],
  ] as const)('is sent to another one at once if it is gone: %s', async (_, state, listed) => {
    const toRoute = { ...route, patienceMs: 3600 };
    const runs = runsOf(quarantineOf(), directPaths, checksOf(state));
    const all = openStateOf([runnerOf('d1', 'decode'), runnerOf('d2', 'decode')]);
    const later = openStateOf(listed.map((id) => runnerOf(id, 'decode')));
    const routingState = { ...all, runnersOf: later.runnersOf } as ModelContext['routingState'];
    const startedAt = performance.now();
    const stream = new SilentStream(9000, granted, { toRoute, runs, routingState });
    expect((await stream.serve()).out).toEqual(inTurn);
    expect(performance.now() - startedAt).toBeLessThan(1000);
  });

  // Guards against an owner that is flooded when a runner with many streams falls silent.
  test('asks for another run ever less often, and at other times than other streams', async () => {
    const askedAt: number[] = [];
    const onAsked = async (): Promise<Grant> => {
      askedAt.push(performance.now());
      return refused();
    };
    const streams = Array.from({ length: 64 }, () => new SilentStream(4000, onAsked));
    const startedAt = performance.now();
    await Promise.all(streams.map((stream) => stream.serve()));
    expect(new Set(streams.map(({ out }) => out.join()))).toEqual(new Set([inTurn.join()]));
    // Each asks once at first, and then after at least 50, 100, 200 and 400 ms, and so on.
    expect(askedAt.length).toBeLessThanOrEqual(64 * 11);
    const late = askedAt.filter((at) => at - startedAt > 2000);
    const perTenth = new Map<number, number>();
    for (const at of late) {
      const tenth = Math.floor(at / 100);
      perTenth.set(tenth, (perTenth.get(tenth) ?? 0) + 1);
    }
    expect(Math.max(...perTenth.values())).toBeLessThanOrEqual(32);
  });

  // Guards against streams that take from the budget, all at once, what one of them may use, and against those that ask with the repeat of one that goes on while its owner still decides.
  test.each([
    ['at once', 0, 100],
    ['one after another', 20, 300],
  ])(
    'asks the owner only with a repeat set aside, one stream for each: they go on %s',
    async (_, apartMs, ownerMs) => {
      let waiting = 0;
      let most = 0;
      const onAsked = async (): Promise<Grant> => {
        waiting += 1;
        most = Math.max(most, waiting);
        await pause(ownerMs);
        waiting -= 1;
        return refused();
      };
      const retries = retriesOf(2);
      const streams = Array.from(
        { length: 32 },
        (__, index) => new SilentStream(2500 + index * apartMs, onAsked, { retries }),
      );
      await Promise.all(streams.map((stream) => stream.serve()));
      expect(most).toBe(2);
    },
  );
});
