import { SyncFleet } from '../fakes/virtual/syncfleet';

/** The platform's bounds at each size of a fleet, in milliseconds: `config-apply-ms` and `drain-ms`. */
const FLEETS = [
  { size: 8, applyMs: 2000, drainMs: 2000 },
  { size: 66, applyMs: 3000, drainMs: 3000 },
  { size: 200, applyMs: 4000, drainMs: 4000 },
];

const RUNNERS = Array.from({ length: 60 }, (_, i) => `i-0000000${100 + i}`);

function settledFleet(size: number, seed: number): SyncFleet {
  const fleet = new SyncFleet(size, 0, seed);
  for (const id of RUNNERS) fleet.writeRunner(id, false);
  fleet.run(9000);
  return fleet;
}

describe.each([
  { count: 5, gapMs: 1300 },
  { count: 2, gapMs: 200 },
])('a fleet whose runners are replaced, $count every $gapMs ms', ({ count, gapMs }) => {
  /* Announcements of changed runners crowd that of a configuration out: callers of a VM that has not heard of it get 404 for an added route. */
  test.each(FLEETS)(
    'applies configurations in time: $size VMs',
    ({ size, applyMs }) => {
      const fleet = settledFleet(size, 4);
      fleet.release(count, gapMs);
      fleet.run(2000);
      for (let i = 0; i < 4; i += 1) {
        fleet.configure();
        expect(fleet.timeToConfigure(2 * applyMs)).toBeLessThan(applyMs);
      }
    },
    120_000,
  );

  /* The same for runners that leave: requests that a VM sends to such a runner are lost with it. */
  test.each(FLEETS)(
    'stops using runners that leave in time: $size VMs',
    ({ size, drainMs }) => {
      const fleet = settledFleet(size, 5);
      fleet.release(count, gapMs);
      expect(fleet.maxLeavingDelay(8000)).toBeLessThan(drainMs);
    },
    120_000,
  );

  /* A VM that no announcement reaches is not told again by the runner's removal, which comes seconds later. */
  test.each(FLEETS)(
    'stops using runners that leave slowly, while packets are lost: $size VMs',
    ({ size, drainMs }) => {
      const fleet = settledFleet(size, 1);
      fleet.loseDatagrams(0.03);
      fleet.release(count, gapMs, 8000);
      expect(fleet.maxLeavingDelay(8000)).toBeLessThan(drainMs);
    },
    120_000,
  );

  /* A caller may repeat a request that ended three runners at any VM within a second; see the test without a release. */
  test.each(FLEETS)(
    'quarantines a request within a second: $size VMs',
    ({ size }) => {
      const fleet = settledFleet(size, 7);
      fleet.release(count, gapMs);
      fleet.run(4000);
      for (const vm of [1, 3, 5]) fleet.crashRunner(vm, 'f', `r${vm}`);
      expect(fleet.timeToRefuse('f', 3000)).toBeLessThan(1000);
    },
    120_000,
  );
});
