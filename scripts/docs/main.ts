/** Writes the generated reference pages: `node build/docs.cjs`. */

import { writeFileSync } from 'node:fs';

import { renderErrors, renderSettings } from './render';

writeFileSync('docs/ERRORS.md', renderErrors());
writeFileSync('docs/SETTINGS.md', renderSettings());
