import fc from 'fast-check';

import { RunnerSpeed } from '../../src/core/plain/speed';

const RANGES = 8;

/** Response times by range of occupancy, the emptiest first; undefined where none is known. */
type Ratios = readonly (number | undefined)[];

function speedOf(ratios: Ratios): RunnerSpeed {
  const speed = new RunnerSpeed();
  ratios.forEach((ratio, index) => {
    if (ratio === undefined) return;
    for (let i = 0; i < 10; i += 1) speed.observe(0, (index + 1) / RANGES, ratio);
  });
  return speed;
}

/** The fewest slots with which most is served, found by trying each number. */
function usableOf(ratios: Ratios, slots: number): number {
  const throughputOf = (used: number): number => {
    const ratio = ratios[Math.ceil((used / slots) * RANGES) - 1];
    return ratio === undefined ? 0 : used / ratio;
  };
  const whole = throughputOf(slots);
  let best = slots;
  for (let used = slots; used > 0; used -= 1) {
    if (throughputOf(used) >= throughputOf(best)) best = used;
  }
  return whole > 0 && throughputOf(best) > whole * 1.1 ? best : slots;
}

describe('the usable slots of a runner', () => {
  test('are those with which it serves most', () => {
    const ratios = fc.array(
      fc.option(fc.double({ min: 0.25, max: 4, noNaN: true }), { nil: undefined }),
      {
        minLength: RANGES,
        maxLength: RANGES,
      },
    );
    fc.assert(
      fc.property(ratios, fc.integer({ min: 1, max: 1500 }), (times, slots) => {
        expect(speedOf(times).usableSlots(0, slots)).toBe(usableOf(times, slots));
      }),
      { numRuns: 2000, seed: 1 },
    );
  });

  // Guards against work and memory for each slot that an entry or a response names: 2^32 slots threw, fewer blocked the VM.
  test('are found in the same time however many slots the runner has', () => {
    const speed = speedOf([1, 1, 1, 1, 1, 1, 1, 4]);
    const usable = [8, 800, 8 * 10 ** 9, 8 * 10 ** 14].map((slots) => speed.usableSlots(0, slots));
    expect(usable).toEqual([7, 700, 7 * 10 ** 9, 7 * 10 ** 14]);
  });
});
