import fc from 'fast-check';

import { toFailure } from '../../src/core/failure';
import { SettingsDocuments } from '../../src/core/settings/documents';
import { editText, splitPath } from '../../src/core/settings/envelope';
import { parseDocument } from '../../src/core/settings/parse';

const team = (maxTokens: number): string =>
  `{ "services": { "deeds": { "kind": "model", "pool": "p", "maxTokens": ${maxTokens} } } }`;

describe('settings in force', () => {
  test('never go back to a lower revision, in whatever order documents come', () => {
    const document = fc.record({
      path: fc.constantFrom('teams/a', 'teams/b'),
      revision: fc.integer({ min: 1, max: 20 }),
      bad: fc.boolean(),
      gone: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(document, { maxLength: 60 }), (documents) => {
        const book = new SettingsDocuments();
        const highest: Record<string, number> = {};
        for (const { path, revision, bad, gone } of documents) {
          const text = bad ? '{ "services": 1 }' : team(revision);
          const before = book.revisionOf(path);
          book.apply({ path, revision, text: gone ? null : text });
          expect(book.revisionOf(path)).toBeGreaterThanOrEqual(before);
          if (!bad || gone) highest[path] = Math.max(highest[path] ?? 0, book.revisionOf(path));
        }
        for (const [path, revision] of Object.entries(highest)) {
          expect(book.revisionOf(path)).toBe(revision);
        }
      }),
      { seed: 20261202 },
    );
  });

  test('are equal on two processes that saw the same documents in another order', () => {
    const documents = Array.from({ length: 8 }, (_, i) => ({
      path: `teams/t${i % 3}`,
      revision: i + 1,
      text: team(i + 1),
    }));
    fc.assert(
      fc.property(fc.shuffledSubarray(documents, { minLength: 8 }), (order) => {
        const [one, two] = [new SettingsDocuments(), new SettingsDocuments()];
        documents.forEach((document) => one.apply(document));
        order.forEach((document) => two.apply(document));
        expect(two.digest).toBe(one.digest);
      }),
      { seed: 20261202 },
    );
  });

  test('keep the last good document when a newer one is malformed', () => {
    const book = new SettingsDocuments();
    book.apply({ path: 'teams/a', revision: 1, text: team(7) });
    const applied = book.apply({ path: 'teams/a', revision: 2, text: '{' });
    expect(applied).toMatchInlineSnapshot(`
     {
       "detail": "[103] teams/a: found CloseBraceExpected at line 1, column 2, expected JSON with comments",
       "kind": "malformed",
     }
    `);
    expect(book.team('a')?.services.deeds).toMatchObject({ maxTokens: 7 });
  });
});

describe('settings texts', () => {
  test('that are wrong are told by code, place and expectation', () => {
    const texts = {
      truncated: ['teams/a', '{ "services": {'],
      unknownKey: ['teams/a', '{ "services": {}, "colour": 1 }'],
      wrongKind: ['teams/a', '{ "services": { "x": { "kind": "magic", "pool": "p" } } }'],
      shortHash: ['consortium', '{ "operators": ["abc"], "teams": {}, "pools": {} }'],
      nowhere: ['rivals/a', '{}'],
    } as const;
    const lines = Object.entries(texts).map(([name, [path, text]]) => {
      try {
        parseDocument(path, text);
        return `${name}: accepted`;
      } catch (error) {
        return `${name}: ${toFailure(error).line}`;
      }
    });
    expect(lines).toMatchInlineSnapshot(`
     [
       "truncated: [103] teams/a: found CloseBraceExpected at line 1, column 16, expected JSON with comments",
       "unknownKey: [104] teams/a: at the whole text: Unrecognized key: "colour"",
       "wrongKind: [104] teams/a: at services.x.kind: Invalid discriminator value. Expected 'model' | 'plain'",
       "shortHash: [104] consortium: at operators.0: expected the SHA-256 of a token in hexadecimal",
       "nowhere: [107] rivals/a: expected consortium or teams/NAME",
     ]
    `);
  });

  test('keep their comments when one value is edited', () => {
    const text =
      '{\n  // Clerks wait at the counter.\n  "services": { "deeds": { "maxTokens": 5 } }\n}';
    expect(editText(text, splitPath('teams/a/services/deeds/maxTokens').inside, 9))
      .toMatchInlineSnapshot(`
     "{
       // Clerks wait at the counter.
       "services": { "deeds": { "maxTokens": 9 } }
     }"
    `);
  });
});
