import { configs, plugins } from 'eslint-config-airbnb-extended';

export default [
  { ignores: ['node_modules/', 'build/', 'dist/', 'target/', 'coverage/'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  {
    // Prettier formats the code with Airbnb's line width and quotes, so the layout rules are off. The
    // project's own style for imports and named exports overrides Airbnb's.
    rules: {
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      '@typescript-eslint/consistent-type-imports': 'error',
      // Airbnb forbids for-of because it needs regenerator-runtime on old targets; Node 20 does not.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-await-in-loop': 'off',
      // The implementations of an interface may share a file.
      'max-classes-per-file': 'off',
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': [
        'error',
        { ignoreClassesThatImplementAnInterface: true },
      ],
      // Functions are hoisted, so a file may define helpers below their callers.
      '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
      // The controller that owns a section of the blackboard modifies its records in place.
      'no-param-reassign': [
        'error',
        {
          props: true,
          ignorePropertyModificationsFor: ['entry', 'record', 'queue', 'live', 'progress', 'state'],
        },
      ],
      ...Object.fromEntries(
        [
          'array-bracket-newline',
          'arrow-parens',
          'brace-style',
          'comma-dangle',
          'function-call-argument-newline',
          'function-paren-newline',
          'generator-star-spacing',
          'implicit-arrow-linebreak',
          'indent',
          'indent-binary-ops',
          'lines-around-comment',
          'max-len',
          'member-delimiter-style',
          'multiline-ternary',
          'newline-per-chained-call',
          'no-confusing-arrow',
          'no-extra-parens',
          'no-mixed-operators',
          'nonblock-statement-body-position',
          'object-curly-newline',
          'operator-linebreak',
          'quote-props',
          'quotes',
          'type-annotation-spacing',
          'wrap-iife',
          'yield-star-spacing',
        ].map((rule) => [`@stylistic/${rule}`, 'off']),
      ),
    },
  },
  { files: ['scripts/**', 'test/**'], rules: { 'no-console': 'off' } },
  {
    files: ['scripts/*.mjs', 'scripts/**/*.cjs', 'test/**/*.cjs'],
    languageOptions: { globals: { URL: 'readonly', process: 'readonly', setTimeout: 'readonly' } },
  },
];
