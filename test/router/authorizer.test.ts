import pino from 'pino';

import type { Customer } from '../../src/core/customers/types';
import { StoreHistory } from '../../src/core/routing/position';
import type { RoutingConfig } from '../../src/core/routing/types';
import { Authorizer } from '../../src/node/router/authorizer';
import { RoutingState } from '../../src/node/router/routingstate';
import { noopListener } from '../fakes/listener';

const config = (customers?: readonly Customer[]): RoutingConfig => ({
  version: 1,
  routes: [],
  services: [],
  limits: { bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  ...(customers ? { customers } : {}),
});

/** The authorizer of a VM that has a configuration of unknown age. */
function authorizerOf(customers?: readonly Customer[]): Authorizer {
  const routingState = new RoutingState(
    new StoreHistory(),
    pino({ level: 'silent' }),
    noopListener,
  );
  routingState.learnConfig(0, config(customers), 'test');
  return new Authorizer(routingState, () => ({ keyMs: 4700, finalMs: 2000 }));
}

describe('a VM whose configuration is of unknown age', () => {
  /*
   * Where no keys are required, no VM confirms the age of its configuration. Guards against a 503
   * in place of every 404, after which callers retry again and again for routes that were removed.
   */
  test('answers that a route does not exist where no keys are required', () => {
    expect(authorizerOf().staleRefusal(0, 'a route')).toBeUndefined();
  });

  test('refuses to answer that a route does not exist where keys are required', () => {
    expect(authorizerOf([]).staleRefusal(0, 'a route')?.codeName).toBe('configOld');
  });
});
