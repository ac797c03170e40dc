import { QuotaCharge } from '../../src/node/router/charge';

describe('the quota charge of a request', () => {
  test('is returned once for runs that were not executed', () => {
    const charge = new QuotaCharge();
    charge.take(150);
    charge.spend();
    charge.refund();
    expect([charge.isCovered, charge.settle(), charge.settle()]).toEqual([true, 150, 0]);
  });

  test('includes each run that may have been executed', () => {
    const charge = new QuotaCharge();
    charge.take(150);
    charge.spend();
    expect(charge.isCovered).toBe(false);
    charge.take(150);
    charge.spend();
    expect(charge.settle()).toBe(0);
  });
});
