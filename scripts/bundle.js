/**
 * Bundles the TypeScript sources of the host program under target/, and writes V8's code cache of it.
 *
 * `target/cyclamengate-host.cjs` is the file to run; it loads `target/host.cjs` with the cache.
 */
import { execFile } from 'node:child_process';
import { mkdir, readFile, rm } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { build } from 'esbuild';

const root = fileURLToPath(new URL('..', import.meta.url));

const PARTS_FOLDER = `${root}scripts`;
const CACHE_TIMEOUT_MS = 60_000;

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

const findFolder = (name) => {
  if (name === 'adapter') return 'platform';
  return name.startsWith('app-') ? `apps/${name.slice('app-'.length)}` : `packages/${name}`;
};

/** Resolves modules of workspace packages to their sources, so that no compiled output is needed. */
const workspaces = {
  name: 'workspaces',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^@cyclamengate\// }, ({ path }) => {
      const [, name, module] = path.split('/');
      return { path: `${root}${findFolder(name)}/src/${module}.ts` };
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

const options = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  plugins: [workspaces],
};

/** The flags of Node.js with which the platform runs the program. */
const readNodeFlags = async () => {
  const system = await readFile(`${root}deploy/system.toml`, 'utf8');
  const flags = /^run = "node (.*?) ?target\//m.exec(system)?.[1] ?? '';
  return flags.split(' ').filter((flag) => flag !== '');
};

/** Without a cache a start costs more processor time, and is otherwise the same. */
const writeCodeCache = async () => {
  await rm(`${root}target/host.cache`, { force: true });
  try {
    const args = [...(await readNodeFlags()), `${root}target/write-code-cache.mjs`];
    await promisify(execFile)(process.execPath, args, { timeout: CACHE_TIMEOUT_MS });
  } catch (error) {
    process.stderr.write(`bundle: no code cache: ${error.message}\n`);
  }
};

await mkdir(`${root}target`, { recursive: true });
await Promise.all([
  build({
    ...options,
    entryPoints: [`${root}apps/host/src/main.ts`],
    outfile: `${root}target/host.cjs`,
    format: 'cjs',
  }),
  build({
    ...options,
    entryPoints: [`${root}apps/host/src/runCached.ts`],
    outfile: `${root}target/cyclamengate-host.cjs`,
    format: 'cjs',
  }),
  build({
    ...options,
    entryPoints: [`${root}scripts/writeCodeCache.js`],
    outfile: `${root}target/write-code-cache.mjs`,
    format: 'esm',
    // Some bundled libraries are CommonJS and load Node.js built-in modules with `require`.
    banner: {
      js: "import{createRequire as newRequire}from'node:module';const require=newRequire(import.meta.url);",
    },
  }),
]);
await writeCodeCache();
