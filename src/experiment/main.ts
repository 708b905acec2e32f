/**
Command line of the experiments: runs load patterns against real entry cores and
modelled engines, with mechanisms of the policy switched off one by one.
*/
import {existsSync, readdirSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {SingleBar} from 'cli-progress';
import {Command, InvalidArgumentError} from 'commander';
import {mechanismNames, mechanisms, type Mechanism} from '../core/entry/mechanisms.js';
import {readPattern, type Pattern} from './pattern.js';
import {writeReport} from './report.js';
import {meanWithInterval, pairedDifference} from './statistics.js';
import {figures, type Variant} from './variant.js';
import {runAll} from './worker-pool.js';

const EXIT_INVALID = 2;
const EXIT_VIOLATED = 3;
const PATTERNS_DIRECTORY = path.join(path.dirname(fileURLToPath(import.meta.url)).replace(`${path.sep}dist${path.sep}`, path.sep), 'patterns');

type Options = {
	readonly without: Mechanism[];
	readonly seeds: number;
	readonly instances?: number;
	readonly set: Record<string, string>;
	readonly json?: boolean;
	readonly report?: string;
};

function parseCount(text: string): number {
	const value = Number(text);
	if (!Number.isInteger(value) || value < 1) {
		throw new InvalidArgumentError('must be a whole number of 1 or more');
	}

	return value;
}

function parseMechanism(text: string, others: Mechanism[]): Mechanism[] {
	if (!(text in mechanisms)) {
		throw new InvalidArgumentError(`is none of ${mechanismNames.join(', ')}`);
	}

	return [...others, text as Mechanism];
}

function parseSetting(text: string, others: Record<string, string>): Record<string, string> {
	const equals = text.indexOf('=');
	if (equals < 1) {
		throw new InvalidArgumentError('must be PATH=VALUE');
	}

	return {...others, [text.slice(0, equals)]: text.slice(equals + 1)};
}

/** The file of a shipped pattern, or a file of the caller's own. */
function patternFile(name: string): string {
	const shipped = path.join(PATTERNS_DIRECTORY, `${name}.yaml`);
	return existsSync(shipped) ? shipped : name;
}

function shippedPatterns(): string[] {
	return readdirSync(PATTERNS_DIRECTORY).filter(name => name.endsWith('.yaml')).map(name => name.replace(/\.yaml$/v, '')).sort();
}

async function runPattern(name: string, pattern: Pattern, options: Options): Promise<Variant[]> {
	const descriptions = [{name: 'all mechanisms', without: [] as Mechanism[]}, ...options.without.map(mechanism => ({name: `without ${mechanism}`, without: [mechanism]}))];
	const tasks = descriptions.flatMap(({without}) => Array.from({length: options.seeds}, (_, index) => ({pattern, seed: index + 1, without})));
	const bar = new SingleBar({format: `${name} [{bar}] {value}/{total}`, stream: process.stderr});
	bar.start(tasks.length, 0);
	const runs = await runAll(tasks, {
		onProgress(done) {
			bar.update(done);
		},
	});
	bar.stop();
	return descriptions.map((description, index) => ({...description, runs: runs.slice(index * options.seeds, (index + 1) * options.seeds)}));
}

function printTable(name: string, variants: readonly Variant[]): void {
	process.stdout.write(`${name}, ${variants[0]!.runs.length} seeds; mean and half width of the 95 % interval, differences paired by seed\n`);
	const rows = variants.map(variant => [variant.name, ...figures.map(figure => formatFigure(variant.runs.map(run => figure.of(run))))]);
	for (const variant of variants.slice(1)) {
		rows.push([`  difference, ${variant.name}`, ...figures.map(figure => {
			const {mean, halfWidth} = pairedDifference(variant.runs.map(run => figure.of(run)), variants[0]!.runs.map(run => figure.of(run)));
			return `${mean > 0 ? '+' : ''}${round(mean)} ±${round(halfWidth)}`;
		})]);
	}

	const header = ['', ...figures.map(figure => figure.name)];
	const widths = header.map((title, column) => Math.max(title.length, ...rows.map(row => row[column]!.length)));
	for (const row of [header, ...rows]) {
		process.stdout.write(`${row.map((cell, column) => column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)).join('  ').trimEnd()}\n`);
	}
}

function formatFigure(values: readonly number[]): string {
	const {mean, halfWidth} = meanWithInterval(values);
	return `${round(mean)} ±${round(halfWidth)}`;
}

function round(value: number): string {
	return Math.abs(value) >= 100 ? String(Math.round(value)) : value.toFixed(3);
}

/** Everything of the variants but the samples, which only the plots need. */
function withoutSamples(variants: readonly Variant[]) {
	return variants.map(variant => ({...variant, runs: variant.runs.map(({samples, ...run}) => ({...run, samples: samples.length}))}));
}

async function main(): Promise<void> {
	const program = new Command('experiment')
		.description('Runs load patterns against real entry cores and modelled engines on a virtual clock.')
		.argument('<pattern...>', `shipped patterns (${shippedPatterns().join(', ')}) or YAML files`)
		.option('--without <mechanism>', 'also run with this mechanism switched off; may be given several times', parseMechanism, [])
		.option('--seeds <number>', 'runs of each variant', parseCount, 5)
		.option('--instances <number>', 'entry instances, spread over the zones', parseCount)
		.option('--set <path=value>', 'overrides a member of the pattern, as in engine.slots=12; may be given several times', parseSetting, {})
		.option('--json', 'prints all figures as JSON')
		.option('--report <directory>', 'writes index.html with plots there')
		.configureOutput({
			writeErr(text) {
				process.stderr.write(text);
			},
		})
		.exitOverride(error => {
			throw Object.assign(error, {exitCode: error.exitCode === 0 ? 0 : EXIT_INVALID});
		});
	program.parse();
	const options = program.opts<Options>();
	const results: Array<{name: string; variants: Variant[]}> = [];
	for (const name of program.args) {
		const read = readPattern(patternFile(name), options.set);
		if (read.isLeft()) {
			process.stderr.write(`error: ${read.extract()}\n`);
			process.exitCode = EXIT_INVALID;
			return;
		}

		const pattern = read.unsafeCoerce();
		const sized = options.instances === undefined ? pattern : {...pattern, instancesPerZone: Math.max(1, Math.round(options.instances / pattern.zones))};
		const variants = await runPattern(name, sized, options);
		results.push({name, variants});
		if (options.json) {
			process.stdout.write(`${JSON.stringify({pattern: name, variants: withoutSamples(variants)})}\n`);
		} else {
			printTable(name, variants);
		}
	}

	if (options.report !== undefined) {
		process.stderr.write(`report: ${writeReport(options.report, results)}\n`);
	}

	const violations = results.flatMap(({variants}) => variants.flatMap(({runs}) => runs.flatMap(run => run.violations)));
	if (violations.length > 0) {
		process.stderr.write(`error: ${violations.length} violations, the first: ${violations[0]}\n`);
		process.exitCode = EXIT_VIOLATED;
	}
}

try {
	await main();
} catch (error) {
	process.exitCode = (error as {exitCode?: number}).exitCode ?? 1;
	if (!(error as {code?: string}).code?.startsWith('commander.')) {
		process.stderr.write(`error: ${error instanceof Error ? error.message : String(error)}\n`);
	}
}
