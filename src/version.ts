/** Version of this build, defined by the bundler. */

declare const GOLDCRESTDOCK_VERSION: string | undefined;

/** Package version and abbreviated commit, such as `1.2.3 (0123abcdef)`; `dev` when run from sources. */
export const version = typeof GOLDCRESTDOCK_VERSION === 'undefined' ? 'dev' : GOLDCRESTDOCK_VERSION;
