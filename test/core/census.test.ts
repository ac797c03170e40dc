import { FleetCensus } from '../../src/core/membership/census';
import type { Member, MemberState } from '../../src/core/membership/types';

const MINUTE_MS = 60_000;

const memberOf = (vm: string, state: MemberState = 'alive'): Member => ({
  vm,
  domain: 'a',
  address: `${vm}:1`,
  incarnation: 1,
  state,
  draining: false,
  gateways: [],
  cores: 1,
  storeLost: false,
});

const fleetOf = (count: number, state: MemberState = 'alive'): readonly Member[] =>
  Array.from({ length: count }, (_, index) => memberOf(`vm${index}`, state));

/** What a census tells some minutes after it knew all of seven VMs. */
function sizesAfter(members: readonly Member[], minutes: readonly number[]): readonly number[] {
  const census = new FleetCensus(0);
  census.update(0, fleetOf(7));
  census.update(0, members);
  return minutes.map((minute) => census.size(minute * MINUTE_MS));
}

describe('the number of VMs that may run', () => {
  // Guards against VMs that are cut off and share out what belongs to the others as well.
  test('has VMs that do not answer, and those that are forgotten, for half an hour', () => {
    const dead = [memberOf('vm0'), ...fleetOf(7, 'dead').slice(1)];
    expect(sizesAfter(dead, [1, 29, 31])).toEqual([7, 7, 1]);
    expect(sizesAfter([memberOf('vm0')], [1, 29, 31])).toEqual([7, 7, 1]);
  });

  test('has VMs that leave until they have completed their requests', () => {
    const left = [memberOf('vm0'), ...fleetOf(7, 'left').slice(1)];
    expect(sizesAfter(left, [0.9, 1.1])).toEqual([7, 1]);
    const census = new FleetCensus(0);
    census.update(0, left);
    expect(census.staying(0)).toBe(1);
  });

  test('has a VM once that comes back', () => {
    const census = new FleetCensus(0);
    for (const state of ['alive', 'dead', 'alive', 'left', 'alive'] as const) {
      census.update(0, [memberOf('vm0'), memberOf('vm1', state)]);
    }
    expect([census.size(0), census.staying(0)]).toEqual([2, 2]);
  });

  // Guards against a process that starts, reaches the store only and takes itself for the whole fleet.
  test('is at least what others have counted, for half an hour', () => {
    const census = new FleetCensus(0);
    expect([census.isComplete, census.size(0)]).toEqual([false, 1]);
    census.learn(0, 66);
    census.update(0, fleetOf(7));
    const sizes = [0, 29, 31].map((minute) => census.size(minute * MINUTE_MS));
    expect([census.isComplete, ...sizes]).toEqual([true, 66, 66, 7]);
  });

  test('is complete where nobody has counted before', () => {
    const census = new FleetCensus(0);
    census.learn(0, 0);
    expect([census.isComplete, census.size(0)]).toEqual([true, 1]);
  });
});
