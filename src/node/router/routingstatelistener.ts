/** Changes of the routing state, and who receives them. */

import type { RunnerRecord } from '../../core/routing/directory';

/** A change of the configuration, of runners or of the store's era. */
export type StateChange =
  | { readonly kind: 'config' }
  | { readonly kind: 'runners'; readonly facts: readonly RunnerRecord[] }
  /** `cameBack`: a different era was known before, so the store was restored from an older copy. */
  | { readonly kind: 'era'; readonly cameBack: boolean };

/** Receives the changes of the routing state. */
export interface RoutingStateListener {
  onChange(change: StateChange): void;
  /** An entry was received that describes no usable runner. */
  onInvalidEntry(): void;
}
