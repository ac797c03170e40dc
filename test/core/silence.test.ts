import { mayAbandon, nextStep, retryDelayMs, silenceMsOf } from '../../src/core/stream/silence';

describe('the wait before the runner of a silent stream is checked', () => {
  test('is twice the longest pause, and longer than a preempted request waits', () => {
    expect([0, 100, 300, 500].map((gapMs) => silenceMsOf({ gapMs }))).toEqual([
      600, 600, 600, 1000,
    ]);
  });
});

describe('the step after a check', () => {
  const at = (now: number, state: 'running' | 'gone' | 'unknown', patienceMs = 3600): unknown =>
    nextStep(now, 0, state, { patienceMs });

  test('is to measure the silence of a sound runner anew', () => {
    expect(at(9000, 'running')).toEqual({ kind: 'rest' });
  });

  test('is to replace a runner that is gone at once', () => {
    expect(at(601, 'gone')).toEqual({ kind: 'prepare' });
  });

  // Guards against a second run for a silence of a second that callers do not mind, and one too late for them.
  test('is to wait for one that does not answer until another run needs the rest of the time', () => {
    expect([1100, 1950, 2100, 2550, 2700].map((now) => at(now, 'unknown'))).toEqual([
      { kind: 'wait', ms: 100 },
      { kind: 'wait', ms: 250 },
      { kind: 'wait', ms: 100 },
      { kind: 'prepare' },
      { kind: 'prepare' },
    ]);
    expect(at(1000, 'unknown', 2000)).toEqual({ kind: 'prepare' });
  });
});

describe('the delay until another run is asked for again', () => {
  // Guards against streams that ask in the same turn of the event loop, or all at the same time.
  test('grows up to a bound and varies', () => {
    const delaysOf = (isBudgetSpent: boolean, random: number): readonly number[] =>
      [1, 2, 3, 4, 50].map((refusals) => Math.round(retryDelayMs(refusals, isBudgetSpent, random)));
    expect([delaysOf(false, 0), delaysOf(false, 0.999), delaysOf(true, 0.999)]).toEqual([
      [50, 100, 200, 400, 400],
      [100, 200, 400, 800, 800],
      [100, 200, 400, 400, 400],
    ]);
  });
});

describe('a prefill that takes long', () => {
  // Guards against a request that is refused since its prefill was given up before another one was certain.
  test('is given up early only if there is another prefill runner', () => {
    const pending = { sentAt: 500, waitingSince: 0, patienceMs: 3600 };
    const times = [1300, 1400, 2500, 2600];
    expect(times.map((now) => mayAbandon(now, pending, true))).toEqual([false, true, true, true]);
    expect(times.map((now) => mayAbandon(now, pending, false))).toEqual([
      false,
      false,
      false,
      true,
    ]);
  });

  // Guards against a request whose sound prefill is given up when the owner gives no place any more.
  test('is kept past the patience of callers for as long as a sound runner may be silent', () => {
    const pending = { sentAt: 3200, waitingSince: 0, patienceMs: 3600 };
    const times = [4100, 5600, 5700];
    for (const hasOtherRunner of [true, false]) {
      const given = times.map((now) => mayAbandon(now, pending, hasOtherRunner));
      expect(given).toEqual([false, false, true]);
    }
  });
});
