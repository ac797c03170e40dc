/** What a run counts against its customer's quota. */

import type { Quota } from './types';

/** What a request tells of its size. */
export interface RequestSize {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** What a run counts, in the quota's unit. */
export function sizeOf({ unit, plainTokens }: Quota, size: RequestSize | undefined): number {
  if (unit === 'requests') return 1;
  return size ? size.promptTokens + size.maxOutputTokens : plainTokens;
}
