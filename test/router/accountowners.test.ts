import { setImmediate } from 'node:timers/promises';

import pino from 'pino';

import type { Member } from '../../src/core/membership/types';
import { QuotaAccounts } from '../../src/core/quotas/accounts';
import { AccountOwners } from '../../src/node/router/accountowners';
import type { RouterFleet } from '../../src/node/router/fleet';
import { RouterMetrics } from '../../src/node/router/metrics';

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

/** A fleet whose owners are set by hand, and what a VM tells them. */
class Told {
  /** Owners of every group, the first one first. */
  ranked: readonly Member[] = [];

  groups: readonly string[] = ['g'];

  /** Address of a VM that does not answer. */
  silent: string | undefined;

  /** What was told since this was asked last. */
  #calls: string[] = [];

  readonly owners: AccountOwners;

  constructor() {
    const self = memberOf('self');
    const call = async (address: string, _method: string, params: unknown): Promise<unknown> => {
      if (address === this.silent) throw new Error('no answer');
      const { groups, leaves } = params as { groups: readonly string[]; leaves: boolean };
      this.#calls.push(`${leaves ? 'leave' : 'join'} ${address} ${groups.join(' ')}`);
      return null;
    };
    const fleet = { self, all: [self], call, ownersOf: () => this.ranked };
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
  const [one, other] = [memberOf('one'), memberOf('other')];

  test('says by whom it goes, once', () => {
    const told = new Told();
    expect(told.changed([one, other])).toEqual(['join one:1 g']);
    expect(told.changed([one])).toEqual([]);
    told.owners.stop();
  });

  /* Its part counts at one owner only: both would give it out. */
  test('tells the owner before that it goes by another one', () => {
    const told = new Told();
    told.changed([one, other]);
    expect(told.changed([other, one])).toEqual(['leave one:1 g', 'join other:1 g']);
    expect(told.changed([memberOf('self')])).toEqual(['leave other:1 g']);
    told.owners.stop();
  });

  /* An owner that was started anew knows of nobody, and gave out next to nothing. */
  test('says so again to an owner that was started anew', () => {
    const told = new Told();
    told.changed([one]);
    expect(told.changed([memberOf('one', 2)])).toEqual(['join one:1 g']);
    told.owners.stop();
  });

  test('says so again for a group that is there again', () => {
    const told = new Told();
    told.changed([one]);
    told.groups = [];
    expect(told.changed([one])).toEqual([]);
    told.groups = ['g'];
    expect(told.changed([one])).toEqual(['join one:1 g']);
    told.owners.stop();
  });

  /* The owner was killed. Left to the membership, it takes seconds until the VMs go by the next one, and what they may use lies idle. */
  test('goes by the next owner once one does not answer', async () => {
    const told = new Told();
    told.silent = 'one:1';
    told.changed([one, other]);
    await setImmediate();
    expect(told.changed([one, other])).toEqual(['join other:1 g']);
    expect(told.owners.snapshot()).toEqual({ g: 'other' });
    told.owners.stop();
  });
});
