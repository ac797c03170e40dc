/** Entries under which runners list themselves in the platform's store. */

/** A whole entry of a plain runner, with fields changed or, where undefined, left out. */
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
