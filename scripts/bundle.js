/** Bundles the TypeScript sources of the host program into one file under target/. */
import { mkdir } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = fileURLToPath(new URL('..', import.meta.url));

/** Resolves modules of workspace packages to their sources, so that no compiled output is needed. */
const workspaces = {
  name: 'workspaces',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^@cyclamengate\// }, ({ path }) => {
      const [, name, module] = path.split('/');
      const folder = name === 'adapter' ? 'platform' : `packages/${name}`;
      return { path: `${root}${folder}/src/${module}.ts` };
    });
    // The CommonJS files of ts-results import one another through a function that esbuild can't
    // analyse, so its ES modules are bundled instead.
    onResolve({ filter: /^ts-results$/ }, () => ({ path: 'ts-results', namespace: 'unwrapped' }));
    onLoad({ filter: /.*/, namespace: 'unwrapped' }, () => ({
      contents: "import * as results from 'ts-results/esm/index.js'; export default results;",
      resolveDir: root,
    }));
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
  legalComments: 'none',
  plugins: [workspaces],
  // Some bundled libraries are CommonJS and load Node.js built-in modules with `require`.
  banner: {
    js: "import{createRequire as newRequire}from'node:module';const require=newRequire(import.meta.url);",
  },
});
