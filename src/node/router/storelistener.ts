/** Passes on what the feed reads from the store to the parts of the router that use it. */

import type { Suspect } from '../../core/quarantine/types';
import type { RunnerRecord } from '../../core/routing/directory';
import type { Position } from '../../core/routing/position';
import type { RoutingConfig } from '../../core/routing/types';
import type { VersionRecord } from '../../core/versions/types';
import type { Controllers } from './controllers';
import type { RouterFleet } from './fleet';
import type { RoutingState } from './routingstate';
import type { FeedListener } from './types';

/** Dependencies of the listener. */
export interface StoreListenerContext {
  /** Name of this VM. */
  readonly vm: string;
  readonly routingState: RoutingState;
  readonly fleet: RouterFleet;
  readonly controllers: Controllers;
}

/** The feed's listener. */
export class StoreListener implements FeedListener {
  readonly #context: StoreListenerContext;

  constructor(context: StoreListenerContext) {
    this.#context = context;
  }

  onConfig(config: RoutingConfig): void {
    this.#context.routingState.learnConfig(performance.now(), config, 'store');
  }

  onRunners(facts: readonly RunnerRecord[]): void {
    const { routingState, controllers } = this.#context;
    const { storedVersions } = controllers;
    routingState.learnRunners(performance.now(), storedVersions.hold(facts), 'store');
    storedVersions.check(performance.now());
  }

  onEra(start: Position): void {
    this.#context.routingState.learnEras(performance.now(), [start], 'store');
  }

  onListed(ids: ReadonlySet<string>, position: Position): void {
    this.#context.routingState.learnList(performance.now(), ids, position);
    this.#context.controllers.storedVersions.listed(performance.now());
  }

  onVms(vms: readonly { readonly vm: string; readonly address: string }[]): void {
    const { vm, fleet } = this.#context;
    fleet.addListed(vms.filter((entry) => entry.vm !== vm));
  }

  onSuspects(suspects: readonly Suspect[], isAll: boolean): void {
    this.#context.controllers.quarantine.learnStored(performance.now(), suspects, isAll);
  }

  onVersions(record: VersionRecord | undefined, isAll: boolean): void {
    this.#context.controllers.storedVersions.learn(performance.now(), record, isAll);
  }

  onFleetSize(vms: number): void {
    this.#context.controllers.storedFleetSize.learn(performance.now(), vms);
  }

  onConfirmed(askedAt: number): void {
    this.#context.routingState.freshness.recordStoreAnswer(askedAt);
  }

  onStore(up: boolean, detail: string): void {
    this.#context.controllers.stateSync.storeCallEnded(performance.now(), up, detail);
  }
}
