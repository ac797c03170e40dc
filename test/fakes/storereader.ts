/** A VM that reads the store's stand-in. */

import pino from 'pino';

import { StoreHistory } from '../../src/core/routing/position';
import { RoutingState } from '../../src/node/router/routingstate';
import { StoreFeed } from '../../src/platform/feed';
import { waitUntil } from './cluster';
import { noopListener } from './listener';
import type { FakeStore } from './store';
import { clientOf } from './store';

const log = pino({ level: 'silent' });

/** A VM that reads the store, with the state that it builds from it. */
export class StoreReader {
  readonly #history = new StoreHistory();

  readonly routingState = new RoutingState(this.#history, log, noopListener);

  readonly #feed: StoreFeed;

  constructor(store: FakeStore) {
    const self = { vm: 'vm1', address: '10.0.0.9:1' };
    this.#feed = new StoreFeed(clientOf(store, this.#history), self, this.#history, log);
    const { routingState } = this;
    this.#feed.start({
      onConfig: (config) => {
        routingState.learnConfig(performance.now(), config, 'store');
      },
      onRunners: (facts) => routingState.learnRunners(performance.now(), facts, 'store'),
      onEra: (start) => routingState.learnEras(performance.now(), [start], 'store'),
      onListed: (ids, position) => routingState.learnList(performance.now(), ids, position),
      onVms: () => {},
      onStore: (up) => {
        if (up) routingState.storeAnswered(performance.now());
        else routingState.storeFailed();
      },
      onSuspects: () => {},
      onVersions: () => {},
      onFleetSize: () => {},
      onConfirmed: () => {},
    });
    this.#feed.setReading(true);
  }

  stop(): void {
    this.#feed.stop();
  }

  get runners(): readonly string[] {
    return this.routingState
      .runnersOf(performance.now(), 's')
      .map(({ id }) => id)
      .sort();
  }

  async sees(...ids: readonly string[]): Promise<void> {
    await waitUntil(`it sees ${ids.join(' ')}`, () => this.runners.join(' ') === ids.join(' '));
  }
}
