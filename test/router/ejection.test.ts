import { planPolicy } from '../../src/core/memory/policy';
import { NO_FAILURES, afterFailure, afterSuccess } from '../../src/core/memory/ejection';
import { PaceMonitor } from '../../src/node/router/pace';

describe('trust in a runner', () => {
  /*
   * A runner fails half of its requests and says that it is healthy. Counting
   * failures in a row would never find it; it must spend most of its time without work.
   */
  test('keeps most work off a runner that fails every second request', () => {
    let trust = NO_FAILURES;
    let now = 0;
    let given = 0;
    while (now < 20_000) {
      if (now >= trust.ejectedUntil) {
        given += 1;
        trust =
          given % 2 === 0
            ? afterFailure(planPolicy.ejection, now, trust)
            : afterSuccess(planPolicy.ejection, trust);
      }
      now += 100;
    }
    expect(given).toBeLessThan(70);
  });

  test('is whole again soon after one bad end', () => {
    const trust = afterFailure(planPolicy.ejection, 1000, NO_FAILURES);
    expect(trust.ejectedUntil).toBe(1400);
    expect(afterSuccess(planPolicy.ejection, afterSuccess(planPolicy.ejection, trust)).failures).toBe(
      0.25,
    );
  });

  /*
   * A decode runner reads a long prompt between its tokens and all of its ten
   * streams slow down at once; each says so. It is one event: the runner is back
   * after the time of one failure, not after that of ten.
   */
  test('counts failures that come together as one', () => {
    const together = Array.from({ length: 10 }, (_, i) => 1000 + i * 10);
    const trust = together.reduce(
      (before, now) => afterFailure(planPolicy.ejection, now, before),
      NO_FAILURES,
    );
    expect(trust).toEqual({ failures: 1, ejectedUntil: 1400 });
  });
});

describe('the pace of a stream', () => {
  test('is found slow by its mean pause, and said once', () => {
    const pace = new PaceMonitor(300);
    const told = Array.from({ length: 13 }, (_, i) => pace.observe(i * 400, i));
    expect(told.filter(Boolean).length).toBe(1);
  });

  test('is not found slow by one pause', () => {
    const pace = new PaceMonitor(300);
    const times = [0, 50, 100, 450, 500, 550, 600, 650, 700];
    expect(times.map((at, i) => pace.observe(at, i))).not.toContain(true);
  });
});
