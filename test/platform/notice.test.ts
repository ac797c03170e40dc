import type { IncomingMessage } from 'node:http';

import { noticeOf } from '../../src/platform/notice';

const DATE = 'Wed, 02 Dec 2026 10:00:00 GMT';

/** A response as Node decodes it. */
function messageOf(
  statusCode: number,
  headersDistinct: Readonly<Record<string, readonly string[]>>,
  date?: string,
): IncomingMessage {
  const [leaving, retryAfter] = [headersDistinct['server-leaving'], headersDistinct['retry-after']];
  const headers = { date, 'server-leaving': leaving?.join(', '), 'retry-after': retryAfter?.[0] };
  return { statusCode, headers, headersDistinct } as unknown as IncomingMessage;
}

const nothing = { leaving: false, backoffMs: undefined, unreadable: [] };

describe('the announcement of a runner that it leaves', () => {
  test.each([200, 404, 421, 500, 503])('is read from an answer with status %d', (status) => {
    expect(noticeOf(messageOf(status, { 'server-leaving': ['1'] }))).toMatchObject({
      leaving: true,
    });
  });

  test.each([[['1, 1']], [['0', '1']], [[' 1 ']]])('is read from %j', (values) => {
    expect(noticeOf(messageOf(200, { 'server-leaving': values }))).toMatchObject({
      leaving: true,
      unreadable: [],
    });
  });

  test('is not there in an answer without the header, or with 0', () => {
    expect(noticeOf(messageOf(200, {}))).toEqual(nothing);
    expect(noticeOf(messageOf(200, { 'server-leaving': ['0'] }))).toEqual(nothing);
  });

  test.each(['', 'yes', '2', 'true'])('is unreadable if the value is no flag: %j', (value) => {
    expect(noticeOf(messageOf(200, { 'server-leaving': [value] }))).toEqual({
      ...nothing,
      unreadable: [`server-leaving: ${value}`],
    });
  });
});

describe('the time for which a runner wants no requests', () => {
  test.each([
    [['3'], 3000],
    [['0.25'], 250],
    [[`1${'0'.repeat(300)}`], 8.64e15],
    [['0'], 0],
    [[' 7 '], 7000],
    [['99999999'], 99_999_999_000],
    [['1', '4'], 4000],
    [['x', '2'], 2000],
  ])('is read from a rejection: %j', (values, backoffMs) => {
    expect(noticeOf(messageOf(503, { 'retry-after': values }))).toMatchObject({ backoffMs });
    expect(noticeOf(messageOf(429, { 'retry-after': values }))).toMatchObject({ backoffMs });
  });

  /* The clocks of VM and runner may differ by minutes. */
  test('may be a date, which counts from the date of the answer', () => {
    const later = 'Wed, 02 Dec 2026 10:00:05 GMT';
    const earlier = 'Wed, 02 Dec 2026 09:59:00 GMT';
    expect(noticeOf(messageOf(503, { 'retry-after': [later] }, DATE)).backoffMs).toBe(5000);
    expect(noticeOf(messageOf(503, { 'retry-after': [earlier] }, DATE)).backoffMs).toBe(0);
    expect(noticeOf(messageOf(503, { 'retry-after': [later] })).backoffMs).toBeUndefined();
  });

  test.each(['', '-1', '1e3', 'soon', '3, 5', '9'.repeat(400)])(
    'is unreadable if the value is neither a number of seconds nor a date: %j',
    (value) => {
      expect(noticeOf(messageOf(503, { 'retry-after': [value] }, DATE))).toEqual({
        ...nothing,
        unreadable: [`retry-after: ${value.slice(0, 40)}`],
      });
    },
  );

  test('is not read from other answers', () => {
    expect(noticeOf(messageOf(200, { 'retry-after': ['3'] }))).toEqual(nothing);
    expect(noticeOf(messageOf(500, { 'retry-after': ['3'] }))).toEqual(nothing);
  });
});
