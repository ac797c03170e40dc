import { planPolicy } from '../../src/core/memory/policy';
import { NO_FAILURES, afterFailure, afterSuccess } from '../../src/core/memory/ejection';
import { PaceMonitor } from '../../src/node/router/pace';

describe('the failure score of a runner', () => {
  /*
   * A runner fails half of its requests while its health checks pass. Counting consecutive failures
   * would never detect it; it must be ejected most of the time.
   */
  test('ejects a runner that fails every second request most of the time', () => {
    let score = NO_FAILURES;
    let now = 0;
    let given = 0;
    while (now < 20_000) {
      if (now >= score.ejectedUntil) {
        given += 1;
        score =
          given % 2 === 0
            ? afterFailure(planPolicy.ejection, now, score)
            : afterSuccess(planPolicy.ejection, score);
      }
      now += 100;
    }
    expect(given).toBeLessThan(70);
  });

  test('recovers soon after one failure', () => {
    const score = afterFailure(planPolicy.ejection, 1000, NO_FAILURES);
    expect(score.ejectedUntil).toBe(1400);
    expect(
      afterSuccess(planPolicy.ejection, afterSuccess(planPolicy.ejection, score)).failures,
    ).toBe(0.25);
  });

  /*
   * A decode runner prefills a long prompt between its tokens, and all of its ten streams slow down
   * and are reported at once. It is one event: the runner must return after the ejection time of
   * one failure, not of ten.
   */
  test('counts simultaneous failures as one', () => {
    const together = Array.from({ length: 10 }, (_, i) => 1000 + i * 10);
    const score = together.reduce(
      (before, now) => afterFailure(planPolicy.ejection, now, before),
      NO_FAILURES,
    );
    expect(score).toEqual({ failures: 1, ejectedUntil: 1400 });
  });
});

describe('the pace of a stream', () => {
  test('is reported as slow once, by its mean pause', () => {
    const pace = new PaceMonitor(300);
    const reports = Array.from({ length: 13 }, (_, i) => pace.observe(i * 400, i));
    expect(reports.filter(Boolean).length).toBe(1);
  });

  test('is not reported as slow for one pause', () => {
    const pace = new PaceMonitor(300);
    const times = [0, 50, 100, 450, 500, 550, 600, 650, 700];
    expect(times.map((at, i) => pace.observe(at, i))).not.toContain(true);
  });
});
