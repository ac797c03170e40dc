import pino from 'pino';

import type { Customer } from '../../src/core/customers/types';
import { StoreHistory } from '../../src/core/routing/position';
import type { RoutingConfig } from '../../src/core/routing/types';
import { Authorizer } from '../../src/node/router/authorizer';
import { RoutingState } from '../../src/node/router/routingstate';
import { silentListener } from '../fakes/listener';

const config = (customers?: readonly Customer[]): RoutingConfig => ({
  version: 1,
  routes: [],
  services: [],
  limits: { bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  ...(customers ? { customers } : {}),
});

/** A gate of a VM that knows a configuration and not how old it can be. */
function gateOf(customers?: readonly Customer[]): Authorizer {
  const knowledge = new RoutingState(new StoreHistory(), pino({ level: 'silent' }), silentListener);
  knowledge.learnConfig(0, config(customers), 'test');
  return new Authorizer(knowledge, () => ({ keyMs: 4700, finalMs: 2000 }));
}

describe('a VM that does not know how old its configuration is', () => {
  /*
   * Where no keys are needed, no VM asks for that age. Every 404 became a 503 with a time to
   * come back, and callers came back again and again for routes that are gone.
   */
  test('says that a route is not there where no keys are needed', () => {
    expect(gateOf().staleRefusal(0, 'a route')).toBeUndefined();
  });

  test('says so of nothing where keys are needed', () => {
    expect(gateOf([]).staleRefusal(0, 'a route')?.codeName).toBe('configOld');
  });
});
