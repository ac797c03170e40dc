/** Listener of the router's knowledge that ignores all events. */

import type { KnowledgeListener } from '../../src/node/router/knowledge';

export const noopListener: KnowledgeListener = { onNews: () => {}, onUnfitEntry: () => {} };
