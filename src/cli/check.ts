/** The command `check`: validates a settings file. */

import { parseDocument } from '../core/settings/parse';
import { loadConfig, readText } from '../node/config';
import { loadSettings } from '../platform/settings';

/** Options of the command. */
export interface CheckOptions {
  /** Path at which operators store the settings, or `platform`. Default: the file is the configuration of a gateway or scheduler. */
  readonly as?: string;
}

/** Value of `--as` for the settings that the platform passes to `node`. */
const PLATFORM = 'platform';

/** Validates a file and prints the result; throws a `Failure` with what was found and expected. */
export function checkFile(file: string, { as }: CheckOptions): void {
  if (as === PLATFORM) {
    const { vm, listen, peer } = loadSettings(file).router;
    process.stdout.write(
      `${file}: settings of node ${vm} are well-formed: callers at ${listen.front}, links at ${peer}\n`,
    );
    return;
  }
  if (as === undefined) {
    const { role, vm } = loadConfig(file);
    process.stdout.write(`${file}: settings of ${role} ${vm} are well-formed\n`);
    return;
  }
  parseDocument(as, readText(file));
  process.stdout.write(`${file}: settings of ${as} are well-formed\n`);
}
