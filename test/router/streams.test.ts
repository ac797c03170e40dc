import type { Route } from '../../src/core/routing/types';
import type { Exchange } from '../../src/node/router/exchange';
import type { ModelContext } from '../../src/node/router/model';
import { ModelHandler } from '../../src/node/router/model';
import type { DecodeDispatch, Reply } from '../../src/node/router/types';
import {
  CUT,
  brokenReplyOf,
  exchangeInto,
  promptRequest,
  replyOf,
  streamEngine,
  streamRoute,
} from '../fakes/exchange';
import { runnerOf as runner } from '../fakes/runner';
import { noPermits, noQuotas, runsOf } from '../fakes/runs';

const resumable: Route = { ...streamRoute, attempts: 2, resumable: true };

/** Events with the ids from `first` to `last`. */
function eventsOf(first: number, last: number): string {
  const ids = Array.from({ length: last - first + 1 }, (_, index) => first + index);
  return ids.map((id) => `id: ${id}\ndata: token ${id}\n\n`).join('');
}

/** What the caller gets, and which runners were asked to continue after which event. */
interface Stream {
  readonly out: readonly string[];
  readonly sent: readonly string[];
}

/** Drives an exchange through decode runners that give these answers in turn; tells what was sent. */
async function sendTo(replies: readonly Reply[], exchange: Exchange): Promise<readonly string[]> {
  const runners = replies.map((_, index) => runner(`d${index + 1}`, 'decode'));
  const sent: string[] = [];
  const context = {
    knowledge: { runnersOf: () => runners },
    runners: {
      decode: async ({ runner: { id }, afterEvent }: DecodeDispatch) => {
        sent.push(`${id} after ${afterEvent ?? 'none'}`);
        return replies[sent.length - 1];
      },
    },
    places: { ask: async () => ({ decode: `d${sent.length + 1}` }), note: () => {} },
    runs: runsOf(),
    quotas: noQuotas,
    permits: noPermits,
    mayRepeat: () => true,
  } as unknown as ModelContext;
  await new ModelHandler(context).run(exchange, streamEngine);
  return sent;
}

/** What a caller gets from decode runners that give these answers in turn. */
async function streamOf(replies: readonly Reply[], route = resumable): Promise<Stream> {
  const out: string[] = [];
  const sent = await sendTo(replies, exchangeInto(out, promptRequest, route));
  return { out, sent };
}

describe('a stream that continues at another runner', () => {
  test('is whole once a run with the same status ends whole', async () => {
    const replies = [
      brokenReplyOf(200, `${eventsOf(1, 2)}id: 3\nda`),
      replyOf(200, eventsOf(3, 4)),
    ];
    expect(await streamOf(replies)).toMatchInlineSnapshot(`
     {
       "out": [
         "200",
         "id: 1
     data: token 1

     id: 2
     data: token 2

     ",
         "id: 3
     data: token 3

     id: 4
     data: token 4

     ",
       ],
       "sent": [
         "d1 after none",
         "d2 after 2",
       ],
     }
    `);
  });

  // Guards against a stream that is framed as complete although the run that continued it failed.
  test('is cut when that runner answers with another status', async () => {
    const streams = [500, 404, 204].map((status) =>
      streamOf([brokenReplyOf(200, eventsOf(1, 2)), replyOf(status, '')]),
    );
    const outs = (await Promise.all(streams)).map(({ out }) => out);
    expect(outs).toEqual(Array(3).fill(['200', eventsOf(1, 2), CUT]));
  });
});

describe('a run that is to continue a stream', () => {
  // Guards against events that the caller gets twice, and ids that go back.
  test('is given up for another one when it begins before the last event', async () => {
    const replies = [
      brokenReplyOf(200, eventsOf(1, 3)),
      replyOf(200, eventsOf(1, 5)),
      replyOf(200, eventsOf(4, 5)),
    ];
    const { out, sent } = await streamOf(replies, { ...resumable, attempts: 3 });
    expect(out).toEqual(['200', eventsOf(1, 3), eventsOf(4, 5)]);
    expect(sent).toEqual(['d1 after none', 'd2 after 3', 'd3 after 3']);
  });
});

