import { Charge } from '../../src/node/router/charge';

describe('the quota charge of a request', () => {
  test('is returned once for runs that were not executed', () => {
    const charge = new Charge();
    charge.take(150);
    charge.spend();
    charge.refund();
    expect([charge.covered, charge.settle(), charge.settle()]).toEqual([true, 150, 0]);
  });

  test('includes each run that may have been executed', () => {
    const charge = new Charge();
    charge.take(150);
    charge.spend();
    expect(charge.covered).toBe(false);
    charge.take(150);
    charge.spend();
    expect(charge.settle()).toBe(0);
  });
});
