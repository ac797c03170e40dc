import { groupOf } from '../../src/core/customers/groups';
import type { Quota } from '../../src/core/customers/types';
import type { QuotaFigures, QuotaWayOf } from '../fakes/virtual/quotafleet';
import { QuotaFleet } from '../fakes/virtual/quotafleet';
import { OwnerAsked } from '../fakes/virtual/quotaways';

const quota: Quota = { unit: 'tokens', ratePerS: 80_000, burst: 80_000, plainTokens: 200 };
const bounds = { windowMs: 8000, overage: 0.1, slack: 190_000, wholeRuns: false };
const SIZE = 3273;
/** Requests a second of a customer at its usual, half of its quota, and at 7.5 times that. */
const USUAL = 13.4;
const FLOOD = 100;
/** Time in which the members find each other. */
const START_MS = 8000;

const KEY = groupOf('ada');

/** Plays something beside a load and gives what was seen of the customer. */
function play(
  size: number,
  perS: number,
  trouble: (fleet: QuotaFleet, all: readonly number[]) => void,
  among?: readonly number[],
): QuotaFigures {
  const wayOf: QuotaWayOf = (network) => new OwnerAsked(network, bounds);
  const fleet = new QuotaFleet(size, quota, bounds, wayOf, 3);
  fleet.run(START_MS);
  const all = fleet.vms.map(({ number }) => number);
  fleet.load(perS, SIZE, 30_000, among ?? all);
  trouble(fleet, all);
  return fleet.figures(START_MS);
}

const calm = (fleet: QuotaFleet): void => fleet.run(12_000);

describe("a customer's quota over all VMs", () => {
  test.each([8, 66, 300])(
    'lets everything through below it, and no more than it above: %d VMs',
    (size) => {
      const usual = play(size, USUAL, calm);
      expect(usual.refusedBelow).toBe(0);
      expect(usual.waitMs).toBeLessThan(5);
      const flood = play(size, FLOOD, calm);
      expect(flood.over).toBeLessThanOrEqual(0);
      expect(flood.refusedBelow).toBeLessThan(0.01);
      expect(play(size, FLOOD, calm, [5]).over).toBeLessThanOrEqual(0);
    },
    60_000,
  );

  /*
   * The VM that owns the account is killed, or stands still for four seconds and comes
   * back, while the customer sends many times its usual. Another VM takes over without
   * knowing what was given out: from a whole quota of its own, the customer had twice as much.
   */
  test.each([8, 66])(
    'holds while its owner changes: %d VMs',
    (size) => {
      const killed = play(size, FLOOD, (fleet) => {
        fleet.run(6000);
        fleet.kill([fleet.owner(KEY)]);
        fleet.run(8000);
      });
      const frozen = play(size, FLOOD, (fleet) => {
        fleet.run(6000);
        const owner = fleet.owner(KEY);
        fleet.freeze(owner, true);
        fleet.run(4000);
        fleet.freeze(owner, false);
        fleet.run(6000);
      });
      expect([killed.over, frozen.over].filter((over) => over > 1)).toEqual([]);
      expect(killed.refusedBelow).toBeLessThan(0.05);
      expect(frozen.refusedBelow).toBeLessThan(0.05);
    },
    60_000,
  );

  /*
   * A sixth or a third of the VMs reach no other one, and callers press on all of them.
   * Each of those VMs decides alone; with a whole quota each, the customer had many.
   */
  test.each([
    [8, 6],
    [66, 6],
    [66, 3],
  ])(
    'holds over VMs that are cut off: %d VMs, one in %d',
    (size, one) => {
      const { over } = play(size, FLOOD, (fleet, all) => {
        fleet.run(6000);
        fleet.cut(all.filter((number) => number % one === 1));
        fleet.run(10_000);
        fleet.cut([]);
        fleet.run(4000);
      });
      expect(over).toBeLessThan(1);
    },
    60_000,
  );

  /*
   * Half of the VMs do not reach the owner of the account, and go by the next one; all reach
   * all others. The first owner went on giving out the parts of those that had left it.
   */
  test.each([8, 66])(
    'holds while half of the VMs do not reach the owner: %d VMs',
    (size) => {
      const { over } = play(size, FLOOD, (fleet, all) => {
        fleet.run(6000);
        const owner = fleet.owner(KEY);
        const half = all.filter((number) => number !== owner && number % 2 === 0);
        fleet.cutBetween([owner], half);
        fleet.run(12_000);
      });
      expect(over).toBeLessThan(1);
    },
    60_000,
  );

  /* Half of the VMs die at once. Those that are left serve the customer as usual. */
  test('does not shrink below the usual as half of the VMs die', () => {
    const halfDies = (fleet: QuotaFleet, all: readonly number[]): void => {
      fleet.run(6000);
      fleet.kill(all.filter((number) => number % 2 === 0));
      fleet.run(8000);
    };
    expect(play(66, USUAL, halfDies).refusedBelow).toBeLessThan(0.05);
    expect(play(66, FLOOD, halfDies).over).toBeLessThan(1);
  }, 60_000);

  /* The operator lowers a limit under a flood, far below what the customer sends, and raises it again. */
  test('follows a limit that is lowered and raised', () => {
    const ranAt: number[] = [];
    play(66, FLOOD, (fleet) => {
      const full = fleet.quota;
      fleet.run(10_000);
      fleet.configure({ ...full, ratePerS: 8000, burst: 8000 });
      fleet.run(2000);
      ranAt.push(fleet.ranIn(8000));
      fleet.configure(full);
      fleet.run(2000);
      ranAt.push(fleet.ranIn(4000));
    });
    const [lowered = 0, raised = 0] = ranAt;
    expect(lowered).toBeLessThanOrEqual(8000 * 9);
    expect(raised).toBeGreaterThan(80_000 * 3.8);
  }, 60_000);
});
