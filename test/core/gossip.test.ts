import { GossipQueue } from '../../src/core/membership/gossip';
import { Membership } from '../../src/core/membership/membership';
import type { Member, MembershipAction } from '../../src/core/membership/types';
import { seeded } from '../fakes/virtual/workload';

const MEMBERS = Array.from({ length: 65 }, (_, i): Member => ({
  vm: `vm${i}`,
  domain: 'a',
  address: `vm${i}:1`,
  incarnation: 1,
  state: 'alive',
  draining: false,
  gateways: [],
  cores: 1,
  storeLost: false,
}));

/** A text as long as that of a changed runner. */
const TEXT = 'x'.repeat(270);

function joinedMember(members = MEMBERS): Membership {
  const membership = new Membership({
    vm: 'self',
    domain: 'a',
    address: 'self:1',
    cores: 1,
    probeMs: 300,
    suspectMs: 800,
    random: seeded(1),
    incarnation: 1,
  });
  membership.handle(0, { kind: 'synced', members });
  return membership;
}

/** Addresses to which an update is sent. */
function receivers(actions: readonly MembershipAction[], path: string): readonly string[] {
  return actions.flatMap((action) =>
    action.kind === 'send' && action.packet.rumours.some((one) => one.path === path)
      ? [action.to]
      : [],
  );
}

describe('gossip updates', () => {
  /* An update went to one member at once and then waited its turn among all that were announced before. */
  test('go to several members at once, however many others wait', () => {
    const membership = joinedMember();
    for (let i = 0; i < 40; i += 1) {
      const rumours = [{ path: `runner/${i}`, revision: i, text: TEXT }];
      const actions = membership.handle(i, { kind: 'rumours', rumours });
      expect(new Set(receivers(actions, `runner/${i}`)).size).toBe(3);
    }
    const rumours = [{ path: 'config', revision: 9 }];
    const actions = membership.handle(50, { kind: 'rumours', rumours });
    expect(new Set(receivers(actions, 'config')).size).toBe(3);
  });

  test('that do not fit into one packet all go at once', () => {
    const membership = joinedMember();
    const rumours = Array.from({ length: 16 }, (_, i) => ({
      path: `runner/${i}`,
      revision: i,
      text: TEXT,
    }));
    const actions = membership.handle(0, { kind: 'rumours', rumours });
    for (const { path } of rumours) expect(new Set(receivers(actions, path)).size).toBe(3);
  });
});

describe('a member that was alone', () => {
  /* Changes that it learned from the store meanwhile all went out at once: thousands of packets in a large fleet. */
  test('sends no more packets at once than for the newest update', () => {
    const membership = joinedMember([]);
    for (let i = 0; i < 1000; i += 1) {
      const rumours = [{ path: `runner/${i}`, revision: i, text: TEXT }];
      membership.handle(i, { kind: 'rumours', rumours });
    }
    membership.handle(1000, { kind: 'synced', members: MEMBERS });
    const rumours = [{ path: 'config', revision: 9 }];
    const actions = membership.handle(1001, { kind: 'rumours', rumours });
    expect(actions.filter(({ kind }) => kind === 'send').length).toBe(3);
  });
});

describe('the status of a member', () => {
  /* Each VM announced itself with each configuration: in a large fleet one configuration crowded out news of VMs that left. */
  test('is announced only if it has changed', () => {
    const membership = joinedMember();
    const status = { gateways: ['self:80'], draining: false, storeLost: false };
    const changes = (next: typeof status): readonly string[] =>
      membership
        .handle(0, { kind: 'described', description: next })
        .filter(({ kind }) => kind === 'changed')
        .map(({ kind }) => kind);
    expect(changes(status)).toEqual(['changed']);
    expect(changes({ ...status })).toEqual([]);
    expect(changes({ ...status, gateways: ['self:81'] })).toEqual(['changed']);
    expect(changes({ ...status, gateways: ['self:81'], draining: true })).toEqual(['changed']);
  });
});

describe('the queue of gossip updates', () => {
  test('takes those first that were sent least often, each as often as asked', () => {
    const queue = new GossipQueue<string>();
    queue.add('a', 'a', 3);
    queue.add('b', 'b', 3);
    const taken = [queue.take(2), queue.take(1)];
    queue.add('c', 'c', 3);
    taken.push(queue.take(2), queue.take(2), queue.take(2), queue.take(2));
    expect(taken).toEqual([['a', 'b'], ['a'], ['c', 'b'], ['c', 'a'], ['b', 'c'], []]);
    expect(queue.size).toBe(0);
  });

  test('counts packets of equal content as that many times', () => {
    const queue = new GossipQueue<string>();
    queue.add('a', 'a', 4);
    expect([queue.take(1, 3), queue.take(1, 3), queue.take(1, 3)]).toEqual([['a'], ['a'], []]);
  });
});
