import type { Failures, LoadedService } from '../fakes/retryload';
import { RetryLoad } from '../fakes/retryload';

describe('retries of a whole fleet', () => {
  let load: RetryLoad;

  afterEach(() => load.stop(), 30_000);

  // Guards against repeats beyond what the fleet may send to a service whose runs fail.
  test.each<readonly [LoadedService, Failures]>([
    ['model', { fault: 'cut' }],
    ['model', { fault: 'error', prefills: 0.4 }],
    ['model', { fault: 'rejected' }],
    ['plain', { fault: 'error' }],
  ])(
    'stay within the budget: %s, failures %j',
    async (service, failures) => {
      load = new RetryLoad(service);
      await load.start();
      const { excess, repeats } = await load.run(failures);
      expect(excess).toBe(0);
      expect(repeats).toBeGreaterThan(0);
    },
    30_000,
  );
});
