import type { Runner } from '../../src/core/routing/types';
import type { Reply } from '../../src/node/router/types';
import { replyOf } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import { rateLimitsOf } from '../fakes/runs';

const limited: Reply = {
  ...replyOf(200, ''),
  rateNotice: { kind: 'limited', ratePerS: 1.4 },
};

/** Whether a runner that announced a limit still has it after another answer. */
function holdsAfter(change: Partial<Reply>, role: Runner['role'] = 'plain'): boolean {
  const controller = rateLimitsOf();
  const runner = runnerOf('a', role);
  controller.replied(10, runner, 0, limited);
  controller.replied(30, runner, 20, { ...replyOf(200, ''), ...change });
  controller.stop();
  return controller.ratePerS('a') !== undefined;
}

describe('the rate limit of a runner', () => {
  /*
   * Some answers may lack the limit although it holds: rejections, failures, and answers that are
   * not the runner's own.
   */
  test.each<readonly [string, Partial<Reply>]>([
    ['failed', { status: 500 }],
    ['rejected the request', { status: 429, notRun: true }],
    ['is not its own', { genuine: false }],
    ['is that of another instance', { status: 421, misdirected: true, notRun: true }],
    ['contains no number', { rateNotice: { kind: 'unreadable', text: '-1' } }],
  ])('holds after an answer that %s', (_, change) => {
    expect(holdsAfter(change)).toBe(true);
  });

  test('ends with an answer of the runner that contains none', () => {
    expect(holdsAfter({})).toBe(false);
    expect(holdsAfter({ status: 404 })).toBe(false);
  });

  /*
   * Answers to prefills are not passed on to callers and may have no signature. If they did not
   * count, the limit of a prefill runner would never end.
   */
  test('ends with an answer to a prefill that contains none', () => {
    expect(holdsAfter({ genuine: false }, 'prefill')).toBe(false);
    expect(holdsAfter({ genuine: false, status: 503 }, 'prefill')).toBe(true);
  });
});
