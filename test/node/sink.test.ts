import type { Failure } from '../../src/core/failure';
import type { Sink } from '../../src/node/gateway/sink';
import { DeduplicatingSink } from '../../src/node/gateway/sink';

/** A sink that notes what it is told. */
function sinkInto(out: string[]): Sink {
  return {
    token: (offset, text) => out.push(`${offset} ${text}`),
    end: (tokens) => out.push(`end ${tokens}`),
    fail: ({ codeName }: Failure) => out.push(`fail ${codeName}`),
  };
}

describe('a reader that moves from a broken run to another one', () => {
  // Guards against the end of a shorter run taken for the end of the longer one whose tokens are out.
  test('is not told that its answer is whole when the other run ends before the tokens that it has', () => {
    const out: string[] = [];
    const sink = new DeduplicatingSink(sinkInto(out));
    ['a', 'b', 'c'].forEach((text, offset) => sink.token(offset, text));
    sink.token(0, 'x');
    sink.end(1);
    expect(out).toEqual(['0 a', '1 b', '2 c', expect.stringMatching(/^fail/)]);
  });

  // Guards against an answer that ends as whole although tokens in its middle never came.
  test('is not told that its answer is whole when tokens were left out', () => {
    const out: string[] = [];
    const sink = new DeduplicatingSink(sinkInto(out));
    sink.token(0, 'a');
    sink.token(2, 'c');
    sink.end(3);
    expect(out).toEqual(['0 a', expect.stringMatching(/^fail/)]);
  });
});
