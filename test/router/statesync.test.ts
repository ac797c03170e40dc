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

/** A VM that has just joined a fleet; records whether it reads the store. */
class JoiningVm {
  reads = false;

  readonly lines: string[] = [];

  readonly controller: StateSync;

  readonly #fetches: { readonly resolve: () => void; readonly reject: (error: Error) => void }[] =
    [];

  constructor(others: readonly string[]) {
    const log = pino({ base: null }, { write: (line) => this.lines.push(line) });
    const self = memberOf('new');
    const all = [self, ...others.map(memberOf)];
    const routingState = new RoutingState(new StoreHistory(), log, noopListener);
    this.controller = new StateSync({
      routingState,
      authorizer: authorizerOf(routingState),
      quarantine: quarantineOf(),
      fleet: { self, all, members: { heardAt: 0 }, contact: () => {} },
      feed: {
        setReading: (reading: boolean) => {
          this.reads = reading;
        },
        stop: () => {},
      },
      exchange: {
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
    this.controller.start();
  }

  /** Completes the pending state exchanges. */
  async answer(): Promise<void> {
    for (const { resolve } of this.#fetches.splice(0)) resolve();
    await Promise.resolve();
  }
}

describe('a VM that has just started', () => {
  beforeEach(() => jest.useFakeTimers());

  afterEach(() => jest.useRealTimers());

  /*
   * The store was restored from an older copy and has an older configuration than the one in
   * force. A VM that started then and read the store first applied that configuration: callers
   * got 404 for a route that all other VMs served, until gossip reached the VM.
   */
  test('reads the store only after a state exchange with another VM', async () => {
    const joining = new JoiningVm(['other']);
    jest.advanceTimersByTime(600);
    expect(joining.reads).toBe(false);
    await joining.answer();
    jest.advanceTimersByTime(300);
    expect(joining.reads).toBe(true);
    joining.controller.stop();
  });

  /*
   * The other VMs are present but do not answer. The wait must end, since the directory lists this
   * VM for callers.
   */
  test('is configured by the store alone if no other VM answers, and logs that', () => {
    const joining = new JoiningVm(['other']);
    jest.advanceTimersByTime(2500);
    expect(joining.reads).toBe(true);
    expect(joining.lines.join('')).toContain('by the store alone');
    joining.controller.stop();
  });
});
