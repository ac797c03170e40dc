import { planPolicy } from '../../src/core/memory/policy';
import { FULL_TRUST, afterFailure, afterSuccess } from '../../src/core/memory/trust';
import { PaceMonitor } from '../../src/node/router/pace';

describe('trust in a runner', () => {
  /*
   * A runner fails half of its requests and says that it is healthy. Counting
   * failures in a row would never find it; it must spend most of its time without work.
   */
  test('keeps most work off a runner that fails every second request', () => {
    let trust = FULL_TRUST;
    let now = 0;
    let given = 0;
    while (now < 20_000) {
      if (now >= trust.avoidUntil) {
        given += 1;
        trust =
          given % 2 === 0
            ? afterFailure(planPolicy.trust, now, trust)
            : afterSuccess(planPolicy.trust, trust);
      }
      now += 100;
    }
    expect(given).toBeLessThan(70);
  });

  test('is whole again soon after one bad end', () => {
    const trust = afterFailure(planPolicy.trust, 1000, FULL_TRUST);
    expect(trust.avoidUntil).toBe(1400);
    expect(afterSuccess(planPolicy.trust, afterSuccess(planPolicy.trust, trust)).strikes).toBe(
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
      (before, now) => afterFailure(planPolicy.trust, now, before),
      FULL_TRUST,
    );
    expect(trust).toEqual({ strikes: 1, avoidUntil: 1400 });
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
