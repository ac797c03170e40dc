import pino from 'pino';

import type { GossipUpdate } from '../../src/core/membership/types';
import { encodeDigest, stateDigestOf } from '../../src/core/routing/digest';
import type { MembershipListener } from '../../src/node/scheduler/members';
import { MembershipDriver } from '../../src/node/scheduler/members';
import { RouterMetrics } from '../../src/node/router/metrics';
import { waitUntil } from '../fakes/cluster';
import { freePort } from '../fakes/loopback';

const HOST = '127.0.0.1';

/** Updates that a message cannot carry, by what is odd about them. */
const odd: Readonly<Record<string, GossipUpdate>> = {
  'a text that no datagram holds': { path: 'runner/a', revision: 1, text: 'x'.repeat(300_000) },
  'a text that is too long': { path: 'runner/a', revision: 1, text: 'x'.repeat(5000) },
  'a path that is too long': { path: 'x'.repeat(301), revision: 1, text: '{}' },
  'a revision that is no whole number': { path: 'runner/a', revision: 0.5, text: '{}' },
  'a revision beyond whole numbers': { path: 'runner/a', revision: 2 ** 60, text: '{}' },
};

describe('what a message cannot carry', () => {
  const drivers: MembershipDriver[] = [];

  async function start(vm: string, listener: Partial<MembershipListener>): Promise<string> {
    const port = await freePort();
    const address = `${HOST}:${port}`;
    const ignored = { onChange: () => {}, onUpdate: () => {}, onDigestDiffers: () => {} };
    const driver = new MembershipDriver({
      membership: {
        vm,
        domain: 'a',
        address,
        cores: 1,
        probeMs: 30,
        suspectMs: 80,
        random: Math.random,
        incarnation: 1,
      },
      host: HOST,
      port,
      key: 'key',
      log: pino({ level: 'silent' }),
      metrics: new RouterMetrics(),
      listener: { ...ignored, ...listener },
    });
    drivers.push(driver);
    await driver.start();
    return address;
  }

  afterEach(() => drivers.splice(0).forEach((driver) => driver.stop()));

  // Guards against messages that are rejected, or never sent, because of one update in them: VMs that live counted as dead.
  test.each(Object.keys(odd))('costs a gossip update, not the message: %s', async (name) => {
    const states: string[] = [];
    const paths: string[] = [];
    await start('vm1', { onChange: ({ vm, state }) => states.push(`${vm} ${state}`) });
    const address = await start('vm2', { onUpdate: ({ path }) => paths.push(path) });
    const [sender] = drivers;
    sender?.handle({ kind: 'contact', addresses: [address] });
    await waitUntil('the members know each other', () => states.includes('vm2 alive'));
    const sound = { path: 'runner/b', revision: 2, text: '{}' };
    const one = odd[name] ?? sound;
    sender?.handle({ kind: 'rumours', rumours: [one, sound] });
    await waitUntil('the update beside it arrives', () => paths.includes('runner/b'), 2000);
    await new Promise((resolve) => {
      setTimeout(resolve, 300);
    });
    expect([states, [...new Set(paths)]]).toEqual([['vm2 alive'], ['runner/b']]);
  });

  // Guards against VMs that count as dead since the version of the configuration has many digits.
  test.each([Number.MAX_SAFE_INTEGER, 0.1 + 0.2, 1e300])(
    'is no part of a digest, whatever the version of the configuration: %d',
    async (version) => {
      const states: string[] = [];
      await start('vm1', { onChange: ({ vm, state }) => states.push(`${vm} ${state}`) });
      const address = await start('vm2', {});
      const parts = ['zzzzzzz/999999999', 'zzzzzzz', 'zzzzzzz'];
      const digest = encodeDigest(stateDigestOf(version, parts));
      const [sender, receiver] = drivers;
      sender?.handle({ kind: 'contact', addresses: [address] });
      await waitUntil('the members know each other', () => states.includes('vm2 alive'));
      receiver?.members.setDigest(digest);
      await new Promise((resolve) => {
        setTimeout(resolve, 500);
      });
      expect(states).toEqual(['vm2 alive']);
    },
  );
});
