import js from '@eslint/js';
import { configs, plugins } from 'eslint-config-airbnb-extended';

/** Airbnb's rules, with the house style's lines and the formatter before them. */
export default [
  { ignores: ['**/dist/**', '**/node_modules/**'] },
  { name: 'js/config', ...js.configs.recommended },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.node,
  ...configs.node.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
];
