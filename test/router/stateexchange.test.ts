import pino from 'pino';

import { FleetCensus } from '../../src/core/membership/census';
import type { Suspect } from '../../src/core/quarantine/types';
import type { RoutingConfig, Runner } from '../../src/core/routing/types';
import { StoreHistory } from '../../src/core/routing/position';
import type { RouterFleet } from '../../src/node/router/fleet';
import { RoutingState } from '../../src/node/router/routingstate';
import type { FetchOptions } from '../../src/node/router/stateexchange';
import { StateExchange, decodeRecord, encodeRecord } from '../../src/node/router/stateexchange';
import { noopListener } from '../fakes/listener';
import { positionAt } from '../fakes/position';
import { runnerOf } from '../fakes/runner';
import { quarantineOf, rateLimitsOf } from '../fakes/runs';

const config = (version: number): RoutingConfig => ({
  version,
  routes: [],
  services: [],
  limits: { bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

/** Two VMs, of which one fetches the other's state. */
class Pair {
  readonly caller = new RoutingState(new StoreHistory(), pino({ level: 'silent' }), noopListener);

  readonly callee = new RoutingState(new StoreHistory(), pino({ level: 'silent' }), noopListener);

  readonly quarantines = { caller: quarantineOf(), callee: quarantineOf() };

  readonly rateLimits = {
    caller: rateLimitsOf(this.caller),
    callee: rateLimitsOf(this.callee),
  };

  readonly censuses = { caller: new FleetCensus(0), callee: new FleetCensus(0) };

  /** Number of runner records in each answer. */
  readonly answered: number[] = [];

  async exchange(options: FetchOptions = {}): Promise<void> {
    const server = new StateExchange({
      routingState: this.callee,
      quarantine: this.quarantines.callee,
      rateLimits: this.rateLimits.callee,
      fleet: { all: [], census: this.censuses.callee } as unknown as RouterFleet,
    });
    const call = async (_address: string, _method: string, params: unknown): Promise<unknown> => {
      const answer = server.answer(performance.now(), params);
      this.answered.push(answer.facts.length);
      return answer;
    };
    const { caller: census } = this.censuses;
    const fleet = { call, sync: () => {}, census } as unknown as RouterFleet;
    const { caller: quarantine } = this.quarantines;
    const { caller: rateLimits } = this.rateLimits;
    const sync = new StateExchange({ routingState: this.caller, quarantine, rateLimits, fleet });
    await sync.fetch('a:1', options);
  }
}

const recordOf = (
  id: string,
  revision: number,
): Parameters<RoutingState['learnRunners']>[1][number] => ({
  id,
  position: positionAt(revision),
  runner: runnerOf(id, 'plain'),
});

describe('the state exchange between two VMs', () => {
  test('transfers the configuration and all runners to a new VM, and then only differences', async () => {
    const pair = new Pair();
    pair.callee.learnConfig(0, config(7), 'store');
    pair.callee.learnRunners(
      0,
      Array.from({ length: 300 }, (_, i) => recordOf(`r${i}`, i + 1)),
      'store',
    );
    await pair.exchange();
    expect(pair.caller.configVersion).toBe(7);
    expect(pair.caller.digest).toEqual(pair.callee.digest);
    pair.callee.learnRunners(
      0,
      [{ id: 'r9', position: positionAt(900), runner: undefined }],
      'store',
    );
    expect(pair.caller.digest).not.toEqual(pair.callee.digest);
    await pair.exchange();
    expect(pair.caller.digest).toEqual(pair.callee.digest);
    expect(pair.answered[0]).toBe(300);
    expect(pair.answered[1]).toBeLessThan(20);
  });

  // Guards against a VM that learns nothing of any other because of one record: the whole answer was rejected.
  test('loses odd records and suspect requests, not those beside them', async () => {
    const pair = new Pair();
    const odd = { ...recordOf('odd', 1), runner: runnerOf('odd', 'plain', { slots: 2 ** 40 }) };
    const fraction = { ...recordOf('fraction', 2), position: { era: 0, revision: 2.5 } };
    pair.callee.learnRunners(0, [odd, fraction, recordOf('r1', 3)], 'store');
    const suspectOf = (fingerprint: string): Suspect => ({
      fingerprint,
      ends: ['a', 'b', 'c'].map((runner) => ({ runner, agoMs: 1 })),
    });
    const now = performance.now();
    const suspects = ['f'.repeat(65), 'sound'].map(suspectOf);
    pair.quarantines.callee.learn(now, suspects, 'store');
    await pair.exchange({ members: true });
    expect(pair.caller.runnersOf(0, 's').map(({ id }) => id)).toEqual(['r1']);
    const learnt = pair.quarantines.caller.suspects(performance.now());
    expect(learnt.map(({ fingerprint }) => fingerprint)).toEqual(['sound']);
  });

  // Guards against VMs of an older program that pass on a start time in microseconds, beside which no later instance counts.
  test('learns no instance whose start time cannot be true', async () => {
    const pair = new Pair();
    const startedAt = (bornAt: number): Runner =>
      runnerOf(`r@${bornAt}`, 'plain', { listing: 'r', bornAt });
    const odd = { id: 'r', position: positionAt(1), runner: startedAt(1_700_000_000_000_000) };
    pair.callee.learnRunners(0, [odd], 'store');
    await pair.exchange();
    const sound = { id: 'r', position: positionAt(2), runner: startedAt(1_700_000_000_000) };
    pair.caller.learnRunners(0, [sound], 'store');
    expect(pair.caller.runnersOf(0, 's').map(({ id }) => id)).toEqual([sound.runner.id]);
    expect(() => decodeRecord(encodeRecord(odd))).toThrow('does not fit');
  });

  // Guards against a VM that learns no runners since the configuration of the other one, of another program, does not fit.
  test('transfers the runners beside a configuration that does not fit', async () => {
    const pair = new Pair();
    const limits = { bodyBytes: Infinity, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    pair.callee.learnConfig(0, { ...config(7), limits }, 'store');
    pair.callee.learnRunners(0, [recordOf('r1', 1)], 'store');
    await expect(pair.exchange()).rejects.toThrow('malformed configuration');
    expect(pair.caller.configVersion).toBe(0);
    expect(pair.caller.runnersOf(0, 's').map(({ id }) => id)).toEqual(['r1']);
  });

  /*
   * Two changes arrive in the wrong order, the later one first. The highest revision is then
   * the same at both VMs, but their records differ: the digests must show that.
   */
  test('finds a change that arrives after a later one', async () => {
    const pair = new Pair();
    pair.callee.learnRunners(0, [recordOf('r1', 5), recordOf('r2', 6)], 'store');
    pair.caller.learnRunners(0, [recordOf('r2', 6)], 'peer');
    expect(pair.caller.digest).not.toEqual(pair.callee.digest);
    await pair.exchange();
    expect(pair.caller.runnersOf(0, 's').map(({ id }) => id)).toEqual(['r2', 'r1']);
  });

  /* While runners change all the time, most records that differ are on their way: a fleet of thousands would send them all again each second. */
  test('transfers no more than the latest records to a VM that asks for these', async () => {
    const pair = new Pair();
    const records = Array.from({ length: 500 }, (_, i) => recordOf(`r${i}`, i + 1));
    pair.callee.learnRunners(0, records, 'store');
    await pair.exchange({ recentOnly: true });
    expect(pair.answered).toEqual([200]);
    expect(pair.caller.runnersPosition).toEqual(positionAt(500));
    expect(pair.caller.runnersOf(0, 's').length).toBe(200);
  });

  /*
   * The runners' entries expired in an outage of the store. Only readers of the store know of
   * the outage; a VM that learns of the removal from one must use the runner for as long.
   */
  test('transfers how long a runner stays in use whose entry has expired', () => {
    const pair = new Pair();
    pair.callee.learnRunners(0, [recordOf('r1', 1)], 'store');
    pair.caller.learnRunners(0, [recordOf('r1', 1)], 'peer');
    pair.callee.storeAnswered(-1000);
    pair.callee.storeFailed();
    pair.callee.storeAnswered(1500);
    pair.callee.learnList(1500, new Set(), positionAt(8));
    const [gone] = pair.callee.recordsDiffering(2000, pair.caller.digestParts, 100);
    expect(gone?.graceMs).toBe(2000);
    pair.caller.learnRunners(2000, gone ? [decodeRecord(encodeRecord(gone))] : [], 'peer');
    expect(pair.caller.runnersOf(3900, 's').length).toBe(1);
    expect(pair.caller.runnersOf(4100, 's').length).toBe(0);
  });

  test('rejects a runner record that does not fit the schema', () => {
    expect(() => decodeRecord('{"id": 3}')).toThrow('does not fit');
    expect(() => decodeRecord('{')).toThrow('no JSON');
  });

  /* A VM that starts while a runner is rate limited must not learn that by sending requests to it. */
  test('transfers the rate limits of runners, including ended ones', async () => {
    const pair = new Pair();
    const { callee, caller } = pair.rateLimits;
    pair.callee.learnRunners(0, [recordOf('a', 1)], 'store');
    callee.learn(0, [{ runner: 'a', service: 's', version: 1, ratePerS: 1.4 }], 'x');
    await pair.exchange();
    expect(caller.ratePerS('a')).toBe(1.4);
    expect(caller.digest(0)).toBe(callee.digest(0));
    callee.learn(0, [{ runner: 'a', service: 's', version: 2 }], 'x');
    await pair.exchange();
    expect([caller.ratePerS('a'), caller.digest(0)]).toEqual([undefined, '']);
  });

  /*
   * A rate-limited runner is gone, and one VM has dropped its limit already. If the others sent it
   * the limit, it would keep it for another retention period and send it back, and so on forever.
   */
  test('transfers no rate limits of runners that are gone', async () => {
    const pair = new Pair();
    const { callee, caller } = pair.rateLimits;
    callee.learn(0, [{ runner: 'gone', service: 's', version: 1, ratePerS: 1.4 }], 'x');
    expect(callee.digest(0)).toBe('');
    await pair.exchange();
    expect(caller.rateOf('gone')).toBeUndefined();
  });

  // Guards against a VM that starts, hears one other only and takes half of what belongs to the fleet.
  test('transfers the number of VMs with the members', async () => {
    const pair = new Pair();
    const { caller, callee } = pair.censuses;
    callee.learn(0, 66);
    await pair.exchange();
    expect([caller.isComplete, caller.size(0)]).toEqual([false, 1]);
    await pair.exchange({ members: true });
    expect([caller.isComplete, caller.size(0)]).toEqual([true, 66]);
  });
});
