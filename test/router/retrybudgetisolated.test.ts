import type { LoadedService } from '../fakes/retryload';
import { RetryLoad } from '../fakes/retryload';
import type { CallFault } from '../fakes/routers';

describe('retries of a whole fleet', () => {
  let load: RetryLoad;

  afterEach(() => load.stop(), 30_000);

  // Guards against VMs that see no other and take what belongs to the whole fleet.
  test.each<readonly [LoadedService, CallFault]>([
    ['model', 'error'],
    ['model', 'rejected'],
    ['plain', 'cut'],
  ])(
    'stay within the budget while VMs do not reach each other: %s, every run is %s',
    async (service, fault) => {
      load = new RetryLoad(service, { isolated: true });
      await load.start();
      const { excess } = await load.run({ fault });
      expect(excess).toBe(0);
    },
    30_000,
  );
});
