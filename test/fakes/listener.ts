/** A listener of knowledge that takes no notice. */

import type { RoutingStateListener } from '../../src/node/router/routingstate';

export const noopListener: RoutingStateListener = { onChange: () => {}, onInvalidEntry: () => {} };
