import { RetryLoad } from '../fakes/retryload';

/** Share of the calls that fail where few do. */
const FEW = 0.08;
/** Share of the requests that are completed then at least. */
const MIN_COMPLETED = 0.95;

describe('retries of a whole fleet', () => {
  let load: RetryLoad;

  afterEach(() => load.stop(), 30_000);

  // Guards against a budget that is too small for a service with few failures.
  test.each(['model', 'plain'] as const)(
    'complete the requests to a %s service whose runners fail few calls',
    async (service) => {
      load = new RetryLoad(service);
      await load.start();
      const { answers } = await load.run({ fault: 'error', runs: FEW, prefills: FEW });
      const completed = answers.filter(({ status, whole }) => status === 200 && whole);
      expect(completed.length / answers.length).toBeGreaterThanOrEqual(MIN_COMPLETED);
    },
    30_000,
  );
});
