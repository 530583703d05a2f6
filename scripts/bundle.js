/** Bundles the TypeScript sources of the host program into one file under target/. */
import { mkdir } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = fileURLToPath(new URL('..', import.meta.url));

const PARTS_FOLDER = `${root}scripts`;

/**
 * Parts of libraries that are bundled in place of the whole, since each host spends a good part of its
 * start on code that it never calls: undici's fetch, caches and mocks load further modules of Node.js,
 * and the log formats of the histograms load the number formats of all languages. The CommonJS files
 * of ts-results import one another through a function that esbuild can't analyse.
 */
const PARTS = {
  undici: `
    import Client from 'undici/lib/dispatcher/client.js';
    import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
    import Pool from 'undici/lib/dispatcher/pool.js';
    import api from 'undici/lib/api/index.js';
    import buildConnector from 'undici/lib/core/connect.js';
    Object.assign(Dispatcher.prototype, api);
    export { buildConnector, Client, Pool };`,
  'hdr-histogram-js': `export { build } from 'hdr-histogram-js/dist/HistogramBuilder.js';`,
  'ts-results': `
    import * as results from 'ts-results/esm/index.js';
    export default results;`,
};
/** Modules within libraries that hosts don't use, and what is bundled in their place. */
const UNUSED = [
  { filter: /^\.\/client-h2\.js$/, contents: 'export default null;' },
  { filter: /^\.\.\/locales\/index\.js$/, contents: 'export {};' },
];
const BUNDLED_PARTS = new RegExp(`^(${Object.keys(PARTS).join('|')})$`);

/** Resolves modules of workspace packages to their sources, so that no compiled output is needed. */
const workspaces = {
  name: 'workspaces',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^@cyclamengate\// }, ({ path }) => {
      const [, name, module] = path.split('/');
      const folder = name === 'adapter' ? 'platform' : `packages/${name}`;
      return { path: `${root}${folder}/src/${module}.ts` };
    });
    onResolve({ filter: BUNDLED_PARTS }, ({ path, resolveDir }) =>
      resolveDir === PARTS_FOLDER ? null : { path, namespace: 'parts' },
    );
    onLoad({ filter: /.*/, namespace: 'parts' }, ({ path }) => ({
      contents: PARTS[path],
      resolveDir: PARTS_FOLDER,
    }));
    UNUSED.forEach(({ filter, contents }, index) => {
      onResolve({ filter }, () => ({ path: String(index), namespace: 'unused' }));
      onLoad({ filter: new RegExp(`^${index}$`), namespace: 'unused' }, () => ({ contents }));
    });
  },
};

await mkdir(`${root}target`, { recursive: true });
await build({
  entryPoints: [`${root}apps/host/src/main.ts`],
  outfile: `${root}target/cyclamengate-host.mjs`,
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  plugins: [workspaces],
  // Some bundled libraries are CommonJS and load Node.js built-in modules with `require`.
  banner: {
    js: "import{createRequire as newRequire}from'node:module';const require=newRequire(import.meta.url);",
  },
});
