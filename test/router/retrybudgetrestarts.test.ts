import type { LoadedService } from '../fakes/retryload';
import { RetryLoad } from '../fakes/retryload';
import type { CallFault } from '../fakes/routers';

describe('retries of a whole fleet', () => {
  let load: RetryLoad;

  afterEach(() => load.stop(), 30_000);

  // Guards against processes that begin anew with a budget that was spent.
  test.each<readonly [LoadedService, CallFault]>([
    ['model', 'cut'],
    ['model', 'rejected'],
    ['plain', 'error'],
  ])(
    'stay within the budget while VMs restart: %s, every run is %s',
    async (service, fault) => {
      load = new RetryLoad(service);
      await load.start();
      const { excess } = await load.run({ fault }, (until) => load.restartInTurn(until));
      expect(excess).toBe(0);
    },
    30_000,
  );
});
