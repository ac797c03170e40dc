import type { PromptKind } from '../fakes/promptcallers';
import { SHARED_PART } from '../fakes/promptcallers';
import { CONTAINED, FATAL, fatal, PromptLoad } from '../fakes/promptload';

describe('a prompt part that crashes each runner that begins to write an answer on it', () => {
  let load: PromptLoad;

  afterEach(() => load.stop(), 30_000);

  // Guards against crashes that are counted by whole requests, of which no two are alike.
  test.each<readonly [string, Partial<PromptKind>]>([
    ['after the part of the caller', {}],
    ['before it', { partsOf: (caller) => [SHARED_PART, FATAL, caller] }],
    ['before the part that all requests share', { partsOf: (c) => [FATAL, SHARED_PART, c] }],
  ])(
    'is kept from runners wherever it stands: %s',
    async (_, kind) => {
      load = new PromptLoad();
      await load.start();
      expect(await load.contain({ ...fatal, ...kind })).toEqual(CONTAINED);
    },
    40_000,
  );
});
