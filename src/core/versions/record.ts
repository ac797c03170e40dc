/** Decides what the store's record of software versions says of one version. */

import type { StreamOrigin, VersionRecord } from './types';

/**
 * Whether VMs that know nothing but a record would take the streams of a version for those of
 * another one: it names other versions of the service. Of a service that it does not name they
 * infer nothing.
 */
export function lacksVersion(
  record: VersionRecord | undefined,
  { service, version }: StreamOrigin,
): boolean {
  const recorded = record?.versions?.[service];
  return recorded !== undefined && !recorded.includes(version);
}
