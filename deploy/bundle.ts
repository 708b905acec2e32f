/**
Bundles the platform entry point into one file and creates a V8 code cache for it, so
that a restarted process is ready sooner. Must run with the same V8 flags as the
program, because V8 rejects a code cache that was created with other flags.
*/
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
	plugins: [undiciPlugin],
});
const wrappedSource = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundleFile, 'utf8')}\n})`;
writeFileSync(`${outputFolder}/pollenarch.source.js`, wrappedSource);
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
const {Script} = require('node:vm');

const script = new Script(readFileSync(join(__dirname, 'pollenarch.source.js'), 'utf8'), {
	filename: join(__dirname, 'pollenarch.cjs'),
	cachedData: readFileSync(join(__dirname, 'pollenarch.cache')),
});
script.runInThisContext()(exports, require, module, __filename, __dirname);
`);
