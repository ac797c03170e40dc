/** Listener of the router's knowledge that ignores all events. */

import type { KnowledgeListener } from '../../src/node/router/knowledge';

export const silentListener: KnowledgeListener = { onNews: () => {}, onUnfitEntry: () => {} };
