/** The command `check`: reads a settings file without running anything. */

import { parseDocument } from '../core/settings/parse';
import { loadConfig, readText } from '../node/config';
import { loadSettings } from '../platform/settings';

/** Options of the command. */
export interface CheckOptions {
  /** Path under which operators would write the settings, or `platform`. */
  readonly as?: string;
}

/** Name under which a file is checked as the settings that the platform hands to `node`. */
const PLATFORM = 'platform';

/** Checks a file; throws a `Failure` that says what was found and expected. */
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
