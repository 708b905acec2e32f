/**
Bundles the platform entry point into one file and has a V8 code cache created for it, so
that a restarted process is ready sooner. Must run with the same V8 flags as the program.
*/
import {Buffer} from 'node:buffer';
import {spawnSync} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {build, type Plugin} from 'esbuild';

/** Many times the usual time of 4 s. */
const CODE_CACHE_TIMEOUT_MS = 120_000;
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
const cached = spawnSync(process.execPath, [...process.execArgv, 'deploy/code-cache.ts', outputFolder], {stdio: ['ignore', 'ignore', 'inherit'], timeout: CODE_CACHE_TIMEOUT_MS});
if (cached.status !== 0) {
	throw new Error(`the code cache could not be created: ${cached.error?.message ?? `exit code ${cached.status}`}`);
}

writeFileSync(`${outputFolder}/start.cjs`, `'use strict';
const {readFileSync} = require('node:fs');
const {join} = require('node:path');
const {setFlagsFromString} = require('node:v8');
const {Script} = require('node:vm');

// Until the program has handlers of its own: the default action of SIGHUP ends the process, and of SIGTERM and SIGINT ends it with an error.
process.on('SIGHUP', () => {});
for (const signal of ['SIGTERM', 'SIGINT']) {
	process.on(signal, () => {
		process.exit(0);
	});
}
const script = new Script(readFileSync(join(__dirname, 'pollenarch.source.js'), 'latin1'), {
	filename: join(__dirname, 'pollenarch.cjs'),
	cachedData: readFileSync(join(__dirname, 'pollenarch.cache')),
});
script.runInThisContext()(exports, require, module, __filename, __dirname);
// Keeps the heap small. It is set here because flags of the command line make V8 reject the code cache of the built-in modules.
setFlagsFromString('--heap-growing-percent=50');
`);
