/** Positions in the history of a store. */

import type { Position } from '../../src/core/routing/position';

/** Returns the position of a revision; era 0 is that of a store that reports no era. */
export function positionAt(revision: number, era = 0): Position {
  return { era, revision };
}
