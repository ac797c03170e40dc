// Builds dist/goldcrestdock: the bundle embedded in a copy of the Node binary, as a single executable application.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';

import { inject } from 'postject';

const RESOURCE = 'NODE_SEA_BLOB';
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync('dist', { recursive: true });
writeFileSync(
  'build/sea.json',
  JSON.stringify({
    main: 'build/goldcrestdock.cjs',
    output: 'build/goldcrestdock.blob',
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', 'build/sea.json'], {
  stdio: 'ignore',
});
copyFileSync(process.execPath, 'dist/goldcrestdock');
chmodSync('dist/goldcrestdock', 0o755);
await inject('dist/goldcrestdock', RESOURCE, readFileSync('build/goldcrestdock.blob'), {
  sentinelFuse: FUSE,
});
