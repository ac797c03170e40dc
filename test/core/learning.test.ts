import { RetryBudget } from '../../src/core/cell/budget';
import { RunnerHealth } from '../../src/core/cell/health';
import { LinearCost } from '../../src/core/cell/linear';
import { OutputHistogram } from '../../src/core/cell/outputs';
import { CapacityTracker, freeSlotsOf } from '../../src/core/cell/capacity';
import { RunningQuantile } from '../../src/core/cell/quantile';
import { seeded } from '../fakes/virtual/workload';

describe('learnt estimates', () => {
  /*
   * Many answers start together, and the short ones finish first. An estimate from
   * finished answers alone would be too short, and slots would be expected too early.
   * Including running requests keeps the mean close to the true value.
   */
  test('of output lengths are not biased by short answers that finish first', () => {
    const random = seeded(3);
    const lengths = Array.from({ length: 400 }, () => -Math.log(1 - random()) * 300);
    const histogram = new OutputHistogram(300);
    const horizon = 100;
    for (const length of lengths) {
      histogram.addExposure(0, Math.min(length, horizon));
      if (length <= horizon) histogram.addCompletion(length);
    }
    expect(histogram.mean).toBeGreaterThan(240);
    expect(histogram.mean).toBeLessThan(360);
    expect(histogram.probabilityOfEndWithin(0, 100)).toBeCloseTo(1 - Math.exp(-100 / 300), 1);
  });

  test('of costs are accurate at the observed size', () => {
    const line = new LinearCost(12, 1);
    for (let i = 0; i < 400; i += 1) line.observe(20, 64);
    expect(line.estimate(20)).toBeCloseTo(64, 0);
    expect(Math.floor(line.maxSizeWithin(64.5))).toBe(20);
  });

  test('of a quantile converge to it', () => {
    const random = seeded(5);
    const quantile = new RunningQuantile(0.9, 0.02, 0);
    for (let i = 0; i < 20_000; i += 1) quantile.observe(random());
    expect(quantile.value).toBeGreaterThan(0.85);
    expect(quantile.value).toBeLessThan(0.95);
  });
});

describe('a retry budget', () => {
  test('grows with first attempts and is spent by retries', () => {
    const budget = new RetryBudget();
    const spent = (): number =>
      Array.from({ length: 50 }, () => budget.spend('a')).filter(Boolean).length;
    expect(spent()).toBe(10);
    for (let i = 0; i < 25; i += 1) budget.earn('a');
    expect(spent()).toBe(5);
    expect(budget.spend('b')).toBe(true);
  });
});

describe('runner health', () => {
  test('ejects a runner after consecutive failures, probes it once and readmits it after a success', () => {
    const health = new RunnerHealth();
    health.setPoolSize(4);
    for (let i = 0; i < 3; i += 1) health.recordFailure(0, 'a');
    const seen = [health.allows(10, 'a'), health.allows(1000, 'a')];
    health.recordDispatch(1000, 'a');
    seen.push(health.allows(1001, 'a'));
    health.recordSuccess('a');
    seen.push(health.allows(1002, 'a'));
    expect(seen).toEqual([false, true, false, true]);
  });

  /* Ten requests time out in one silence of a sound runner; each of them doubled its ejection, to 30 s. */
  test('is not ejected for longer by requests that fail together', () => {
    const health = new RunnerHealth();
    health.setPoolSize(4);
    for (let i = 0; i < 10; i += 1) health.recordFailure(i, 'a');
    expect([health.allows(900, 'a'), health.allows(1100, 'a')]).toEqual([false, true]);
  });

  /* A whole failure domain fails. Ejecting the whole pool would turn a partial failure into a total one. */
  test('never ejects more than half of a pool', () => {
    const health = new RunnerHealth();
    health.setPoolSize(4);
    const runners = ['a', 'b', 'c', 'd'];
    for (let i = 0; i < 10; i += 1) runners.forEach((runner) => health.recordFailure(0, runner));
    expect(runners.filter((runner) => health.allows(1, runner))).toHaveLength(2);
  });
});

describe('tracked capacity', () => {
  const runner = {
    id: 'd',
    role: 'decode',
    domain: 'x',
    slots: 20,
    memoryTokens: 1e6,
    link: 'd',
  } as const;

  /* The report was measured 300 ms ago. It does not include slots reserved since then and must not override them. */
  test('is not overridden by a report that precedes a reservation', () => {
    const capacity = new CapacityTracker();
    capacity.setRunners([runner]);
    for (let i = 0; i < 5; i += 1) capacity.reserveSlot('d', 1000, 10);
    capacity.applyReport(1100, { runner: 'd', asOf: 800, running: 0, leaving: false });
    expect(freeSlotsOf(capacity.decodeLoad('d') as never)).toBe(15);
  });

  test('includes slots that were reserved by others', () => {
    const capacity = new CapacityTracker();
    capacity.setRunners([runner]);
    capacity.reserveSlot('d', 1000, 10);
    capacity.applyReport(2000, { runner: 'd', asOf: 1700, running: 8, leaving: false });
    expect(freeSlotsOf(capacity.decodeLoad('d') as never)).toBe(12);
  });
});
