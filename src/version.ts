/** Version of this build. The bundler replaces the declared constant with its value. */

declare const GOLDCRESTDOCK_VERSION: string | undefined;

/** Version and commit, or `dev` when run from sources. */
export const version = typeof GOLDCRESTDOCK_VERSION === 'undefined' ? 'dev' : GOLDCRESTDOCK_VERSION;
