import pino from 'pino';

import type { Customer } from '../../src/core/customers/types';
import { StoreHistory } from '../../src/core/routing/position';
import type { RouteTable } from '../../src/core/routing/table';
import type { RoutingConfig } from '../../src/core/routing/types';
import { Authorizer } from '../../src/node/router/authorizer';
import { RoutingState } from '../../src/node/router/routingstate';
import { streamRoute } from '../fakes/exchange';
import { noopListener } from '../fakes/listener';

const config = (customers?: readonly Customer[]): RoutingConfig => ({
  version: 1,
  routes: [],
  services: [],
  limits: { bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  ...(customers ? { customers } : {}),
});

/** The routing state of a VM that has a configuration of unknown age. */
function stateOf(customers?: readonly Customer[]): RoutingState {
  const routingState = new RoutingState(
    new StoreHistory(),
    pino({ level: 'silent' }),
    noopListener,
  );
  routingState.learnConfig(0, config(customers), 'test');
  return routingState;
}

/** The authorizer of a VM with this routing state. */
function authorizerFor(routingState: RoutingState): Authorizer {
  return new Authorizer(routingState, () => ({ keyMs: 4700, finalMs: 2000 }));
}

describe('a VM whose configuration is of unknown age', () => {
  /*
   * Where no keys are required, no VM confirms the age of its configuration. Guards against a 503
   * in place of every 404, after which callers retry again and again for routes that were removed.
   */
  test('answers that a route does not exist where no keys are required', () => {
    expect(authorizerFor(stateOf()).staleRefusal(0, 'a route')).toBeUndefined();
  });

  test('refuses to answer that a route does not exist where keys are required', () => {
    expect(authorizerFor(stateOf([])).staleRefusal(0, 'a route')?.codeName).toBe('configOld');
  });
});

describe('a VM that has heard of a newer configuration than its own', () => {
  /* The route or key may be new, and callers do not come back after a final answer. */
  test.each([{ customers: undefined }, { customers: [] }])(
    'gives no final answer until it has that configuration: $customers',
    ({ customers }) => {
      const routingState = stateOf(customers);
      const authorizer = authorizerFor(routingState);
      routingState.freshness.confirm(0);
      expect(authorizer.staleRefusal(0, 'a route')).toBeUndefined();
      routingState.learnVersion(2, 'a:1');
      expect(authorizer.staleRefusal(0, 'a route')?.codeName).toBe('configOld');
      routingState.learnConfig(0, { ...config(customers), version: 2 }, 'a:1');
      expect(authorizer.staleRefusal(0, 'a route')).toBeUndefined();
    },
  );

  test('does not say that a key is unknown', () => {
    const routingState = stateOf([]);
    const authorizer = authorizerFor(routingState);
    routingState.freshness.confirm(0);
    routingState.learnVersion(2, 'a:1');
    const table = routingState.table as RouteTable;
    const identify = (): unknown =>
      authorizer.identify(0, table, streamRoute, { kind: 'key', digest: 'x' });
    expect(identify).toThrow(expect.objectContaining({ codeName: 'configOld' }));
    routingState.learnConfig(0, { ...config([]), version: 2 }, 'a:1');
    expect(identify).toThrow(expect.objectContaining({ codeName: 'unauthorized' }));
  });
});
