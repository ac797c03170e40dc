import pino from 'pino';

import type { RoutingConfig } from '../../src/core/routing/types';
import { StoreHistory } from '../../src/core/routing/position';
import type { RouterFleet } from '../../src/node/router/fleet';
import { RoutingState } from '../../src/node/router/routingstate';
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

/** Two VMs: what one asks, the other answers. */
class Pair {
  readonly asking = new RoutingState(new StoreHistory(), pino({ level: 'silent' }), noopListener);

  readonly asked = new RoutingState(new StoreHistory(), pino({ level: 'silent' }), noopListener);

  readonly quarantines = { asking: quarantineOf(), asked: quarantineOf() };

  readonly rateLimits = {
    asking: rateLimitsOf(this.asking),
    asked: rateLimitsOf(this.asked),
  };

  /** Facts in each answer. */
  readonly answered: number[] = [];

  async exchange(): Promise<void> {
    const bearer = new StateExchange({
      knowledge: this.asked,
      quarantine: this.quarantines.asked,
      rateLimits: this.rateLimits.asked,
      fleet: { all: [] } as unknown as RouterFleet,
    });
    const call = async (_address: string, _method: string, params: unknown): Promise<unknown> => {
      const answer = bearer.answer(performance.now(), params);
      this.answered.push(answer.facts.length);
      return answer;
    };
    const fleet = { call, sync: () => {} } as unknown as RouterFleet;
    const { asking: quarantine } = this.quarantines;
    const { asking: rateLimits } = this.rateLimits;
    const sync = new StateExchange({ knowledge: this.asking, quarantine, rateLimits, fleet });
    await sync.fetch('a:1', false);
  }
}

const fact = (id: string, revision: number): Parameters<RoutingState['learnRunners']>[1][number] => ({
  id,
  position: positionAt(revision),
  runner: runnerOf(id, 'plain'),
});

describe('the exchange of what two VMs know', () => {
  test('brings a new VM the configuration and all runners, and then only what differs', async () => {
    const pair = new Pair();
    pair.asked.learnConfig(0, config(7), 'store');
    pair.asked.learnRunners(
      0,
      Array.from({ length: 300 }, (_, i) => fact(`r${i}`, i + 1)),
      'store',
    );
    await pair.exchange();
    expect(pair.asking.configVersion).toBe(7);
    expect(pair.asking.digest).toBe(pair.asked.digest);
    pair.asked.learnRunners(0, [{ id: 'r9', position: positionAt(900), runner: undefined }], 'store');
    expect(pair.asking.digest).not.toBe(pair.asked.digest);
    await pair.exchange();
    expect(pair.asking.digest).toBe(pair.asked.digest);
    expect(pair.answered[0]).toBe(300);
    expect(pair.answered[1]).toBeLessThan(20);
  });

  /*
   * Two changes come in the wrong order, the later one first. The highest revision
   * is the same at both VMs then, but what they know is not: it has to show.
   */
  test('finds a change that was overtaken by a later one', async () => {
    const pair = new Pair();
    pair.asked.learnRunners(0, [fact('r1', 5), fact('r2', 6)], 'store');
    pair.asking.learnRunners(0, [fact('r2', 6)], 'peer');
    expect(pair.asking.digest).not.toBe(pair.asked.digest);
    await pair.exchange();
    expect(pair.asking.runnersOf(0, 's').map(({ id }) => id)).toEqual(['r2', 'r1']);
  });

  /*
   * The store was down, and the runners' entries lapsed. Only readers know that; a VM
   * that hears of the removal from one has to keep the runner in use as long as it does.
   */
  test('tells how long a runner stays in use whose entry has lapsed', () => {
    const pair = new Pair();
    pair.asked.learnRunners(0, [fact('r1', 1)], 'store');
    pair.asking.learnRunners(0, [fact('r1', 1)], 'peer');
    pair.asked.storeFailed(1000);
    pair.asked.learnList(1500, new Set(), positionAt(8));
    const [gone] = pair.asked.recordsDiffering(2000, pair.asking.digestParts, 100);
    expect(gone?.graceMs).toBe(2000);
    pair.asking.learnRunners(2000, gone ? [decodeRecord(encodeRecord(gone))] : [], 'peer');
    expect(pair.asking.runnersOf(3900, 's').length).toBe(1);
    expect(pair.asking.runnersOf(4100, 's').length).toBe(0);
  });

  test('refuses a fact that does not fit', () => {
    expect(() => decodeRecord('{"id": 3}')).toThrow('does not fit');
    expect(() => decodeRecord('{')).toThrow('no JSON');
  });

  /* A VM that starts while a runner is limited must not find that out by sending to it. */
  test('brings the rate limits of runners, ended ones too', async () => {
    const pair = new Pair();
    const { asked, asking } = pair.rateLimits;
    pair.asked.learnRunners(0, [fact('a', 1)], 'store');
    asked.learn(0, [{ runner: 'a', service: 's', version: 1, ratePerS: 1.4 }], 'x');
    await pair.exchange();
    expect(asking.ratePerS('a')).toBe(1.4);
    expect(asking.digest(0)).toBe(asked.digest(0));
    asked.learn(0, [{ runner: 'a', service: 's', version: 2 }], 'x');
    await pair.exchange();
    expect([asking.ratePerS('a'), asking.digest(0)]).toEqual([undefined, '']);
  });

  /*
   * A runner that named a limit is gone, and one VM has forgotten it already. Told of it by the
   * others, it would remember it for another while, and they by it, for ever.
   */
  test('brings no rate limits of runners that are gone', async () => {
    const pair = new Pair();
    const { asked, asking } = pair.rateLimits;
    asked.learn(0, [{ runner: 'gone', service: 's', version: 1, ratePerS: 1.4 }], 'x');
    expect(asked.digest(0)).toBe('');
    await pair.exchange();
    expect(asking.rateOf('gone')).toBeUndefined();
  });
});
