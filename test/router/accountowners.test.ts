import { setImmediate, setTimeout as pause } from 'node:timers/promises';

import pino from 'pino';

import { FleetCensus } from '../../src/core/membership/census';
import type { Member } from '../../src/core/membership/types';
import { QuotaAccounts } from '../../src/core/quotas/accounts';
import { AccountOwners } from '../../src/node/router/accountowners';
import type { RouterFleet } from '../../src/node/router/fleet';
import { RouterMetrics } from '../../src/node/router/metrics';

/** Calls to VMs that do not answer, after which these answer no more. */
const MAX_CALLS = 10_000;

const bounds = { windowMs: 4000, overage: 0.5, slack: 5, wholeRuns: true };

const memberOf = (vm: string, incarnation = 1): Member => ({
  vm,
  domain: 'a',
  address: `${vm}:1`,
  incarnation,
  state: 'alive',
  draining: false,
  gateways: [],
  cores: 1,
  storeLost: false,
});

/** A VM's view of a fleet with fixed owners; records the registrations that the VM sends. */
class FleetView {
  /** Owners of every group, by descending rank. */
  ranked: readonly Member[] = [];

  groups: readonly string[] = ['g'];

  /** Addresses of VMs that do not answer. */
  silent: readonly string[] = [];

  /** Registrations with VMs that do not answer, and questions to them. */
  unansweredCalls = 0;

  /** Registrations sent since the last call of `changed`. */
  #calls: string[] = [];

  readonly census = new FleetCensus(0);

  readonly owners: AccountOwners;

  constructor() {
    const self = memberOf('self');
    const call = async (address: string, method: string, params: unknown): Promise<unknown> => {
      if (this.silent.includes(address)) {
        const { leaves = false } = params as { leaves?: boolean };
        if (!leaves) this.unansweredCalls += 1;
        // A caller that never waits would hold the event loop for good.
        if (this.unansweredCalls > MAX_CALLS) return new Promise(() => {});
        throw new Error('no answer');
      }
      if (method === 'ask') return address;
      const { groups, leaves } = params as { groups: readonly string[]; leaves: boolean };
      this.#calls.push(`${leaves ? 'leave' : 'join'} ${address} ${groups.join(' ')}`);
      return null;
    };
    const { census } = this;
    const deprioritize = (): void => {};
    const all = (): readonly Member[] => [self, ...this.ranked];
    const fleet = {
      self,
      get all() {
        return all();
      },
      census,
      call,
      deprioritize,
      ownersOf: () => this.ranked,
    };
    this.owners = new AccountOwners({
      vm: 'self',
      fleet: fleet as unknown as RouterFleet,
      accounts: new QuotaAccounts(bounds),
      groups: () => this.groups,
      names: { join: 'join', unanswered: 'unanswered' },
      metrics: new RouterMetrics(),
      log: pino({ level: 'silent' }),
    });
  }

  changed(ranked: readonly Member[]): readonly string[] {
    this.ranked = ranked;
    this.owners.refresh(0);
    return this.#calls.splice(0);
  }
}

describe('a VM', () => {
  // Guards against a process that starts, reaches no other VM and grants whole quotas.
  test('shares accounts among the VMs that may run, although it is alone', () => {
    const view = new FleetView();
    view.census.learn(0, 66);
    view.changed([memberOf('self')]);
    expect([view.owners.members.known, [...view.owners.members.present]]).toEqual([66, ['self']]);
  });

  const [one, other] = [memberOf('one'), memberOf('other')];

  test('registers with the owner once', () => {
    const view = new FleetView();
    expect(view.changed([one, other])).toEqual(['join one:1 g']);
    expect(view.changed([one])).toEqual([]);
    view.owners.stop();
  });

  /* Guards against a share that counts at two owners, which would both grant it. */
  test('ends the registration with the previous owner when the owner changes', () => {
    const view = new FleetView();
    view.changed([one, other]);
    expect(view.changed([other, one])).toEqual(['leave one:1 g', 'join other:1 g']);
    expect(view.changed([memberOf('self')])).toEqual(['leave other:1 g']);
    view.owners.stop();
  });

  /* An owner that was restarted has lost all registrations and would grant next to nothing. */
  test('registers again with an owner that was restarted', () => {
    const view = new FleetView();
    view.changed([one]);
    expect(view.changed([memberOf('one', 2)])).toEqual(['join one:1 g']);
    view.owners.stop();
  });

  test('registers again for a group that was removed and added again', () => {
    const view = new FleetView();
    view.changed([one]);
    view.groups = [];
    expect(view.changed([one])).toEqual([]);
    view.groups = ['g'];
    expect(view.changed([one])).toEqual(['join one:1 g']);
    view.owners.stop();
  });

  /*
   * The owner was killed. If VMs waited for the membership to detect that, they would use the next
   * owner only seconds later, and their shares would be unused until then.
   */
  test('uses the next owner once one does not answer', async () => {
    const view = new FleetView();
    view.silent = ['one:1'];
    view.changed([one, other]);
    await setImmediate();
    expect(view.changed([one, other])).toEqual(['join other:1 g']);
    expect(view.owners.snapshot()).toEqual({ g: 'other' });
    view.owners.stop();
  });

  /*
   * The VM leaves, so that it owns nothing, and all others were killed: each call fails at once. Guards
   * against a VM that registers with them again and again and serves nothing else.
   */
  test('waits between registrations while no owner answers', async () => {
    const view = new FleetView();
    view.silent = ['one:1', 'other:1'];
    view.changed([one, other]);
    const startedAt = performance.now();
    await pause(1);
    const timerMs = performance.now() - startedAt;
    expect(view.unansweredCalls).toBe(2);
    expect(timerMs).toBeLessThan(50);
    await pause(1000);
    expect(view.unansweredCalls).toBe(2);
    view.silent = [];
    await pause(1500);
    expect(view.owners.snapshot()).toEqual({ g: 'one' });
    view.owners.stop();
  });

  // Guards against a draining VM that ends with an error after a pause, since all other VMs are gone.
  test('registers with nobody while no VM can own a group, and with the next one that can', () => {
    const view = new FleetView();
    expect(view.changed([])).toEqual([]);
    expect(view.owners.snapshot()).toEqual({});
    expect(view.changed([one])).toEqual(['join one:1 g']);
    expect(view.changed([])).toEqual([]);
    view.owners.stop();
  });

  test('registers at once with a new instance of an owner that did not answer', async () => {
    const view = new FleetView();
    view.silent = ['one:1'];
    view.changed([one]);
    await setImmediate();
    view.silent = [];
    expect(view.changed([one])).toEqual([]);
    expect(view.changed([memberOf('one', 2)])).toEqual(['join one:1 g']);
    view.owners.stop();
  });

  /*
   * The VM's failure domain is cut off, and the first owners by rank are in others. Guards against
   * requests that the VM decides by its own small part although it reaches another VM.
   */
  test('asks an owner in its own failure domain once two others do not answer', async () => {
    const view = new FleetView();
    const far = ['one', 'two', 'three'].map((vm) => ({ ...memberOf(vm), domain: 'b' }));
    view.ranked = [...far, memberOf('near')];
    const ask = (): Promise<unknown> => view.owners.ask('g', 'ask', {}, String);
    expect(await ask()).toBe('one:1');
    view.silent = ['one:1'];
    expect(await ask()).toBe('two:1');
    view.silent = far.map(({ address }) => address);
    expect(await ask()).toBe('near:1');
    view.silent = view.ranked.map(({ address }) => address);
    expect(await ask()).toBeUndefined();
    view.owners.stop();
  });
});
