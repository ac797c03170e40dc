import type { IncomingMessage } from 'node:http';

import { rateNoticeOf } from '../../src/platform/ratelimit';

const noticeOf = (value: string | undefined): unknown =>
  rateNoticeOf({ headers: { 'server-limit': value } } as unknown as IncomingMessage);

describe('the rate limit in a response', () => {
  test.each([
    ['1.4', 1.4],
    ['0', 0],
    ['0.01', 0.01],
    [' 25 ', 25],
    ['.5', 0.5],
  ])('is decoded: %j', (value, ratePerS) => {
    expect(noticeOf(value)).toEqual({ kind: 'limited', ratePerS });
  });

  test('is none if the header is missing', () => {
    expect(noticeOf(undefined)).toEqual({ kind: 'none' });
  });

  /* Node joins a header that occurs twice with a comma. */
  test.each(['', '-1', '1e3', 'Infinity', 'NaN', '1.4, 2', '1,4', '0x10', '9'.repeat(400)])(
    'is unreadable if the value is not a decimal number: %j',
    (value) => {
      expect(noticeOf(value)).toEqual({ kind: 'unreadable', text: value.slice(0, 40) });
    },
  );
});
