/** Entry point of the `goldcrestdock` program. */

import { daemonSignals } from './signals';

const DAEMONS: ReadonlySet<string | undefined> = new Set(['gateway', 'scheduler', 'node']);

// Until they are handled, signals end the process, and loading the program takes a while.
if (DAEMONS.has(process.argv[2])) daemonSignals();

import('./program')
  .then(({ main }) => main(process.argv))
  .catch((error: Error) => {
    process.stderr.write(`goldcrestdock: ${error.message}\n`);
    process.exit(1);
  });
