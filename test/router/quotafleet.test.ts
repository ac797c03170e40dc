import { groupOf } from '../../src/core/customers/groups';
import type { Quota } from '../../src/core/customers/types';
import type { QuotaMeasurements, QuotaStrategyFactory } from '../fakes/virtual/quotafleet';
import { QuotaFleet } from '../fakes/virtual/quotafleet';
import { OwnerStrategy } from '../fakes/virtual/quotastrategies';

const quota: Quota = { unit: 'tokens', ratePerS: 80_000, burst: 80_000, plainTokens: 200 };
const bounds = { windowMs: 8000, overage: 0.1, slack: 190_000, wholeRuns: false };
const REQUEST_TOKENS = 3273;
/** Requests per second of a customer at its usual load, about half of its quota, and at 7.5 times that load. */
const USUAL_PER_S = 13.4;
const FLOOD_PER_S = 100;
/** Time in which the members discover each other. */
const CONVERGE_MS = 8000;

const KEY = groupOf('ada');

/** Runs a fault under load and returns the measurements of the customer. */
function runScenario(
  size: number,
  perS: number,
  inject: (fleet: QuotaFleet, all: readonly number[]) => void,
  among?: readonly number[],
): QuotaMeasurements {
  const wayOf: QuotaStrategyFactory = (network) => new OwnerStrategy(network, bounds);
  const fleet = new QuotaFleet(size, quota, bounds, wayOf, 3);
  fleet.run(CONVERGE_MS);
  const all = fleet.vms.map(({ number }) => number);
  fleet.load(perS, REQUEST_TOKENS, 30_000, among ?? all);
  inject(fleet, all);
  return fleet.measurements(CONVERGE_MS);
}

const runWithoutFaults = (fleet: QuotaFleet): void => fleet.run(12_000);

describe("a customer's quota over all VMs", () => {
  test.each([8, 66, 300])(
    'refuses nothing below the quota and grants no more than the quota above it: %d VMs',
    (size) => {
      const usual = runScenario(size, USUAL_PER_S, runWithoutFaults);
      expect(usual.wronglyRefused).toBe(0);
      expect(usual.waitMs).toBeLessThan(5);
      const flood = runScenario(size, FLOOD_PER_S, runWithoutFaults);
      expect(flood.overshoot).toBeLessThanOrEqual(0);
      expect(flood.wronglyRefused).toBeLessThan(0.01);
      expect(runScenario(size, FLOOD_PER_S, runWithoutFaults, [5]).overshoot).toBeLessThanOrEqual(
        0,
      );
    },
    60_000,
  );

  /*
   * The VM that owns the account is killed, or is paused for four seconds and resumes,
   * while the customer sends many times its usual load. Another VM takes over without
   * knowing what was granted before. If it granted a whole quota of its own, the customer
   * would get twice its quota.
   */
  test.each([8, 66])(
    'holds while its owner changes: %d VMs',
    (size) => {
      const killed = runScenario(size, FLOOD_PER_S, (fleet) => {
        fleet.run(6000);
        fleet.kill([fleet.owner(KEY)]);
        fleet.run(8000);
      });
      const frozen = runScenario(size, FLOOD_PER_S, (fleet) => {
        fleet.run(6000);
        const owner = fleet.owner(KEY);
        fleet.freeze(owner, true);
        fleet.run(4000);
        fleet.freeze(owner, false);
        fleet.run(6000);
      });
      expect([killed.overshoot, frozen.overshoot].filter((over) => over > 1)).toEqual([]);
      expect(killed.wronglyRefused).toBeLessThan(0.05);
      expect(frozen.wronglyRefused).toBeLessThan(0.05);
    },
    60_000,
  );

  /*
   * A sixth or a third of the VMs are isolated, and callers overload all of them. Each
   * isolated VM decides locally. If each granted a whole quota, the customer would get a
   * multiple of its quota.
   */
  test.each([
    [8, 6],
    [66, 6],
    [66, 3],
  ])(
    'holds while VMs are isolated: %d VMs, one in %d',
    (size, one) => {
      const { overshoot } = runScenario(size, FLOOD_PER_S, (fleet, all) => {
        fleet.run(6000);
        fleet.isolate(all.filter((number) => number % one === 1));
        fleet.run(10_000);
        fleet.isolate([]);
        fleet.run(4000);
      });
      expect(overshoot).toBeLessThan(1);
    },
    60_000,
  );

  /*
   * Half of the VMs cannot reach the owner of the account and use the next one; all other
   * links work. The first owner must not keep granting the shares of the VMs that left it.
   */
  test.each([8, 66])(
    'holds while half of the VMs cannot reach the owner: %d VMs',
    (size) => {
      const { overshoot } = runScenario(size, FLOOD_PER_S, (fleet, all) => {
        fleet.run(6000);
        const owner = fleet.owner(KEY);
        const half = all.filter((number) => number !== owner && number % 2 === 0);
        fleet.partition([owner], half);
        fleet.run(12_000);
      });
      expect(overshoot).toBeLessThan(1);
    },
    60_000,
  );

  /* Half of the VMs crash at once. The remaining VMs serve the customer's usual load. */
  test('does not fall below the usual load when half of the VMs crash', () => {
    const killHalf = (fleet: QuotaFleet, all: readonly number[]): void => {
      fleet.run(6000);
      fleet.kill(all.filter((number) => number % 2 === 0));
      fleet.run(8000);
    };
    expect(runScenario(66, USUAL_PER_S, killHalf).wronglyRefused).toBeLessThan(0.05);
    expect(runScenario(66, FLOOD_PER_S, killHalf).overshoot).toBeLessThan(1);
  }, 60_000);

  /* During an overload the operator lowers the quota far below the customer's load and raises it again. */
  test('follows a quota that is lowered and raised', () => {
    const granted: number[] = [];
    runScenario(66, FLOOD_PER_S, (fleet) => {
      const full = fleet.quota;
      fleet.run(10_000);
      fleet.configure({ ...full, ratePerS: 8000, burst: 8000 });
      fleet.run(2000);
      granted.push(fleet.grantedDuring(8000));
      fleet.configure(full);
      fleet.run(2000);
      granted.push(fleet.grantedDuring(4000));
    });
    const [lowered = 0, raised = 0] = granted;
    expect(lowered).toBeLessThanOrEqual(8000 * 9);
    expect(raised).toBeGreaterThan(80_000 * 3.8);
  }, 60_000);
});
