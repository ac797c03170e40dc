import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

import { renderErrors, renderSettings } from '../scripts/docs/render';
import { codes } from '../src/core/codes';
import { parseDocument } from '../src/core/settings/parse';
import { loadConfig } from '../src/node/config';

const read = (path: string): string => readFileSync(path, 'utf8');

describe('the reference pages', () => {
  test('list every result code as the program has it', () => {
    expect(read('docs/ERRORS.md')).toBe(renderErrors());
  });

  test('list every setting as the program checks it', () => {
    expect(read('docs/SETTINGS.md')).toBe(renderSettings());
  });

  test('give each code a number of its own', () => {
    const numbers = Object.values(codes).map(({ number }) => number);
    expect(new Set(numbers).size).toBe(numbers.length);
  });
});

describe.each(['dosel', 'bagmati'])('the example settings of %s', (name) => {
  const folder = join('examples', name);

  test.each(readdirSync(folder))('are well-formed: %s', (file) => {
    const path = join(folder, file);
    const daemon = file.startsWith('gateway') || file.startsWith('scheduler');
    if (daemon) expect(loadConfig(path).vm).not.toBe('');
    else if (file.startsWith('consortium')) {
      expect(parseDocument('consortium', read(path)).kind).toBe('consortium');
    } else expect(parseDocument('teams/x', read(path)).kind).toBe('team');
  });
});
