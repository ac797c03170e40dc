import pino from 'pino';

import type { Member } from '../../src/core/membership/types';
import { StoreHistory } from '../../src/core/routing/position';
import { RoutingState } from '../../src/node/router/routingstate';
import type { StateSyncContext } from '../../src/node/router/statesync';
import { StateSync } from '../../src/node/router/statesync';
import { RouterMetrics } from '../../src/node/router/metrics';
import { noopListener } from '../fakes/listener';
import { authorizerOf, quarantineOf } from '../fakes/runs';

const memberOf = (vm: string): Member => ({
  vm,
  domain: 'a',
  address: `${vm}:1`,
  incarnation: 1,
  state: 'alive',
  draining: false,
  gateways: [],
  cores: 1,
  storeLost: false,
});

/** A VM that has just started beside others, and whether it reads the store. */
class Newcomer {
  reads = false;

  readonly lines: string[] = [];

  readonly desk: StateSync;

  readonly #fetches: { readonly resolve: () => void; readonly reject: (error: Error) => void }[] =
    [];

  constructor(others: readonly string[]) {
    const log = pino({ base: null }, { write: (line) => this.lines.push(line) });
    const self = memberOf('new');
    const all = [self, ...others.map(memberOf)];
    const knowledge = new RoutingState(new StoreHistory(), log, noopListener);
    this.desk = new StateSync({
      knowledge,
      gate: authorizerOf(knowledge),
      quarantine: quarantineOf(),
      fleet: { self, all, members: { heardAt: 0 }, contact: () => {} },
      feed: {
        setReading: (reading: boolean) => {
          this.reads = reading;
        },
        stop: () => {},
      },
      sync: {
        fetch: () =>
          new Promise<void>((resolve, reject) => {
            this.#fetches.push({ resolve, reject });
          }),
      },
      metrics: new RouterMetrics(),
      log,
      seeds: [],
      self: self.address,
      onDescription: () => {},
    } as unknown as StateSyncContext);
    this.desk.start();
  }

  /** The VMs that were asked answer. */
  async answer(): Promise<void> {
    for (const { resolve } of this.#fetches.splice(0)) resolve();
    await Promise.resolve();
  }
}

describe('a VM that has just started', () => {
  beforeEach(() => jest.useFakeTimers());

  afterEach(() => jest.useRealTimers());

  /*
   * The store has come back from an older copy, with an older configuration than is in
   * force. A VM that starts in that moment and reads the store first served by it: callers
   * got 404 for a route that all other VMs served, until news came round.
   */
  test('reads the store only once another VM told it what is in force', async () => {
    const newcomer = new Newcomer(['other']);
    jest.advanceTimersByTime(600);
    expect(newcomer.reads).toBe(false);
    await newcomer.answer();
    jest.advanceTimersByTime(300);
    expect(newcomer.reads).toBe(true);
    newcomer.desk.stop();
  });

  /* The others are there but do not answer. It cannot wait for ever: callers are told its address. */
  test('goes by the store alone if no other VM answers, and says so', () => {
    const newcomer = new Newcomer(['other']);
    jest.advanceTimersByTime(2500);
    expect(newcomer.reads).toBe(true);
    expect(newcomer.lines.join('')).toContain('by the store alone');
    newcomer.desk.stop();
  });
});
