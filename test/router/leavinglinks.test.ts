import { setTimeout as pause } from 'node:timers/promises';

import pino from 'pino';

import { RouterFleet } from '../../src/node/router/fleet';
import { RouterMetrics } from '../../src/node/router/metrics';
import type { RouterSettings } from '../../src/node/router/types';
import { waitUntil } from '../fakes/cluster';
import { freePort } from '../fakes/loopback';

/** Longer than a link stays open without use, and the period of the check for that. */
const IDLE_MS = 10_500;

/** A VM without requests, and the VMs that it took for lost. */
async function vmOf(
  vm: string,
  seeds: readonly string[],
): Promise<{ readonly fleet: RouterFleet; readonly address: string; readonly lost: string[] }> {
  const address = `127.0.0.1:${await freePort()}`;
  const settings = {
    vm,
    domain: 'a',
    peer: address,
    peerKey: 'test-key-test-key',
    cores: 1,
    seeds,
  };
  const proofs = { currentProof: () => undefined, onPingSent: () => {}, onAckReceived: () => {} };
  const lost: string[] = [];
  const log = pino({ level: 'silent' });
  const fleet = new RouterFleet(settings as RouterSettings, proofs, new RouterMetrics(), log, {
    onCall: async () => null,
    onVmLost: (name) => lost.push(name),
    onMembersChange: () => {},
    onDigestDiffers: () => {},
    onUpdate: () => {},
    onTunnel: () => {},
  });
  await fleet.start();
  return { fleet, address, lost };
}

describe('a VM that leaves', () => {
  // Guards against connections that it forwards, and places of its requests, that others give up while it runs.
  test('is not lost to others before it ends', async () => {
    const stays = await vmOf('vm1', []);
    const leaves = await vmOf('vm2', [stays.address]);
    const stateOf = (): string | undefined => stays.fleet.all.find(({ vm }) => vm === 'vm2')?.state;
    await waitUntil('membership', () => stateOf() === 'alive');
    await leaves.fleet.call(stays.address, 'any', {}, 1000);
    leaves.fleet.leave();
    await waitUntil('the leave', () => stateOf() === 'left');
    await pause(IDLE_MS);
    const lostBefore = [...stays.lost];
    await leaves.fleet.stop();
    await waitUntil('the end', () => stays.lost.length > 0);
    await stays.fleet.stop();
    expect([lostBefore, stays.lost]).toEqual([[], ['vm2']]);
  }, 30_000);
});
