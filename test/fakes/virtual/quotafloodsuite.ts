/** Checks of floods, for test files that each run some of them. */

import type { FloodResult, QuotaFault } from './quotaflood';
import { runFlood } from './quotaflood';

/** Name of the fault, number of VMs, number of flooding customers, fault. */
export type Flood = readonly [string, number, number, QuotaFault];

/** Defines the tests of some floods, with the bounds of docs/OVERLOAD.md. */
export function describeFloods(floods: readonly Flood[]): void {
  describe.each(floods)(
    'in a flood of six times the usual load, %s: %d VMs, %d customers',
    (_name, size, flooders, fault) => {
      let result: FloodResult;

      beforeAll(() => {
        result = runFlood(size, flooders, fault);
      }, 60_000);

      /* Guards against two owners that each grant a whole quota. */
      test('no window exceeds the rule', () => {
        expect(result.overshoot).toBeLessThan(1);
      });

      /* Guards against 429 for customers within their quotas while their VMs look for an owner. */
      test('others within their quotas are granted', () => {
        expect(result.others).toBeGreaterThanOrEqual(0.99);
      });

      /* Guards against a flood that takes what urgent requests of the same customer need. */
      test('urgent requests are granted first', () => {
        expect(result.urgent).toBeGreaterThanOrEqual(0.95);
        expect(result.lessUrgent).toBeLessThan(result.urgent);
      });

      /* Guards against a quota of which a part is lost with an owner. */
      test('the quota is used', () => {
        expect(result.unused).toBeLessThanOrEqual(0.05);
      });
    },
  );
}
