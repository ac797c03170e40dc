/** Positions in the history of a store that tells no era. */

import type { Position } from '../../src/core/routing/position';

export function positionAt(revision: number, era = 0): Position {
  return { era, revision };
}
