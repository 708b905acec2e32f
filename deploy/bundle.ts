/**
Bundles the platform entry point into one file and creates a V8 code cache for it, so
that a restarted process is ready sooner. Must run with the same V8 flags as the
program, because V8 rejects a code cache that was created with other flags.
*/
import {Buffer} from 'node:buffer';
import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import process from 'node:process';
import {Script} from 'node:vm';
import {build, type Plugin} from 'esbuild';

/** Signature of the function that wraps a CommonJS module. */
type ModuleWrapper = (moduleExports: object, requireFunction: NodeJS.Require, moduleObject: object, filename: string, dirname: string) => void;

const outputFolder = process.argv[2] ?? 'target';
const bundleFile = `${outputFolder}/pollenarch.cjs`;

/** Exports only the parts of undici that the program uses. The main module of undici also loads fetch, cookies, mocks and the Node.js modules that these need, which takes a fifth of the startup time. */
const undiciEntryPoint = `
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
Object.assign(Dispatcher.prototype, require('undici/lib/api/index.js'));
module.exports = {
	Dispatcher,
	Agent: require('undici/lib/dispatcher/agent.js'),
	Client: require('undici/lib/dispatcher/client.js'),
	Pool: require('undici/lib/dispatcher/pool.js'),
	Headers: require('undici/lib/web/fetch/headers.js').Headers,
	errors: require('undici/lib/core/errors.js'),
	buildConnector: require('undici/lib/core/connect.js'),
};
`;

const undiciPlugin: Plugin = {
	name: 'undici-parts',
	setup(bundler) {
		bundler.onResolve({filter: /^undici$/}, () => ({path: 'undici-parts', namespace: 'undici-parts'}));
		bundler.onLoad({filter: /.*/, namespace: 'undici-parts'}, () => ({contents: undiciEntryPoint, resolveDir: process.cwd()}));
	},
};

/** Leaves out the compilers that fastify requires only for servers with schemas, of which the program has none. */
const schemaCompilersPlugin: Plugin = {
	name: 'schema-compilers',
	setup(bundler) {
		bundler.onResolve({filter: /^@fastify\/(?:ajv-compiler|fast-json-stringify-compiler)$/}, () => ({path: 'schema-compilers', namespace: 'schema-compilers'}));
		bundler.onLoad({filter: /.*/, namespace: 'schema-compilers'}, () => ({contents: 'module.exports = () => undefined;'}));
	},
};

await build({
	entryPoints: ['platform/main.ts'],
	outfile: bundleFile,
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifyWhitespace: true,
	minifySyntax: true,
	logLevel: 'error',
	plugins: [undiciPlugin, schemaCompilersPlugin],
});
const wrappedSource = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundleFile, 'utf8')}\n})`;
if (Buffer.from(wrappedSource, 'latin1').toString('latin1') !== wrappedSource) {
	throw new Error('the bundle contains characters outside of ISO 8859-1, in which it is stored because that is the fastest to read');
}

writeFileSync(`${outputFolder}/pollenarch.source.js`, wrappedSource, 'latin1');
const script = new Script(wrappedSource, {filename: bundleFile});
// V8 caches only functions that have been compiled, so the program runs once to include the functions used at startup.
// Without settings it reports the error and exits immediately.
delete process.env.POLLENARCH_SETTINGS;
const runModule = script.runInThisContext() as ModuleWrapper;
runModule({}, createRequire(import.meta.url), {exports: {}}, bundleFile, outputFolder);
process.exitCode = 0;
writeFileSync(`${outputFolder}/pollenarch.cache`, script.createCachedData());
writeFileSync(`${outputFolder}/start.cjs`, `'use strict';
const {readFileSync} = require('node:fs');
const {join} = require('node:path');
const {setFlagsFromString} = require('node:v8');
const {Script} = require('node:vm');

const script = new Script(readFileSync(join(__dirname, 'pollenarch.source.js'), 'latin1'), {
	filename: join(__dirname, 'pollenarch.cjs'),
	cachedData: readFileSync(join(__dirname, 'pollenarch.cache')),
});
script.runInThisContext()(exports, require, module, __filename, __dirname);
// Keeps the heap small. It is set here because flags of the command line make V8 reject the code cache of the built-in modules.
setFlagsFromString('--heap-growing-percent=50');
`);
