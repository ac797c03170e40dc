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

const ids = (state: RoutingState, now: number): readonly string[] =>
  state.runnersOf(now, 's').map(({ id }) => id);

/** Has the store unavailable from one time to another. */
function loseStore(state: RoutingState, from: number, to: number): void {
  state.storeAnswered(from);
  state.storeFailed();
  state.storeAnswered(to);
}

describe('the routing state of a VM', () => {
  test('never returns to an older configuration', () => {
    const state = fresh();
    expect(state.learnConfig(0, config(7), 'store')).toBe(true);
    expect(state.learnConfig(1, config(4), 'peer')).toBe(false);
    expect(state.configVersion).toBe(7);
  });

  /*
   * A peer with outdated state sends the record of a runner that meanwhile leaves. The runner must
   * not get new work.
   */
  test('never returns to an older record of a runner', () => {
    const state = fresh();
    const leaving = runner('r', { leaving: true });
    state.learnRunners(0, [{ id: 'r', position: positionAt(9), runner: leaving }], 'store');
    state.learnRunners(1, [{ id: 'r', position: positionAt(5), runner: runner('r') }], 'peer');
    expect(ids(state, 2)).toEqual([]);
  });

  // Guards against runners whose version stays unknown because a VM with an older program told of them first.
  test('adds the software version to a record that lacks it', () => {
    const state = fresh();
    const record = (version: string): RunnerRecord => ({
      id: 'r',
      position: positionAt(3),
      runner: runner('r', { version }),
    });
    const versions = (): readonly string[] => state.runners(1).map(({ version }) => version);
    state.learnRunners(0, [record('')], 'peer');
    expect(versions()).toEqual(['']);
    state.learnRunners(0, [record('v1')], 'store');
    state.learnRunners(0, [record('')], 'peer');
    expect(versions()).toEqual(['v1']);
    expect(state.versions.versionsOf(1, 's')).toContain('v1');
  });

  /*
   * The runners' leases expired during an outage of the store; they register again
   * within two seconds of its end. If they were dropped at once, every request of
   * those two seconds would be rejected.
   */
  test('keeps runners that disappeared in an outage until they had time to register again', () => {
    const state = fresh();
    state.learnRunners(0, [{ id: 'r', position: positionAt(1), runner: runner('r') }], 'store');
    loseStore(state, -1000, 1500);
    state.learnList(1500, new Set(), positionAt(8));
    expect(ids(state, 2500)).toEqual(['r']);
    expect(ids(state, 4100)).toEqual([]);
  });

  /*
   * A single VM had lost the store and has read the full list again. A runner whose entry
   * is removed after that list leaves for good: its lease did not expire in the outage.
   * Kept for as long as an expired one, it got work two seconds after it had left.
   */
  test('keeps a runner that disappears after the first full list only for the short grace period', () => {
    const state = fresh();
    state.learnRunners(0, [{ id: 'r', position: positionAt(1), runner: runner('r') }], 'store');
    loseStore(state, -1000, 1500);
    state.learnList(1500, new Set(['r']), positionAt(8));
    state.learnRunners(2100, [{ id: 'r', position: positionAt(9), runner: undefined }], 'store');
    expect(ids(state, 3000)).toEqual(['r']);
    expect(ids(state, 3200)).toEqual([]);
  });

  /*
   * A runner left, and its entry was removed; the store was restored from a copy that contains
   * the entry, and it is removed once more. With a grace period each time, the runner got work
   * four seconds after it had left.
   */
  test('does not extend the grace period of a runner whose removal is reported again', () => {
    const state = fresh();
    state.learnRunners(0, [{ id: 'r', position: positionAt(1), runner: runner('r') }], 'store');
    state.learnRunners(9, [{ id: 'r', position: positionAt(2), runner: undefined }], 'store');
    loseStore(state, -1000, 1500);
    state.learnRunners(2000, [{ id: 'r', position: positionAt(3), runner: undefined }], 'store');
    expect(ids(state, 2001)).toEqual([]);
  });

  /*
   * A runner announced that it leaves. A heartbeat that it had sent before is written seconds
   * later at a later position and overwrites that. The runner must not get work again.
   */
  test('does not use a runner again that announced to leave', () => {
    const state = fresh();
    const learn = (revision: number, leaving: boolean): void => {
      const reported = runner('r', { leaving });
      state.learnRunners(
        0,
        [{ id: 'r', position: positionAt(revision), runner: reported }],
        'store',
      );
    };
    learn(1, false);
    learn(2, true);
    learn(3, false);
    expect(ids(state, 9)).toEqual([]);
  });

  /*
   * An entry that is removed without an outage means that the runner leaves: it completes its
   * requests, but gets no new ones.
   */
  test('drops a runner whose entry is removed while the store is available', () => {
    const state = fresh();
    state.learnRunners(0, [{ id: 'r', position: positionAt(1), runner: runner('r') }], 'store');
    state.learnRunners(9, [{ id: 'r', position: positionAt(2), runner: undefined }], 'store');
    expect(ids(state, 10)).toEqual([]);
  });

  /*
   * A runner announced that it leaves, then its entry expired in an outage. The outage must not
   * make it usable again.
   */
  test('grants no grace period to a runner that announced to leave', () => {
    const state = fresh();
    const leaving = runner('r', { leaving: true });
    state.learnRunners(0, [{ id: 'r', position: positionAt(1), runner: leaving }], 'store');
    loseStore(state, -1000, 1500);
    state.learnList(1500, new Set(), positionAt(8));
    expect(ids(state, 1600)).toEqual([]);
  });

  /*
   * A runner lost power and restarts under its id without its earlier state: it is another
   * instance. Late records of the earlier instance, even at a higher revision, must change nothing.
   */
  test('treats a restarted runner as another instance, and never returns to the earlier one', () => {
    const state = fresh();
    const start = (bornAt: number, leaving = false): Runner =>
      runner('r', { id: instanceId('r', bornAt), bornAt, leaving });
    const learn = (revision: number, reported: Runner): void =>
      state.learnRunners(
        0,
        [{ id: 'r', position: positionAt(revision), runner: reported }],
        'store',
      );
    learn(1, start(1000, true));
    expect(ids(state, 0)).toEqual([]);
    learn(2, start(2000));
    expect(ids(state, 0)).toEqual(['r@2000']);
    learn(3, start(1000, true));
    expect(ids(state, 0)).toEqual(['r@2000']);
    expect(state.latestStart('r')).toBe(2000);
  });

  /*
   * A runner reports a later start than its entry. The listed instance is gone; the new one gets
   * work once it is listed.
   */
  test('gives no work to an instance that the runner itself reports as replaced', () => {
    const state = fresh();
    const start = (bornAt: number): Runner => runner('r', { id: instanceId('r', bornAt), bornAt });
    state.learnRunners(0, [{ id: 'r', position: positionAt(1), runner: start(1000) }], 'store');
    state.learnStart('r', 2000);
    expect(ids(state, 0)).toEqual([]);
    state.learnRunners(0, [{ id: 'r', position: positionAt(2), runner: start(1000) }], 'peer');
    expect(ids(state, 0)).toEqual([]);
    state.learnRunners(0, [{ id: 'r', position: positionAt(3), runner: start(2000) }], 'store');
    expect(ids(state, 0)).toEqual(['r@2000']);
  });

  /*
   * Another writer has overwritten a runner's entry with an invalid one, which every full list
   * and every peer repeats. The runner must get no work, and the log must have one line per
   * revision of the entry, not one per read.
   */
  test('reports an invalid entry once for each revision', () => {
    const lines: string[] = [];
    let counted = 0;
    const state = new RoutingState(
      new StoreHistory(),
      pino({ level: 'warn' }, { write: (line) => lines.push(line) }),
      {
        onChange: () => {},
        onInvalidEntry: () => {
          counted += 1;
        },
      },
    );
    state.learnRunners(0, [{ id: 'r', position: positionAt(1), runner: runner('r') }], 'store');
    const invalidEntry = (revision: number): RunnerRecord => ({
      id: 'r',
      position: positionAt(revision),
      runner: undefined,
      unreadable: 'runner r: at slots: unfit',
    });
    for (let now = 0; now < 200_000; now += 1000) {
      state.learnRunners(now, [invalidEntry(2)], 'store');
      expect(ids(state, now)).toEqual([]);
    }
    state.learnRunners(200_000, [invalidEntry(3)], 'peer');
    expect([lines.length, counted]).toEqual([2, 2]);
    expect(lines[0]).toContain('[503] runner r: at slots: unfit');
    state.learnRunners(
      201_000,
      [{ id: 'r', position: positionAt(4), runner: runner('r') }],
      'store',
    );
    expect(ids(state, 201_000)).toEqual(['r']);
  });

  describe('with a runner whose version is not recorded yet', () => {
    const fact = (id: string, version: string, held: boolean, revision = 1): RunnerRecord => ({
      id,
      position: positionAt(revision),
      runner: runner(id, { version }),
      held,
    });
    const release = (state: RoutingState, now: number): void => state.releaseHeld(now, () => false);

    // Guards against streams of a version that VMs which all start anew do not know of.
    test('uses others until it is recorded', () => {
      const state = fresh();
      state.learnRunners(0, [fact('old', 'v1', false), fact('new', 'v2', true)], 'store');
      expect(ids(state, 100)).toEqual(['old']);
      expect(state.accepts(100, runner('new', { version: 'v2' }))).toBe(false);
      release(state, 200);
      expect(ids(state, 200)).toEqual(['old', 'new']);
      expect(state.accepts(200, runner('new', { version: 'v2' }))).toBe(true);
    });

    // Guards against a service that stands still while the store takes no writes.
    test('uses it where no other is left, and after a time in any case', () => {
      const state = fresh();
      state.learnRunners(0, [fact('old', 'v1', false), fact('new', 'v2', true)], 'store');
      state.learnRunners(1000, [fact('new', 'v2', true, 2)], 'store');
      expect([ids(state, 2900), ids(state, 3000)]).toEqual([['old'], ['old', 'new']]);
      const other = fresh();
      other.learnRunners(0, [fact('old', 'v1', false), fact('new', 'v2', true)], 'store');
      other.learnRunners(9, [{ id: 'old', position: positionAt(2), runner: undefined }], 'store');
      expect(ids(other, 10)).toEqual(['new']);
      expect(other.accepts(10, runner('new', { version: 'v2' }))).toBe(true);
    });

    test.each([1, 2])('uses it as soon as another VM says it is recorded: %i', (revision) => {
      const state = fresh();
      state.learnRunners(0, [fact('old', 'v1', false), fact('new', 'v2', true, revision)], 'store');
      const { rest } = state.digest;
      state.learnRunners(50, [fact('new', 'v2', false, 1)], 'peer');
      expect(ids(state, 100)).toEqual(['old', 'new']);
      expect(state.digest.rest).not.toBe(rest);
      // A reader that has not read the record yet still takes it for missing.
      state.learnRunners(100, [fact('new', 'v2', true, 3)], 'peer');
      expect(ids(state, 150)).toEqual(['old', 'new']);
    });

    test('holds it again if it restarts with a further version', () => {
      const state = fresh();
      state.learnRunners(0, [fact('old', 'v1', false), fact('new', 'v2', false)], 'store');
      state.learnRunners(100, [fact('new', 'v3', true, 2)], 'store');
      expect(ids(state, 150)).toEqual(['old']);
    });

    test('gives no work to it in the grace period after an outage of the store', () => {
      const state = fresh();
      state.learnRunners(0, [fact('old', 'v1', false), fact('new', 'v2', true)], 'store');
      const gone = { id: 'new', position: positionAt(2), runner: undefined, graceMs: 2500 };
      state.learnRunners(100, [gone], 'peer');
      expect(ids(state, 150)).toEqual(['old']);
    });
  });

  // Guards against a process and a log that grow with what other writers leave in the store.
  test('keeps no invalid entry but one that replaced a runner, and logs a bounded number', () => {
    const lines: string[] = [];
    const log = pino({ level: 'warn' }, { write: (line) => lines.push(line) });
    const state = new RoutingState(new StoreHistory(), log, noopListener);
    state.learnRunners(0, [{ id: 'r', position: positionAt(1), runner: runner('r') }], 'store');
    const invalid = (id: string, revision: number): RunnerRecord => ({
      id,
      position: positionAt(revision),
      runner: undefined,
      unreadable: 'found 1048576 bytes',
    });
    const flood = Array.from({ length: 20_000 }, (_, index) => invalid(`x${index}`, index + 2));
    for (let now = 0; now < 500; now += 100) state.learnRunners(now, flood, 'store');
    const kept = (): readonly string[] =>
      state.recordsDiffering(500, Array(64).fill(-1), 50_000).map(({ id }) => id);
    expect(kept()).toEqual(['r']);
    expect(lines.length).toBe(20);
    state.learnRunners(500, [invalid('r', 30_000)], 'store');
    expect([ids(state, 500), kept()]).toEqual([[], ['r']]);
  });

  // Guards against a process that grows with the entries that other writers remove again.
  test('remembers a bounded number of removals of what named no runner', () => {
    const state = new RoutingState(new StoreHistory(), pino({ level: 'silent' }), noopListener);
    const removed = Array.from({ length: 20_000 }, (_, index) => ({
      id: `x${index}`,
      position: positionAt(index + 1),
      runner: undefined,
    }));
    state.learnRunners(0, removed, 'store');
    expect(state.recordsDiffering(0, Array(64).fill(-1), 50_000).length).toBe(1000);
    // They are forgotten like those of runners.
    expect(state.runners(61_001)).toEqual([]);
    expect(state.recordsDiffering(61_001, Array(64).fill(-1), 50_000)).toEqual([]);
  });

  // Guards against requests to a runner whose entry was replaced, since a VM that is out of date told of it.
  test('uses no runner of which another VM tells if the last list lacks it', () => {
    const state = new RoutingState(new StoreHistory(), pino({ level: 'silent' }), noopListener);
    const record = (id: string, revision: number): RunnerRecord => ({
      id,
      position: positionAt(revision),
      runner: runner(id),
    });
    state.learnList(0, new Set(['listed']), positionAt(20));
    state.learnRunners(
      1,
      [record('older', 10), record('listed', 10), record('newer', 21)],
      '10.0.0.2:1',
    );
    expect(ids(state, 1)).toEqual(['listed', 'newer']);
    // Other VMs learn that it is gone.
    const told = state.recordsDiffering(1, Array(64).fill(-1), 50_000);
    expect(told.find(({ id }) => id === 'older')).toMatchObject({
      position: positionAt(20),
      runner: undefined,
      graceMs: 0,
    });
    state.learnRunners(2, [record('older', 22)], 'store');
    expect(ids(state, 2)).toEqual(['older', 'listed', 'newer']);
  });

  test('reports a runner of an unknown service once', () => {
    let counted = 0;
    const state = new RoutingState(new StoreHistory(), pino({ level: 'silent' }), {
      onChange: () => {},
      onInvalidEntry: () => {
        counted += 1;
      },
    });
    state.learnConfig(0, config(1), 'store');
    for (let revision = 1; revision < 9; revision += 1) {
      state.learnRunners(
        0,
        [{ id: 'r', position: positionAt(revision), runner: runner('r') }],
        'store',
      );
    }
    expect(counted).toBe(1);
  });
});
