import { NewsFleet } from '../fakes/virtual/newsfleet';

const RUNNERS = 60;
/** Age of a configuration to which keys count by it, where they must end within five seconds. */
const KEY_MS = 4700;

describe('what grows with the fleet', () => {
  /*
   * Keys count only while a VM knows how old its configuration can be. The store turns a
   * third of the VMs away for nine seconds, as keys are taken away: those live on what the
   * others proved. If each VM asked the store itself, 800 would make 1,100 calls a second.
   */
  test.each([30, 200, 800])(
    'is not the age of what a VM knows, nor what it costs to know that age: %d VMs',
    (size) => {
      const fleet = new NewsFleet(size, RUNNERS, 4);
      fleet.requireKeys();
      fleet.run(6000);
      const start = fleet.cost.storeCalls;
      expect(fleet.oldestIn(5000)).toBeLessThan(KEY_MS);
      const calm = fleet.cost.storeCalls;
      expect((calm - start) / 5).toBeLessThan(30);

      fleet.refuse((vm) => vm % 3 === 0);
      expect(fleet.oldestIn(9000)).toBeLessThan(KEY_MS);
      expect((fleet.cost.storeCalls - calm) / 9 / size).toBeLessThan(0.6);
    },
    120_000,
  );

  /*
   * The store is away for all VMs for so long that none may rely on its keys any more.
   * Once it is back, each second in which VMs still refuse keys is lost for all callers.
   */
  test.each([30, 200, 800])(
    'is not the time until keys count again after an outage: %d VMs',
    (size) => {
      const fleet = new NewsFleet(size, RUNNERS, 5);
      fleet.requireKeys();
      fleet.run(6000);
      fleet.refuse(() => true);
      fleet.run(6000);
      expect(fleet.servedBy(KEY_MS)).toHaveLength(0);
      fleet.refuse(() => false);
      fleet.run(1000);
      expect(fleet.servedBy(KEY_MS)).toHaveLength(size);
    },
    120_000,
  );
});
