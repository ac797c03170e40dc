import { Fleet } from '../fakes/virtual/fleet';
import { joinTargets, readersOf, shouldRead } from '../../src/core/membership/readers';
import type { Member } from '../../src/core/membership/types';
import { addressesNear, ownersOfKey, rankByCores } from '../../src/core/ownership';
import { rank } from '../../src/core/rendezvous';

describe('membership', () => {
  test('converges to one view in a fleet that starts together', () => {
    const fleet = new Fleet(16, 1);
    fleet.run(10_000);
    expect(fleet.views().map((view) => view.alive)).toEqual(Array.from({ length: 16 }, () => 16));
  });

  /* A VM dies without announcing it. All others must detect this within a bounded time, and no live VM may be declared dead. */
  test('detects a dead VM and declares no live one dead', () => {
    const fleet = new Fleet(16, 2);
    fleet.run(10_000);
    fleet.kill(3);
    const found = fleet.runUntil(() => fleet.views().every(({ alive }) => alive === 15), 30_000);
    expect(found).toBeLessThan(15_000);
    expect(fleet.falselyDead()).toBe(0);
  });

  /*
   * A VM is paused for longer than the suspicion timeout and then resumes. The others
   * declare it dead; after resuming it learns this, raises its incarnation and is present
   * again. It must not declare the others dead for answers that arrived during the pause.
   */
  test('readmits a paused VM after it resumes, and it declares no other dead', () => {
    const fleet = new Fleet(8, 3);
    fleet.run(10_000);
    fleet.freeze(2, true);
    fleet.run(15_000);
    expect(fleet.viewOf(0).state('vm2')).toBe('dead');
    fleet.freeze(2, false);
    const back = fleet.runUntil(() => fleet.views().every(({ alive }) => alive === 8), 30_000);
    expect(back).toBeLessThan(20_000);
  });

  /* The network is partitioned for a minute and heals. Each side continues on its own; afterwards both merge. */
  test('merges again after a partition heals', () => {
    const fleet = new Fleet(10, 4);
    fleet.run(10_000);
    fleet.cut((vm) => vm < 5);
    fleet.run(60_000);
    expect(fleet.views().map(({ alive }) => alive)).toEqual(Array.from({ length: 10 }, () => 5));
    fleet.cut(undefined);
    const healed = fleet.runUntil(() => fleet.views().every(({ alive }) => alive === 10), 60_000);
    expect(healed).toBeLessThan(60_000);
  });

  /* One direction between two VMs is cut. Indirect pings by other members reach the VM, so no VM declares it dead. */
  test('tolerates a one-way cut between two VMs', () => {
    const fleet = new Fleet(8, 5);
    fleet.run(10_000);
    fleet.cutLink(0, 1);
    fleet.run(60_000);
    expect(fleet.views().every(({ alive }) => alive === 8)).toBe(true);
  });

  test('spreads a gossip update to all members in a few hops', () => {
    const fleet = new Fleet(64, 6);
    fleet.run(10_000);
    const took = fleet.timeToSpread('teams/a', 7);
    expect(took).toBeLessThan(5000);
  });

  test('removes a VM that announces its leave without a suspicion timeout', () => {
    const fleet = new Fleet(8, 7);
    fleet.run(10_000);
    fleet.leave(4);
    const seen = fleet.runUntil(() => fleet.viewOf(0).state('vm4') === 'left', 30_000);
    expect(seen).toBeLessThan(3000);
  });
});

const memberOf = (number: number, change: Partial<Member> = {}): Member => ({
  vm: `vm${number}`,
  domain: 'x',
  address: '',
  incarnation: 0,
  state: 'alive',
  draining: false,
  gateways: [],
  cores: 1,
  storeLost: false,
  ...change,
});

