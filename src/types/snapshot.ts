/** Where a node of the platform tells what it believes. */

/** Path on the metrics address; the answer is JSON. */
export const SNAPSHOT_PATH = '/beliefs';
