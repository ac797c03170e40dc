import { SyncFleet } from '../fakes/virtual/syncfleet';

const RUNNERS = 60;
/** Maximum age of a configuration by which keys are accepted, as a revocation must take effect within five seconds. */
const KEY_MAX_AGE_MS = 4700;

describe('freshness of the configuration in a fleet', () => {
  /*
   * A VM accepts keys only while the age of its configuration is bounded. The store does not
   * answer a third of the VMs for nine seconds, in which keys could be revoked; these VMs
   * depend on freshness proofs from the others. If each VM asked the store itself, 800 VMs
   * would make 1,100 calls per second.
   */
  test.each([30, 200, 800])(
    'stays bounded, at a cost that does not grow with the fleet size: %d VMs',
    (size) => {
      const fleet = new SyncFleet(size, RUNNERS, 4);
      fleet.requireKeys();
      fleet.run(6000);
      const start = fleet.cost.storeCalls;
      expect(fleet.maxConfigAge(5000)).toBeLessThan(KEY_MAX_AGE_MS);
      const calm = fleet.cost.storeCalls;
      expect((calm - start) / 5).toBeLessThan(30);

      fleet.blockStore((vm) => vm % 3 === 0);
      expect(fleet.maxConfigAge(9000)).toBeLessThan(KEY_MAX_AGE_MS);
      expect((fleet.cost.storeCalls - calm) / 9 / size).toBeLessThan(0.6);
    },
    120_000,
  );

  /*
   * The store is unreachable for all VMs until none may accept keys any more. After it is
   * reachable again, callers are refused until the VMs have confirmed their configuration,
   * so this must happen within a second.
   */
  test.each([30, 200, 800])(
    'is confirmed within a second after an outage of the store: %d VMs',
    (size) => {
      const fleet = new SyncFleet(size, RUNNERS, 5);
      fleet.requireKeys();
      fleet.run(6000);
      fleet.blockStore(() => true);
      fleet.run(6000);
      expect(fleet.usableConfigs(KEY_MAX_AGE_MS)).toHaveLength(0);
      fleet.blockStore(() => false);
      fleet.run(1000);
      expect(fleet.usableConfigs(KEY_MAX_AGE_MS)).toHaveLength(size);
    },
    120_000,
  );
});
