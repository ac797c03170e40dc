import { BootClock } from '../../src/utils/clock';

/*
 * A VM is suspended for eight seconds, during which its monotonic clock stops. Measured
 * with that clock, its last freshness confirmation still looked recent, and the VM kept
 * running requests with keys that had been revoked long before.
 */
test('the clock includes the time of a suspension', () => {
  const clock = new BootClock();
  clock.read(1000, 501_000);
  expect(clock.read(1200, 501_200)).toBe(1200);
  expect(clock.read(1210, 509_210)).toBe(9210);
});

/* The wall clock is set back and forth by seconds; the clock must never go back or run slower than real time because of it. */
test('the clock never runs slower than real time, whatever the wall clock does', () => {
  const clock = new BootClock();
  const read = [
    [0, 10_000],
    [100, 8100],
    [200, 8200],
    [300, 10_300],
    [400, 9000],
    [500, 9100],
  ].map(([steady = 0, wall = 0]) => clock.read(steady, wall));
  expect(read).toEqual([0, 100, 200, 2300, 2400, 2500]);
});
