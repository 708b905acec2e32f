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
import {build} from 'esbuild';

/** What a CommonJS file is wrapped in. */
type Start = (exported: object, load: NodeJS.Require, self: object, file: string, folder: string) => void;

const program = 'target/pollenarch.cjs';

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
});
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(program, 'utf8')}\n})`;
writeFileSync('target/pollenarch.source.js', source);
const script = new Script(source, {filename: program});
// Functions that a start runs are part of the compiled form only once they have run. Without settings the program
// says so and ends at once.
delete process.env.POLLENARCH_SETTINGS;
const start = script.runInThisContext() as Start;
start({}, createRequire(import.meta.url), {exports: {}}, program, 'target');
process.exitCode = 0;
writeFileSync('target/pollenarch.cache', script.createCachedData());
writeFileSync('target/start.cjs', `'use strict';
const {readFileSync} = require('node:fs');
const {join} = require('node:path');
const {Script} = require('node:vm');

const script = new Script(readFileSync(join(__dirname, 'pollenarch.source.js'), 'utf8'), {
	filename: join(__dirname, 'pollenarch.cjs'),
	cachedData: readFileSync(join(__dirname, 'pollenarch.cache')),
});
script.runInThisContext()(exports, require, module, __filename, __dirname);
`);
