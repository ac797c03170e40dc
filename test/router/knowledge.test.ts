import pino from 'pino';

import type { RoutingConfig, Runner } from '../../src/core/routing/types';
import { Knowledge } from '../../src/node/router/knowledge';
import { runnerOf } from '../fakes/runner';

const runner = (id: string, change: Partial<Runner> = {}): Runner => runnerOf(id, 'plain', change);

const config = (version: number): RoutingConfig => ({
  version,
  routes: [],
  services: [],
  limits: { bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

const fresh = (): Knowledge => new Knowledge(pino({ level: 'silent' }), () => {});

const ids = (knowledge: Knowledge, now: number): readonly string[] =>
  knowledge.runnersOf(now, 's').map(({ id }) => id);

describe('what a VM knows', () => {
  test('never goes back to an older configuration', () => {
    const knowledge = fresh();
    expect(knowledge.learnConfig(0, config(7), '7', 'store')).toBe(true);
    expect(knowledge.learnConfig(1, config(4), '4', 'peer')).toBe(false);
    expect(knowledge.configVersion).toBe(7);
  });

  /* A peer that is behind tells of a runner that is leaving by now. It must get no new work because of that. */
  test('never goes back to an older fact of a runner', () => {
    const knowledge = fresh();
    const leaving = runner('r', { leaving: true });
    knowledge.learnRunners(0, [{ id: 'r', revision: 9, runner: leaving }], 'store');
    knowledge.learnRunners(1, [{ id: 'r', revision: 5, runner: runner('r') }], 'peer');
    expect(ids(knowledge, 2)).toEqual([]);
  });

  /*
   * The store was down and the runners' leases ran out meanwhile; they register
   * again within two seconds. If they were dropped at once, every request of
   * those two seconds would be refused.
   */
  test('keeps runners that vanished in an outage until they had time to come back', () => {
    const knowledge = fresh();
    knowledge.learnRunners(0, [{ id: 'r', revision: 1, runner: runner('r') }], 'store');
    knowledge.storeFailed(1000);
    knowledge.learnList(1500, new Set(), 8);
    expect(ids(knowledge, 2500)).toEqual(['r']);
    expect(ids(knowledge, 4100)).toEqual([]);
  });

  /*
   * One VM alone had lost the store and has read it again. A runner whose entry is
   * removed after that reading leaves for good: its lease did not lapse meanwhile.
   * Kept for as long as a lapsed one, it got work two seconds after it had left.
   */
  test('keeps a runner that vanishes after the return of the store only for a moment', () => {
    const knowledge = fresh();
    knowledge.learnRunners(0, [{ id: 'r', revision: 1, runner: runner('r') }], 'store');
    knowledge.storeFailed(1000);
    knowledge.learnList(1500, new Set(['r']), 8);
    knowledge.learnRunners(2100, [{ id: 'r', revision: 9, runner: undefined }], 'store');
    expect(ids(knowledge, 3000)).toEqual(['r']);
    expect(ids(knowledge, 3200)).toEqual([]);
  });

  /* Its entry is removed without an outage: the runner is leaving and serves for a while longer, but gets nothing new. */
  test('drops a runner whose entry is removed while the store is well', () => {
    const knowledge = fresh();
    knowledge.learnRunners(0, [{ id: 'r', revision: 1, runner: runner('r') }], 'store');
    knowledge.learnRunners(9, [{ id: 'r', revision: 2, runner: undefined }], 'store');
    expect(ids(knowledge, 10)).toEqual([]);
  });

  /* A runner said that it leaves, then its entry lapsed in an outage. The outage must not bring it back. */
  test('does not keep a runner that had said it leaves', () => {
    const knowledge = fresh();
    const leaving = runner('r', { leaving: true });
    knowledge.learnRunners(0, [{ id: 'r', revision: 1, runner: leaving }], 'store');
    knowledge.storeFailed(1000);
    knowledge.learnList(1500, new Set(), 8);
    expect(ids(knowledge, 1600)).toEqual([]);
  });
});
