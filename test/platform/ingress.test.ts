import type { IncomingMessage } from 'node:http';

import type { CallRequest, Continuation } from '../../src/node/router/types';
import { PlatformIngress } from '../../src/platform/ingress';

/** A request with these headers. */
function decode(headers: Readonly<Record<string, string>>): CallRequest {
  const all = { 'request-id': 'q', ...headers };
  const message = { headers: all, rawHeaders: Object.entries(all).flat() };
  return new PlatformIngress().decode(
    message as unknown as IncomingMessage,
    Buffer.alloc(0),
    false,
  );
}

/** What a request with these headers continues. */
function continuationOf(headers: Readonly<Record<string, string>>): Continuation | undefined {
  return decode(headers).continues;
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

describe('the numbers of a request', () => {
  // Guards against a request that is refused since no message carries its estimate, and a deadline that runners cannot read.
  test('are bounded to what messages and runners take', () => {
    const headers = {
      'length-hint': '1e300',
      'request-deadline-ms': '1e300',
      'token-usage': '100,50',
    };
    const { usage, deadlineMs } = decode(headers);
    expect([usage?.hintTokens, deadlineMs]).toEqual([1e9, 2_147_483_647]);
  });
});

describe('the parts of a prompt', () => {
  test.each([
    ['in order', '5c1e07a2:800,91bd3f06:410,e4402b7d:250', ['5c1e07a2', '91bd3f06', 'e4402b7d']],
    ['whatever their case and tokens', '5C1E07A2:800, 91bd3f06', ['5c1e07a2', '91bd3f06']],
    ['without empty ids', ':800,,a:1,', ['a']],
    ['none', '', []],
    ['with their first 64 characters', `${'a'.repeat(65)}:1`, ['a'.repeat(64)]],
  ])('are read %s', (_, header, expected) => {
    expect(decode({ 'prompt-prefix': header }).promptParts).toEqual(expected);
  });
});
