import { fileURLToPath } from 'node:url';
import js from '@eslint/js';
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/** Airbnb's rules; the formatter and the house style's own lines go before them. */
export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**'] },
  { name: 'js/config', ...js.configs.recommended },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.node,
  ...configs.node.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettier,
  {
    settings: { node: { version: '>=20.18.0' } },
    rules: {
      // Node resolves ES modules by their whole file name.
      'import-x/extensions': 'off',
      // House style: one task for each connection and peer, written straight down, so its loop awaits.
      'no-await-in-loop': 'off',
      // As above: such a loop is a for…of. What else Airbnb restricts stays restricted.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      // House style: factory functions close over their state, so methods need no `this`.
      'class-methods-use-this': 'off',
      // `void` marks a promise that nobody awaits (below).
      'no-void': ['error', { allowAsStatement: true }],
      // The fold moves one shared state forward in place; copying it for each record costs too much.
      'no-param-reassign': ['error', { props: false }],
    },
  },
  {
    // The parts of a host. `void` says that nobody awaits a promise: it can't be rejected, or its error
    // costs one call alone and is reported by newUncaughtErrors.
    files: [
      'packages/{batches,common,engines,gateway,hosts,store,upstreams}/src/*.ts',
      'platform/src/*.ts',
      'apps/host/src/*.ts',
    ],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: fileURLToPath(new URL('.', import.meta.url)),
      },
    },
    rules: { '@typescript-eslint/no-floating-promises': 'error' },
  },
  {
    files: [
      '**/startProgram.ts',
      '**/newUncaughtErrors.ts',
      '**/handleEarlySignals.ts',
      '**/newDaemon.ts',
      'apps/*/src/main.ts',
      '**/newLogSession.ts',
    ],
    // A program's frame is where a process ends.
    rules: { 'n/no-process-exit': 'off' },
  },
  {
    files: ['apps/host/src/newHostScript.ts'],
    // Nothing else runs yet, and asynchronous reads would start threads for it.
    rules: { 'n/no-sync': 'off' },
  },
  {
    files: ['packages/common/src/newUncaughtErrors.ts'],
    // The process ends right after the line.
    rules: { 'n/no-sync': 'off' },
  },
  {
    files: ['scripts/writeCodeCache.js'],
    // The host that it runs keeps the process from ending by itself.
    rules: { 'n/no-process-exit': 'off' },
  },
  {
    files: ['packages/routing/src/new*QueuePolicy.ts'],
    // p-queue wants a class for its queue, and the policy closes over the queue's state.
    rules: { 'max-classes-per-file': ['error', 2] },
  },
  {
    files: ['**/tests/*.ts'],
    // Tests use what development has.
    rules: { 'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }] },
  },
  {
    files: ['scripts/*.js'],
    // The scripts run what was built, not a package of their own.
    // They are development tools, and use what development has.
    rules: {
      'import-x/no-relative-packages': 'off',
      'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }],
    },
  },
];
