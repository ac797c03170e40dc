import fc from 'fast-check';

import type { Framing } from '../../src/core/stream/answer';
import { AnswerStream } from '../../src/core/stream/answer';
import { EventOrder } from '../../src/core/stream/order';

const eventOf = (id: number): string => `id: ${id}\ndata: token ${id}\n\n`;
const eventsOf = (first: number, last: number): string =>
  Array.from({ length: Math.max(0, last - first + 1) }, (_, i) => eventOf(first + i)).join('');

/** The ids of some runs, each up to the first one that is out of order. */
function followed(...idsOfRuns: readonly (readonly string[])[]): readonly string[] {
  const order = new EventOrder();
  return idsOfRuns.flatMap((ids) => {
    const faults = ids.map((id, i) => order.next(id, i === 0));
    const end = faults.findIndex((fault) => fault !== undefined);
    return end < 0 ? ids : [...ids.slice(0, end), `fault: ${faults[end]}`];
  });
}

describe('the order of events', () => {
  test.each([
    ['rise', ['1', '2'], ['3', '4']],
    ['go back', ['1', '2', '3'], ['2']],
    ['repeat the last', ['1', '2'], ['2']],
    ['leave one out between runs', ['1', '2'], ['4']],
    ['leave some out where that is usual', ['10', '20'], ['30']],
    ['rise in steps from the first', ['7'], ['14', '21']],
    ['are long and go back', ['1700000000000000002'], ['1700000000000000001']],
    ['are names that start again', ['a', 'b'], ['a', 'b']],
    ['are names', ['a', 'b'], ['d', 'c']],
    ['are one name in each run', ['a', 'a'], ['b', 'b']],
  ])('of ids that %s', (_, first, second) => {
    expect(followed(first, second)).toMatchSnapshot();
  });
});

/** Behaviour of a run that is asked to continue after the last event. */
const runs = fc.array(
  fc.record({
    status: fc.constantFrom(200, 200, 200, 500),
    /** Offset of its first event from the next expected one. */
    shift: fc.constantFrom(0, 0, 0, -1, -2, 1),
    events: fc.nat(6),
    tornBytes: fc.nat(12),
    chunkBytes: fc.integer({ min: 1, max: 40 }),
    arrives: fc.boolean(),
    /** Whether only the close of the connection marks the end, also of an answer that breaks off within an event or before any. */
    closes: fc.boolean(),
  }),
  { minLength: 1, maxLength: 5 },
);

describe('a stream of several runs', () => {
  const TOTAL = 12;

  // Guards against missing, repeated and reordered events, and against a stream that is complete too early.
  test('has each event once and in order, and is complete only after the last', () => {
    fc.assert(
      fc.property(runs, (plan) => {
        const stream = new AnswerStream();
        let out = '';
        for (const { status, shift, events, tornBytes, chunkBytes, arrives, closes } of plan) {
          const due = Number(stream.lastId ?? 0) + 1;
          // A run that has nothing to add is indistinguishable from one that omits the rest, and a single
          // id does not show by how much ids rise.
          const most = stream.events < 2 ? due : Math.max(due, TOTAL);
          const from = stream.events === 0 ? 1 : Math.max(1, Math.min(due + shift, most));
          const last = arrives ? TOTAL : Math.min(TOTAL, from + events - 1);
          const torn = arrives ? '' : eventOf(last + 1).slice(0, tornBytes);
          const bytes = Buffer.from(status === 200 ? eventsOf(from, last) + torn : '');
          stream.begin({ status, framing: closes ? 'close' : 'chunked', isEvents: true });
          for (let at = 0; at < bytes.length; at += chunkBytes) {
            out += stream.push(bytes.subarray(at, at + chunkBytes)).toString();
          }
          stream.end(arrives || (closes && (torn !== '' || last < from)));
          expect(out).toBe(eventsOf(1, stream.events));
          if (!stream.fault) {
            expect(stream.events).toBe(status === 200 ? TOTAL : 0);
            return;
          }
        }
      }),
      { seed: 34, numRuns: 2000 },
    );
  });
});

describe('a stream of one run', () => {
  const streamOf = (text: string, framing: Framing = 'chunked'): AnswerStream => {
    const stream = new AnswerStream();
    stream.begin({ status: 200, framing, isEvents: true });
    stream.push(Buffer.from(text));
    stream.end(true);
    return stream;
  };

  // Guards against a complete answer that is treated as truncated.
  test('is complete with an empty line at its end', () => {
    expect(streamOf(`${eventsOf(1, 2)}\n`, 'close').fault).toBeUndefined();
  });

  // Guards against a stream that is ended although another run could continue it.
  test.each([': still here\n\n', 'retry: 100\n\n', '\n\n'])(
    'can be continued after the block %j, which is not an event',
    (block) => {
      const { canContinue, events, lastId } = streamOf(eventsOf(1, 2) + block);
      expect({ canContinue, events, lastId }).toEqual({
        canContinue: true,
        events: 2,
        lastId: '2',
      });
    },
  );

  // Guards against duplicate events: no runner can be asked to continue after an event without an id.
  test.each(['data: x\n\n', ': note\ndata: x\n\n', 'id:\ndata: x\n\n'])(
    'cannot be continued after the event %j, which has no id',
    (event) => {
      expect(streamOf(eventsOf(1, 2) + event).canContinue).toBe(false);
    },
  );
});

describe('bytes without the end of an event', () => {
  /* Guards against the memory of a VM that a runner fills with bytes that never become an event. */
  test('end the answer at a bounded size', () => {
    const stream = new AnswerStream();
    stream.begin({ status: 200, framing: 'close', isEvents: true });
    const sizes: number[] = [];
    const chunk = Buffer.alloc(64 * 1024, 'x');
    while (!stream.fault && sizes.length < 100) {
      stream.push(chunk);
      sizes.push(stream.rest.length / 1024);
    }
    expect({ fault: stream.fault, sizes }).toMatchInlineSnapshot(`
     {
       "fault": "oversized",
       "sizes": [
         64,
         128,
         192,
         256,
         320,
       ],
     }
    `);
  });
});
