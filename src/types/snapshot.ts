/** Endpoint for the state snapshot of a node of the platform. */

/** Path on the metrics address; the response is JSON. */
export const SNAPSHOT_PATH = '/beliefs';
