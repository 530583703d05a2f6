export default {
  files: [
    'packages/*/dist/tests/**/*.test.js',
    'apps/*/dist/tests/**/*.test.js',
    'platform/dist/tests/**/*.test.js',
  ],
  concurrency: 4,
  timeout: '120s',
};