describe('readers of the store', () => {
  const members = Array.from({ length: 12 }, (_, i) =>
    memberOf(i, { domain: i < 6 ? 'a' : 'b', cores: i % 3 === 0 ? 1.35 : 0.324 }),
  );
  const names = (all: readonly Member[], domain = 'a'): readonly string[] => {
    const { primaries, standbys } = readersOf(domain, all);
    return [...primaries, ...standbys].map(({ vm }) => vm);
  };

  test('are two strong VMs of each failure domain, the same in every view', () => {
    expect([...names(members)].sort()).toEqual(['vm0', 'vm3']);
    expect(names([...members].reverse())).toEqual(names(members));
  });

  /* The store rejects one reader. A standby reads in addition, and the first one keeps trying. */
  test('have standbys while the store does not answer them', () => {
    const lost = members.map((one) => (one.vm === 'vm0' ? { ...one, storeLost: true } : one));
    const read = names(lost);
    expect(read).toContain('vm0');
    expect(read.length).toBe(3);
  });

  /* A VM is cut off from all others and considers them dead. It reads for itself. */
  test('are the only VM left', () => {
    const alone = members.map((one): Member =>
      one.vm === 'vm4' ? one : { ...one, state: 'dead' },
    );
    expect(names(alone)).toEqual(['vm4']);
  });

  /* All VMs return the same state to a new VM; traffic between failure domains is limited and billed. */
  test('and other VMs are asked first by new VMs of their failure domain', () => {
    const near = members.slice(0, 6).map(({ address }) => address);
    expect(joinTargets('a', members)).toEqual(near);
    expect(joinTargets('c', members)).toEqual(members.map(({ address }) => address));
  });

  /* All VMs of a fleet start together, and each knows no other at first. They must not all read the store in that time. */
  test('do not include a VM that has just started and knows no other', () => {
    const [self] = members as [Member];
    expect(shouldRead(300, 0, self, [self])).toBe(false);
    expect(shouldRead(700, 0, self, [self])).toBe(true);
    expect(shouldRead(300, 0, self, members)).toBe(names(members).includes(self.vm));
  });
});

describe("callers' addresses", () => {
  const members = Array.from({ length: 195 }, (_, i) =>
    memberOf(i, { domain: `d${i % 5}`, gateways: [`vm${i}:80`] }),
  );

  /*
   * An answer names up to 64 addresses of a fleet of 195 VMs. If it named the first ones
   * that a VM knows, all callers would connect to the same third of the fleet.
   */
  test('start with near VMs and spread callers over all VMs', () => {
    const answers = [0, 1, 2, 3, 4].map((i) => addressesNear(`d${i}`, members).slice(0, 64));
    const near = members.filter(({ domain }) => domain === 'd0').map(({ vm }) => `${vm}:80`);
    expect(answers[0]?.slice(0, 39).sort()).toEqual(near.sort());
    expect(new Set(answers.flat()).size).toBe(195);
  });

  /* Callers close connections to addresses that are missing from the next answer. */
  test('stay the same while the fleet does, whichever VM is asked', () => {
    const one = addressesNear('d0', members);
    expect(addressesNear('d0', [...members].reverse())).toEqual(one);
    const less = addressesNear('d0', members.slice(1));
    expect(less).toEqual(one.filter((address) => address !== 'vm0:80'));
  });

  test('are those of VMs that are alive and not draining', () => {
    const two = [memberOf(1, { draining: true, gateways: ['a'] }), memberOf(2, { state: 'dead' })];
    expect(addressesNear('x', two)).toEqual([]);
  });
});

describe('ownership', () => {
  const members = Array.from({ length: 20 }, (_, i) => memberOf(i));

  test('of a key moves only if its owner is removed', () => {
    const keys = Array.from({ length: 500 }, (_, i) => `key-${i}`);
    const [gone, ...rest] = members;
    const moved = keys.filter(
      (key) => ownersOfKey(key, members)[0]?.vm !== ownersOfKey(key, rest)[0]?.vm,
    );
    const owned = keys.filter((key) => ownersOfKey(key, members)[0]?.vm === gone?.vm);
    expect(moved).toEqual(owned);
  });

  test('follows the weights', () => {
    const candidates = [
      { id: 'a', weight: 3 },
      { id: 'b', weight: 1 },
    ];
    const firsts = Array.from({ length: 4000 }, (_, i) => rank(`k${i}`, candidates)[0]?.id);
    expect(firsts.filter((id) => id === 'a').length / 4000).toBeCloseTo(0.75, 1);
  });

  /*
   * Most VMs of a fleet are weak. With equal weights the owner of a service is mostly a weak
   * one, which falls behind in a burst; it must be a strong one while one is present.
   */
  test('by cores selects strong VMs first, and by hash among them', () => {
    const mixed = members.map((member, i) => ({ ...member, cores: i < 4 ? 1.35 : 0.324 }));
    const firsts = Array.from({ length: 100 }, (_, i) => rankByCores(`s${i}`, mixed)[0]?.vm);
    expect([...new Set(firsts)].sort()).toEqual(['vm0', 'vm1', 'vm2', 'vm3']);
    const weak = rankByCores('s', mixed.slice(4));
    expect(weak.map(({ vm }) => vm)).toEqual(ownersOfKey('s', mixed.slice(4)).map(({ vm }) => vm));
  });

  test('excludes VMs that are draining', () => {
    const leaving = members.map((member, i) => (i < 10 ? { ...member, draining: true } : member));
    const owners = Array.from({ length: 100 }, (_, i) => ownersOfKey(`k${i}`, leaving)[0]?.vm);
    expect(owners.every((vm) => Number(vm?.slice(2)) >= 10)).toBe(true);
  });
});
