/** Types of the software versions that begin streams. */

/** Stands for a version that is not known; no runner is sent a stream by it. */
export const UNKNOWN_VERSION = '';

/** Which software version of which service began a stream. */
export interface StreamOrigin {
  readonly service: string;
  readonly version: string;
}

/** Whether two origins are the same. */
export function isSameOrigin(one: StreamOrigin, other: StreamOrigin): boolean {
  return one.service === other.service && one.version === other.version;
}

/** A stream's origin in a message or a table. */
export interface OriginRecord extends StreamOrigin {
  /** Identifies the stream; see `streamKey`. */
  readonly key: string;
}

/**
 * What is known of a stream's origin: `conflicting` if several streams were begun under its key,
 * so that none of their origins can be told to be its own.
 */
export type KnownOrigin = StreamOrigin | 'conflicting';

/** Software versions by service. */
export type VersionsByService = Readonly<Record<string, readonly string[]>>;

/** The record of the software versions that served each service lately, as the store holds it. */
export interface VersionRecord {
  /** Revision of the store at which it was written. */
  readonly revision: number;
  /** Undefined if it cannot be read. */
  readonly versions: VersionsByService | undefined;
}

/** A software version that served a service, and how long ago it last did, in milliseconds. */
export interface VersionSighting extends StreamOrigin {
  readonly agoMs: number;
}
