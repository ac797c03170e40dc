import { customerPriorityOf, rankOf, runnerPriorityOf } from '../../src/core/customers/rank';

describe('the rank of a request', () => {
  // Guards against urgent requests that wait behind less urgent ones of the same customer.
  test('goes by the priority of the customer, then by that of the route', () => {
    const requests = [
      { customer: 1, route: 0 },
      { customer: 0, route: 2 },
      { customer: undefined, route: 1 },
      { customer: 1, route: 12 },
    ];
    const ranks = requests.map(({ customer, route }) => rankOf(customer, route));
    expect(ranks).toEqual([10, 2, 1, 19]);
    expect(ranks.map(customerPriorityOf)).toEqual([1, 0, 0, 1]);
    expect(ranks.map(runnerPriorityOf)).toEqual([3, 2, 1, 5]);
  });
});
