import { SyncFleet } from '../fakes/virtual/syncfleet';

/** The platform's bound at each size of a fleet, in milliseconds: `drain-ms`. */
const FLEETS = [
  { size: 7, drainMs: 2000 },
  { size: 66, drainMs: 3000 },
  { size: 195, drainMs: 4000 },
];

const RUNNERS = Array.from({ length: 60 }, (_, i) => `i-0000000${100 + i}`);
const LEAVING = RUNNERS.slice(0, 10);

function settledFleet(size: number, seed: number): SyncFleet {
  const fleet = new SyncFleet(size, 0, seed);
  for (const id of RUNNERS) fleet.writeRunner(id, false);
  fleet.run(9000);
  return fleet;
}

/** Packets that a fleet sends in five seconds while runners leave, one each 100 ms. */
function packetsWhile(fleet: SyncFleet, leave: (listing: string, index: number) => void): number {
  const before = fleet.cost.packets;
  LEAVING.forEach((listing, index) => {
    leave(listing, index);
    fleet.run(100);
  });
  fleet.run(5000 - LEAVING.length * 100);
  return fleet.cost.packets - before;
}

describe('a fleet whose runners announce only in answers that they leave', () => {
  /* The store is down. A VM that has had no such answer sends requests to a runner that is about to exit. */
  test.each(FLEETS)(
    'stops using them in time although the store tells nothing: $size VMs',
    ({ size, drainMs }) => {
      const fleet = settledFleet(size, 3);
      fleet.blockStore(() => true);
      fleet.loseDatagrams(0.03);
      LEAVING.forEach((listing, index) => fleet.readLeavingAnswer(index % size, listing));
      expect(fleet.maxLeavingDelay(drainMs)).toBeLessThan(drainMs);
    },
    120_000,
  );

  /* The announcement of a VM takes the place of the one that follows the store's entry. */
  test.each(FLEETS)(
    'sends as many packets as if the store had told: $size VMs',
    ({ size }) => {
      const byStore = settledFleet(size, 3);
      const told = packetsWhile(byStore, (listing) => byStore.writeRunner(listing, true));
      const byAnswers = settledFleet(size, 3);
      const heard = packetsWhile(byAnswers, (listing, index) => {
        for (let vm = 0; vm < 3; vm += 1) byAnswers.readLeavingAnswer((index + vm) % size, listing);
        byAnswers.writeRunner(listing, true);
      });
      expect(heard).toBeLessThan(told * 1.1);
    },
    120_000,
  );
});
