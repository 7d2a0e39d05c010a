import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  { ignores: ['dist', 'node_modules', 'reports', 'target', 'journal'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      // The house style asks for for..of loops with early exits and for ports passed by constructor.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-param-reassign': ['error', { props: false }],
      'no-continue': 'off',
      'no-await-in-loop': 'off',
      'no-constant-condition': ['error', { checkLoops: false }],
      'class-methods-use-this': 'off',
      'no-underscore-dangle': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-rename-default': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: true }],
      '@typescript-eslint/no-unused-vars': [
        'error',
        { varsIgnorePattern: '^_', argsIgnorePattern: '^_' },
      ],
    },
  },
  {
    // clipanion reads commands from classes; the small ones of one group share a file.
    files: ['src/cli/*Commands.ts'],
    rules: { 'max-classes-per-file': 'off' },
  },
  {
    files: ['features/**', 'spec/**', 'bench/**', 'scripts/**', '*.mjs'],
    rules: { 'import-x/no-extraneous-dependencies': 'off', 'no-console': 'off' },
  },
  {
    files: ['scripts/**'],
    languageOptions: { globals: { console: 'readonly', process: 'readonly' } },
  },
];
