/** A listener of knowledge that takes no notice. */

import type { KnowledgeListener } from '../../src/node/router/knowledge';

export const silentListener: KnowledgeListener = { onNews: () => {}, onUnfitEntry: () => {} };
