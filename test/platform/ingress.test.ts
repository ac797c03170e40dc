import type { IncomingMessage } from 'node:http';

import type { Continuation } from '../../src/node/router/types';
import { PlatformIngress } from '../../src/platform/ingress';

/** What a request with these headers continues. */
function continuationOf(headers: Readonly<Record<string, string>>): Continuation | undefined {
  const all = { 'request-id': 'q', ...headers };
  const message = { headers: all, rawHeaders: Object.entries(all).flat() };
  return new PlatformIngress().decode(message as unknown as IncomingMessage, Buffer.alloc(0), false)
    .continues;
}

describe('a request that continues a stream', () => {
  test('names the request that began it and the last event', () => {
    expect(continuationOf({ resumes: 'a', 'last-event-id': '7' })).toEqual({
      stream: 'a',
      afterEvent: '7',
    });
  });

  test('continues an unknown stream if it names none, or one by no id of a request', () => {
    expect(continuationOf({ 'last-event-id': '7' })).toEqual({
      stream: undefined,
      afterEvent: '7',
    });
    expect(continuationOf({ resumes: 'a'.repeat(201) })).toEqual({
      stream: undefined,
      afterEvent: undefined,
    });
  });

  test('is a new request if these headers are empty', () => {
    expect(continuationOf({ resumes: '', 'last-event-id': '' })).toBeUndefined();
  });
});