describe('a run that does not show that it continues its stream', () => {
  const named = (id: string): string => `id: ${id}\ndata: token ${id}\n\n`;

  // Guards against the end of a run that continued nothing, taken for the end of the stream.
  test.each([
    ['has a body without events', replyOf(200, '{"error":"no session"}')],
    ['has half an event', replyOf(200, 'id: 3\nda')],
    ['closes before any event', { ...replyOf(200, '', 'close'), isEvents: true }],
    ['has events without ids', replyOf(200, 'data: token 1\n\n')],
  ])('leaves it incomplete: it %s', async (_, reply) => {
    const { out } = await streamOf([brokenReplyOf(200, eventsOf(1, 2)), reply]);
    expect(out).toEqual(['200', eventsOf(1, 2), CUT]);
  });

  // Guards against events that come twice where ids are names.
  test('leaves it incomplete: it begins anew with the first name', async () => {
    const first = named('a') + named('b');
    const { out } = await streamOf([brokenReplyOf(200, first), replyOf(200, first + named('c'))]);
    expect(out).toEqual(['200', first, CUT]);
  });

  // Guards against a run that goes on at its runner beside the one that continues the stream.
  test('is ended before another one is asked', async () => {
    const strayed = replyOf(200, eventsOf(1, 2));
    const replies = [brokenReplyOf(200, eventsOf(1, 2)), strayed, replyOf(200, eventsOf(3, 3))];
    const { out } = await streamOf(replies, { ...resumable, attempts: 3 });
    expect(out).toEqual(['200', eventsOf(1, 2), eventsOf(3, 3)]);
    expect(strayed.body.destroyed).toBe(true);
  });
});

describe('a caller that cannot be given the head of a stream', () => {
  // Guards against events that are missing: they counted as given, and another runner continued behind them.
  test('is given none of its events by another runner', async () => {
    const out: string[] = [];
    const exchange = exchangeInto(out, promptRequest, resumable);
    exchange.writeHead = () => {
      throw new TypeError('invalid character in header');
    };
    const replies = [replyOf(200, eventsOf(1, 2)), replyOf(200, eventsOf(3, 3))];
    expect(await sendTo(replies, exchange)).toEqual(['d1 after none']);
    expect(out[0]).toBe('500');
  });
});

describe('a stream whose last event has no id', () => {
  // Guards against events that come twice: no runner can be told where to continue.
  test('is cut when its run breaks off', async () => {
    const replies = [
      brokenReplyOf(200, `${eventsOf(1, 1)}data: token 2\n\n`),
      replyOf(200, `data: token 2\n\n${eventsOf(3, 3)}`),
    ];
    const { out, sent } = await streamOf(replies);
    expect(sent).toEqual(['d1 after none']);
    expect(out).toEqual(['200', `${eventsOf(1, 1)}data: token 2\n\n`, CUT]);
  });

  test('continues elsewhere if that was a comment', async () => {
    const replies = [
      brokenReplyOf(200, `${eventsOf(1, 1)}: still here\n\n`),
      replyOf(200, eventsOf(2, 2)),
    ];
    expect((await streamOf(replies)).sent).toEqual(['d1 after none', 'd2 after 1']);
  });
});

describe('an answer that ends with its connection', () => {
  // Guards against half an event at the end of a stream that looks complete.
  test('is broken when it ends within an event', async () => {
    const torn = `${eventsOf(1, 2)}id: 3\nda`;
    const replies = [replyOf(200, torn, 'close'), replyOf(200, eventsOf(3, 3))];
    expect((await streamOf(replies)).out).toEqual(['200', eventsOf(1, 2), eventsOf(3, 3)]);
    expect((await streamOf([replyOf(200, torn, 'close')], streamRoute)).out).toEqual([
      '200',
      eventsOf(1, 2),
      CUT,
    ]);
  });

  test('is whole when it ends between events, and is passed on as it is where it has none', async () => {
    const events = await streamOf([replyOf(200, eventsOf(1, 2), 'close')]);
    expect(events.out).toEqual(['200', eventsOf(1, 2)]);
    const text = await streamOf([replyOf(200, '{"text":"whole"}', 'close')]);
    expect(text.out).toEqual(['200', '{"text":"whole"}']);
  });
});

describe('a runner that answers with a failure', () => {
  // Guards against the failure's body going out as events before the request is sent to another runner.
  test('is passed over for another one, whatever its body holds', async () => {
    const replies = [replyOf(500, 'out of memory\n\nat step 3\n\n'), replyOf(200, eventsOf(1, 1))];
    expect((await streamOf(replies)).out).toEqual(['200', eventsOf(1, 1)]);
  });

  test('has its answer passed on whole if no other is left', async () => {
    const body = 'out of memory\n\nat step 3';
    const { out } = await streamOf([replyOf(500, body)], streamRoute);
    expect(out.join(' ')).toBe(`500 ${body}`);
  });
});
