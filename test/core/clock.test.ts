import { BootClock } from '../../src/utils/clock';

/*
 * A VM is suspended for eight seconds. Its steady clock stands still meanwhile, and by
 * it what the VM had proved looks as young as before: it went on to run requests under
 * keys that had been taken away long ago.
 */
test('a clock goes on while the VM is suspended', () => {
  const clock = new BootClock();
  clock.read(1000, 501_000);
  expect(clock.read(1200, 501_200)).toBe(1200);
  expect(clock.read(1210, 509_210)).toBe(9210);
});

/* The time of day is set back and forth by seconds; the clock must never go back or slow down by that. */
test('a clock goes no slower than time, whatever the time of day does', () => {
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
