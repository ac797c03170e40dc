/** Positions in the history of a store that tells no era. */

import type { Position } from '../../src/core/routing/position';

export function at(revision: number, era = 0): Position {
  return { era, revision };
}
