import { configs, plugins } from 'eslint-config-airbnb-extended';

export default [
  { ignores: ['node_modules/', 'build/', 'dist/', 'target/', 'coverage/'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  {
    // Layout belongs to Prettier, set to Airbnb's widths and quotes; the house
    // style's lines on imports and named exports go before Airbnb's.
    rules: {
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      '@typescript-eslint/consistent-type-imports': 'error',
      // Airbnb bans for-of for the sake of regenerator-runtime, which Node 20 does not need.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-await-in-loop': 'off',
      // Behaviour that varies is an interface with its classes side by side.
      'max-classes-per-file': 'off',
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': [
        'error',
        { ignoreClassesThatImplementAnInterface: true },
      ],
      // Files read from the general to the particular; functions are hoisted.
      '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
      // Records of a blackboard section are written in place by the controller that owns them.
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
    files: ['scripts/*.mjs', 'scripts/**/*.cjs'],
    languageOptions: { globals: { URL: 'readonly', process: 'readonly' } },
  },
];
