/**
 * Command line that starts one stand-in in its own process and prints `ready` once it listens.
 *
 *     node build/fakes.cjs engine HOST PORT ID [FIGURES-JSON]
 *     node build/fakes.cjs service HOST PORT
 *     node build/fakes.cjs platform HOST PORT
 */

import { EngineServer } from './engine/server';
import { PlatformServer } from './platform';
import { PlainServer } from './service';

async function main(): Promise<void> {
  const [kind, host = '127.0.0.1', port = '0', ...rest] = process.argv.slice(2);
  if (kind === 'engine') {
    const [id = 'engine', figures = '{}'] = rest;
    await new EngineServer({
      id,
      host,
      port: Number(port),
      figures: JSON.parse(figures) as object,
    }).start();
  } else if (kind === 'service') {
    await new PlainServer().start(Number(port), host);
  } else if (kind === 'platform') {
    await new PlatformServer().start(Number(port), host);
  } else {
    throw new Error(`found '${kind}', expected engine, service or platform`);
  }
  console.log('ready');
}

main().catch((error: Error) => {
  console.error(error.message);
  process.exitCode = 2;
});
