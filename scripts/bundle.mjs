// Bundles the program, the simulated servers and the scripts, each into one CommonJS file under build/.
import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';

import { build } from 'esbuild';

const { values } = parseArgs({ options: { only: { type: 'string' }, out: { type: 'string' } } });

const { version } = JSON.parse(readFileSync(new URL('../package.json', import.meta.url), 'utf8'));

/** Abbreviated commit of the checkout, or `unknown`. Reads the files under .git because git may not be installed. */
function commit() {
  const read = (path) => readFileSync(new URL(`../.git/${path}`, import.meta.url), 'utf8').trim();
  try {
    const head = read('HEAD');
    return (head.startsWith('ref: ') ? read(head.slice('ref: '.length)) : head).slice(0, 10);
  } catch {
    return 'unknown';
  }
}

const entryPoints = {
  goldcrestdock: 'src/cli/main.ts',
  fakes: 'test/fakes/main.ts',
  start: 'scripts/start.ts',
  load: 'scripts/load.ts',
  policies: 'scripts/policies.ts',
  memory: 'scripts/memory.ts',
  slopes: 'scripts/slopes.ts',
  account: 'scripts/account.ts',
  chaos: 'scripts/chaos/main.ts',
  soak: 'scripts/soak/main.ts',
  storm: 'scripts/storm.ts',
  docs: 'scripts/docs/main.ts',
};

await build({
  entryPoints:
    values.only === undefined ? entryPoints : { [values.only]: entryPoints[values.only] },
  outdir: values.out ?? 'build',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  alias: Object.fromEntries(
    ['unix-dgram', 'bufferutil', 'utf-8-validate', 'msgpackr-extract'].map((name) => [
      name,
      './scripts/absent.cjs',
    ]),
  ),
  define: { GOLDCRESTDOCK_VERSION: JSON.stringify(`${version} (${commit()})`) },
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
});
