import { CONTAINED, fatal, PromptLoad } from '../fakes/promptload';
import type { CrashRules } from '../fakes/routers';

describe('a prompt part that crashes each runner that begins to write an answer on it', () => {
  let load: PromptLoad;

  afterEach(() => load.stop(), 30_000);

  // Guards against crashes that are not counted since their answers began or have no marked end.
  test.each<readonly [string, Partial<CrashRules>]>([
    ['in answers that have begun', { eventsBefore: 1 }],
    ['in answers that end with their connections', { endsByClose: true }],
    ['in such answers that have begun', { eventsBefore: 1, endsByClose: true }],
  ])(
    'is kept from runners wherever it stands: %s',
    async (_, rules) => {
      load = new PromptLoad(rules);
      await load.start();
      expect(await load.contain(fatal)).toEqual(CONTAINED);
    },
    40_000,
  );
});
