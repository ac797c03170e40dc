import type { Failure } from '../../src/core/failure';
import type { Sink } from '../../src/node/gateway/sink';
import { DeduplicatingSink } from '../../src/node/gateway/sink';

/** A sink that records its calls in `out`. */
function sinkInto(out: string[]): Sink {
  return {
    token: (offset, text) => out.push(`${offset} ${text}`),
    end: (tokens) => out.push(`end ${tokens}`),
    fail: ({ codeName }: Failure) => out.push(`fail ${codeName}`),
  };
}

describe('a reader that switches from a broken run to another one', () => {
  // Guards against treating the end of a shorter run as the end of the longer one whose tokens were already sent.
  test('gets a failure when the other run ends before the tokens that were already received', () => {
    const out: string[] = [];
    const sink = new DeduplicatingSink(sinkInto(out));
    ['a', 'b', 'c'].forEach((text, offset) => sink.token(offset, text));
    sink.token(0, 'x');
    sink.end(1);
    expect(out).toEqual(['0 a', '1 b', '2 c', expect.stringMatching(/^fail/)]);
  });

  // Guards against an answer that ends as complete although tokens in its middle are missing.
  test('gets a failure when tokens are missing', () => {
    const out: string[] = [];
    const sink = new DeduplicatingSink(sinkInto(out));
    sink.token(0, 'a');
    sink.token(2, 'c');
    sink.end(3);
    expect(out).toEqual(['0 a', expect.stringMatching(/^fail/)]);
  });
});
