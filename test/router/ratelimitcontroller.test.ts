import type { Runner } from '../../src/core/routing/types';
import type { Reply } from '../../src/node/router/types';
import { replyOf } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import { rateLimitsOf } from '../fakes/runs';

const limited: Reply = {
  ...replyOf(200, ''),
  rateNotice: { kind: 'limited', ratePerS: 1.4 },
};

/** Whether a runner that named a limit still has it after one more answer. */
function holdsAfter(change: Partial<Reply>, role: Runner['role'] = 'plain'): boolean {
  const desk = rateLimitsOf();
  const runner = runnerOf('a', role);
  desk.replied(10, runner, 0, limited);
  desk.replied(30, runner, 20, { ...replyOf(200, ''), ...change });
  desk.stop();
  return desk.ratePerS('a') !== undefined;
}

describe('the rate limit of a runner', () => {
  /* Some answers may lack it though it holds: rejections, failures, and what is not the runner's own. */
  test.each<readonly [string, Partial<Reply>]>([
    ['failed', { status: 500 }],
    ['rejected the request', { status: 429, notRun: true }],
    ['is not its own', { genuine: false }],
    ['is that of another start', { status: 421, misdirected: true, notRun: true }],
    ['names no number', { rateNotice: { kind: 'unreadable', text: '-1' } }],
  ])('holds after an answer that %s', (_, change) => {
    expect(holdsAfter(change)).toBe(true);
  });

  test('ends with an answer of its own that names none', () => {
    expect(holdsAfter({})).toBe(false);
    expect(holdsAfter({ status: 404 })).toBe(false);
  });

  /* Answers to prefills are not for callers and may bear no signature: by these, its limit would never end. */
  test('ends with a prefill that names none', () => {
    expect(holdsAfter({ genuine: false }, 'prefill')).toBe(false);
    expect(holdsAfter({ genuine: false, status: 503 }, 'prefill')).toBe(true);
  });
});
