/** Entries with which runners register in the platform's store. */

/** Returns a complete entry of a plain runner with some fields replaced; fields that are undefined are omitted in JSON. */
export function entryOf(change: Readonly<Record<string, unknown>> = {}): Record<string, unknown> {
  return {
    service: 's',
    address: '10.0.0.1:80',
    zone: 'a',
    version: 'v1',
    slots: 32,
    state: 'ready',
    'cold-remaining-ms': 0,
    sequence: 0,
    ...change,
  };
}
