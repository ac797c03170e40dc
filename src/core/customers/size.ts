/** Cost of a run against its customer's quota. */

import type { Quota } from './types';

/** Size of a request in tokens. */
export interface RequestSize {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** Cost of a run in the quota's unit; a request of unknown size counts as `plainTokens`. */
export function sizeOf({ unit, plainTokens }: Quota, size: RequestSize | undefined): number {
  if (unit === 'requests') return 1;
  return size ? size.promptTokens + size.maxOutputTokens : plainTokens;
}
