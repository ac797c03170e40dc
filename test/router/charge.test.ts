import { QuotaCharge } from '../../src/node/router/charge';

describe('what a request took of a quota', () => {
  test('is given back for runs that did not take place, and once', () => {
    const charge = new QuotaCharge();
    charge.take(150);
    charge.spend();
    charge.refund();
    expect([charge.isCovered, charge.settle(), charge.settle()]).toEqual([true, 150, 0]);
  });

  test('counts once more for each run there may have been', () => {
    const charge = new QuotaCharge();
    charge.take(150);
    charge.spend();
    expect(charge.isCovered).toBe(false);
    charge.take(150);
    charge.spend();
    expect(charge.settle()).toBe(0);
  });
});
