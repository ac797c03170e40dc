/** Listener of the router's knowledge that ignores all events. */

import type { RoutingStateListener } from '../../src/node/router/routingstatelistener';

export const noopListener: RoutingStateListener = { onChange: () => {}, onInvalidEntry: () => {} };
