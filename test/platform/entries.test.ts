import fc from 'fast-check';
import pino from 'pino';

import { StoreHistory } from '../../src/core/routing/position';
import type { FeedListener } from '../../src/node/router/types';
import { StoreFeed } from '../../src/platform/feed';
import { entryOf } from '../fakes/entry';
import { FakeStore } from '../fakes/store';
import { EraReader } from '../../src/platform/era';
import { StoreClient } from '../../src/platform/store';

/** Values by which other writers replace a field: each is of another type, names nothing that is known, or cannot be true. */
const unfit: Readonly<Record<string, readonly unknown[]>> = {
  service: ['', 7, null, 's'.repeat(201)],
  address: ['nowhere', '10.0.0.1', '10.0.0.1:0', '10.0.0.1:70000', ':::80', 80, null],
  zone: [1, null],
  version: [1, null, {}],
  slots: [0, -1, 1.5, '32', null, 65_536, 2 ** 32, Number.MAX_SAFE_INTEGER],
  state: ['gone', '', true, null],
  'cold-remaining-ms': ['0', null, 1e308, -1e308],
  sequence: [-1, 0.5, '0', null, 1e300],
  stage: ['encode', '', 1, null],
  born: [-1, 0.5, 'now', null, Number.MAX_SAFE_INTEGER],
};
const optional = ['stage', 'born'];

const change = fc
  .constantFrom(...Object.keys(unfit))
  .chain((field) =>
    fc
      .constantFrom(...(unfit[field] ?? []), ...(optional.includes(field) ? [] : [undefined]))
      .map((value) => Buffer.from(JSON.stringify(entryOf({ [field]: value })))),
  );
const bytes = fc.oneof(
  change,
  fc.json().map((text) => Buffer.from(text)),
  fc.uint8Array({ maxLength: 40 }).map((array) => Buffer.from(array)),
);
const badAddress = fc
  .constantFrom<unknown>('nowhere', '10.0.0.1', '10.0.0.1:x', '10.0.0.1:0', ':80', 80, null)
  .map((address) => Buffer.from(JSON.stringify({ address })));

/** What a feed passes on of runners and VMs. */
interface Passed {
  readonly runners: Record<string, string | undefined>;
  readonly vms: string[];
}

/** Reads a store once; `write` fills it. */
async function readOnce(write: (store: FakeStore) => void): Promise<Passed> {
  const store = new FakeStore();
  await store.start();
  write(store);
  const passed: Passed = { runners: {}, vms: [] };
  const log = pino({ level: 'silent' });
  const history = new StoreHistory();
  const client = new StoreClient(store.address, new EraReader(history, log));
  const feed = new StoreFeed(client, { vm: 'self', address: '10.0.0.9:1' }, history, log);
  const ignored = (): void => {};
  await new Promise<void>((resolve) => {
    const listener: FeedListener = {
      onConfig: ignored,
      onRunners: (records) =>
        records.forEach(({ id, runner }) => {
          passed.runners[id] = runner?.address;
        }),
      onEra: ignored,
      onListed: ignored,
      onVms: (vms) => passed.vms.push(...vms.map(({ vm, address }) => `${vm} ${address}`)),
      onSuspects: ignored,
      onVersions: ignored,
      onFleetSize: ignored,
      onConfirmed: () => resolve(),
      onStore: ignored,
    };
    feed.start(listener);
    feed.setReading(true);
  });
  feed.stop();
  store.stop();
  return passed;
}

describe('entries of other writers in the store', () => {
  /*
   * Guards against requests that are sent to what no runner has registered, against runners that
   * are not used because of an entry beside theirs, and against VM addresses without a usable port,
   * to which a packet cannot be sent without an exception.
   */
  test('name no runner and no VM, and do not affect other entries', async () => {
    const entries = fc.array(bytes, { minLength: 1, maxLength: 8 });
    await fc.assert(
      fc.asyncProperty(entries, badAddress, async (foreign, vm) => {
        const passed = await readOnce((store) => {
          store.put('servers/first', entryOf());
          foreign.forEach((value, index) => store.put(`servers/foreign-${index}`, value));
          store.put('servers/last', entryOf({ address: '10.0.0.2:80' }));
          store.put('goldcrestdock/vms/a', { address: '10.0.0.3:1' });
          store.put('goldcrestdock/vms/b', vm);
          store.put('goldcrestdock/vms/c', { address: '10.0.0.4:1' });
        });
        const named = foreign.map((_, index) => [`foreign-${index}`, undefined]);
        expect(passed).toEqual({
          runners: { first: '10.0.0.1:80', last: '10.0.0.2:80', ...Object.fromEntries(named) },
          vms: ['a 10.0.0.3:1', 'c 10.0.0.4:1'],
        });
      }),
      { numRuns: 60 },
    );
  }, 30_000);
});
