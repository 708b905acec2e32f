/**
Builds the program for the platform: one bundled file, and beside it V8's compiled
form of it, so that a process that is started again serves sooner. Runs under the same
flags as the program, because V8 takes a compiled form only under the flags that it was
made with.
*/
import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import process from 'node:process';
import {Script} from 'node:vm';
import {build, type Plugin} from 'esbuild';

/** What a CommonJS file is wrapped in. */
type Start = (exported: object, load: NodeJS.Require, self: object, file: string, folder: string) => void;

/** Where the program is put. */
const folder = process.argv[2] ?? 'target';
const program = `${folder}/pollenarch.cjs`;

/** What the program uses of undici. Its main module also loads a fetch, cookies, mocks and what of Node.js they need, a fifth of a start. */
const undiciParts = `
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

const withUndiciParts: Plugin = {
	name: 'undici-parts',
	setup(bundler) {
		bundler.onResolve({filter: /^undici$/}, () => ({path: 'undici-parts', namespace: 'undici-parts'}));
		bundler.onLoad({filter: /.*/, namespace: 'undici-parts'}, () => ({contents: undiciParts, resolveDir: process.cwd()}));
	},
};

await build({
	entryPoints: ['platform/main.ts'],
	outfile: program,
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifyWhitespace: true,
	minifySyntax: true,
	logLevel: 'error',
	plugins: [withUndiciParts],
});
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(program, 'utf8')}\n})`;
writeFileSync(`${folder}/pollenarch.source.js`, source);
const script = new Script(source, {filename: program});
// Functions that a start runs are part of the compiled form only once they have run. Without settings the program
// says so and ends at once.
delete process.env.POLLENARCH_SETTINGS;
const start = script.runInThisContext() as Start;
start({}, createRequire(import.meta.url), {exports: {}}, program, folder);
process.exitCode = 0;
writeFileSync(`${folder}/pollenarch.cache`, script.createCachedData());
writeFileSync(`${folder}/start.cjs`, `'use strict';
const {readFileSync} = require('node:fs');
const {join} = require('node:path');
const {Script} = require('node:vm');

const script = new Script(readFileSync(join(__dirname, 'pollenarch.source.js'), 'utf8'), {
	filename: join(__dirname, 'pollenarch.cjs'),
	cachedData: readFileSync(join(__dirname, 'pollenarch.cache')),
});
script.runInThisContext()(exports, require, module, __filename, __dirname);
`);
