import pino from 'pino';

import type { RunnerRecord } from '../../src/core/routing/directory';
import type { RoutingConfig, Runner } from '../../src/core/routing/types';
import { StoreHistory } from '../../src/core/routing/position';
import { instanceId } from '../../src/core/routing/types';
import { RoutingState } from '../../src/node/router/routingstate';
import { positionAt } from '../fakes/position';
import { runnerOf } from '../fakes/runner';
import { noopListener } from '../fakes/listener';

const runner = (id: string, change: Partial<Runner> = {}): Runner => runnerOf(id, 'plain', change);

const config = (version: number): RoutingConfig => ({
  version,
  routes: [],
  services: [],
  limits: { bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

const fresh = (): RoutingState =>
  new RoutingState(new StoreHistory(), pino({ level: 'silent' }), noopListener);

const ids = (knowledge: RoutingState, now: number): readonly string[] =>
  knowledge.runnersOf(now, 's').map(({ id }) => id);

describe('what a VM knows', () => {
  test('never goes back to an older configuration', () => {
    const knowledge = fresh();
    expect(knowledge.learnConfig(0, config(7), 'store')).toBe(true);
    expect(knowledge.learnConfig(1, config(4), 'peer')).toBe(false);
    expect(knowledge.configVersion).toBe(7);
  });

  /* A peer that is behind tells of a runner that is leaving by now. It must get no new work because of that. */
  test('never goes back to an older fact of a runner', () => {
    const knowledge = fresh();
    const leaving = runner('r', { leaving: true });
    knowledge.learnRunners(0, [{ id: 'r', position: positionAt(9), runner: leaving }], 'store');
    knowledge.learnRunners(1, [{ id: 'r', position: positionAt(5), runner: runner('r') }], 'peer');
    expect(ids(knowledge, 2)).toEqual([]);
  });

  /*
   * The store was down and the runners' leases ran out meanwhile; they register
   * again within two seconds. If they were dropped at once, every request of
   * those two seconds would be refused.
   */
  test('keeps runners that vanished in an outage until they had time to come back', () => {
    const knowledge = fresh();
    knowledge.learnRunners(0, [{ id: 'r', position: positionAt(1), runner: runner('r') }], 'store');
    knowledge.storeFailed(1000);
    knowledge.learnList(1500, new Set(), positionAt(8));
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
    knowledge.learnRunners(0, [{ id: 'r', position: positionAt(1), runner: runner('r') }], 'store');
    knowledge.storeFailed(1000);
    knowledge.learnList(1500, new Set(['r']), positionAt(8));
    knowledge.learnRunners(2100, [{ id: 'r', position: positionAt(9), runner: undefined }], 'store');
    expect(ids(knowledge, 3000)).toEqual(['r']);
    expect(ids(knowledge, 3200)).toEqual([]);
  });

  /*
   * A runner left, and its entry was removed; the store came back from a copy that has
   * the entry again, and it is removed once more. Kept for a moment each time, the runner
   * got work four seconds after it had left.
   */
  test('keeps a runner that is gone already no longer because it is told again', () => {
    const knowledge = fresh();
    knowledge.learnRunners(0, [{ id: 'r', position: positionAt(1), runner: runner('r') }], 'store');
    knowledge.learnRunners(9, [{ id: 'r', position: positionAt(2), runner: undefined }], 'store');
    knowledge.storeFailed(1000);
    knowledge.learnRunners(2000, [{ id: 'r', position: positionAt(3), runner: undefined }], 'store');
    expect(ids(knowledge, 2001)).toEqual([]);
  });

  /*
   * A runner said that it leaves. A heartbeat that it had sent before is carried out
   * seconds later, over that, and at a later position. It gets no work because of it.
   */
  test('takes no runner back that had said it leaves', () => {
    const knowledge = fresh();
    const tell = (revision: number, leaving: boolean): void => {
      const told = runner('r', { leaving });
      knowledge.learnRunners(0, [{ id: 'r', position: positionAt(revision), runner: told }], 'store');
    };
    tell(1, false);
    tell(2, true);
    tell(3, false);
    expect(ids(knowledge, 9)).toEqual([]);
  });

  /* Its entry is removed without an outage: the runner is leaving and serves for a while longer, but gets nothing new. */
  test('drops a runner whose entry is removed while the store is well', () => {
    const knowledge = fresh();
    knowledge.learnRunners(0, [{ id: 'r', position: positionAt(1), runner: runner('r') }], 'store');
    knowledge.learnRunners(9, [{ id: 'r', position: positionAt(2), runner: undefined }], 'store');
    expect(ids(knowledge, 10)).toEqual([]);
  });

  /* A runner said that it leaves, then its entry lapsed in an outage. The outage must not bring it back. */
  test('does not keep a runner that had said it leaves', () => {
    const knowledge = fresh();
    const leaving = runner('r', { leaving: true });
    knowledge.learnRunners(0, [{ id: 'r', position: positionAt(1), runner: leaving }], 'store');
    knowledge.storeFailed(1000);
    knowledge.learnList(1500, new Set(), positionAt(8));
    expect(ids(knowledge, 1600)).toEqual([]);
  });

  /*
   * A runner lost power and starts again under its id. It holds nothing of before:
   * it is another start, and what is told late of the earlier one, even at a higher
   * revision, changes nothing.
   */
  test('takes a later start of a runner for another one, and never goes back', () => {
    const knowledge = fresh();
    const start = (bornAt: number, leaving = false): Runner =>
      runner('r', { id: instanceId('r', bornAt), bornAt, leaving });
    const tell = (revision: number, told: Runner): void =>
      knowledge.learnRunners(0, [{ id: 'r', position: positionAt(revision), runner: told }], 'store');
    tell(1, start(1000, true));
    expect(ids(knowledge, 0)).toEqual([]);
    tell(2, start(2000));
    expect(ids(knowledge, 0)).toEqual(['r@2000']);
    tell(3, start(1000, true));
    expect(ids(knowledge, 0)).toEqual(['r@2000']);
    expect(knowledge.latestStart('r')).toBe(2000);
  });

  /* A runner's own report names a later start than its entry. The listed start is over; the new one gets work once it is listed. */
  test('gives no work to a start that is over by the runner itself', () => {
    const knowledge = fresh();
    const start = (bornAt: number): Runner => runner('r', { id: instanceId('r', bornAt), bornAt });
    knowledge.learnRunners(0, [{ id: 'r', position: positionAt(1), runner: start(1000) }], 'store');
    knowledge.learnStart('r', 2000);
    expect(ids(knowledge, 0)).toEqual([]);
    knowledge.learnRunners(0, [{ id: 'r', position: positionAt(2), runner: start(1000) }], 'peer');
    expect(ids(knowledge, 0)).toEqual([]);
    knowledge.learnRunners(0, [{ id: 'r', position: positionAt(3), runner: start(2000) }], 'store');
    expect(ids(knowledge, 0)).toEqual(['r@2000']);
  });

  /*
   * Another writer has put an entry over that of a runner. It is read again with
   * every full list and told by every peer. The runner gets no work, and the log
   * has one line for the entry, not one for each time that it is read.
   */
  test('reports an entry that names no runner once for each revision', () => {
    const lines: string[] = [];
    let counted = 0;
    const knowledge = new RoutingState(
      new StoreHistory(),
      pino({ level: 'warn' }, { write: (line) => lines.push(line) }),
      {
        onChange: () => {},
        onInvalidEntry: () => {
          counted += 1;
        },
      },
    );
    knowledge.learnRunners(0, [{ id: 'r', position: positionAt(1), runner: runner('r') }], 'store');
    const unfit = (revision: number): RunnerRecord => ({
      id: 'r',
      position: positionAt(revision),
      runner: undefined,
      unreadable: 'runner r: at slots: unfit',
    });
    for (let now = 0; now < 200_000; now += 1000) {
      knowledge.learnRunners(now, [unfit(2)], 'store');
      expect(ids(knowledge, now)).toEqual([]);
    }
    knowledge.learnRunners(200_000, [unfit(3)], 'peer');
    expect([lines.length, counted]).toEqual([2, 2]);
    expect(lines[0]).toContain('[503] runner r: at slots: unfit');
    knowledge.learnRunners(201_000, [{ id: 'r', position: positionAt(4), runner: runner('r') }], 'store');
    expect(ids(knowledge, 201_000)).toEqual(['r']);
  });

  test('reports a runner of a service that it does not know once', () => {
    let counted = 0;
    const knowledge = new RoutingState(new StoreHistory(), pino({ level: 'silent' }), {
      onChange: () => {},
      onInvalidEntry: () => {
        counted += 1;
      },
    });
    knowledge.learnConfig(0, config(1), 'store');
    for (let revision = 1; revision < 9; revision += 1) {
      knowledge.learnRunners(
        0,
        [{ id: 'r', position: positionAt(revision), runner: runner('r') }],
        'store',
      );
    }
    expect(counted).toBe(1);
  });
});
