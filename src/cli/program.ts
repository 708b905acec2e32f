/**
The command line.
*/
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {Command, Option} from 'commander';
import * as mergePatch from 'json-merge-patch';
import {type Either} from 'purify-ts';
import * as yaml from 'yaml';
import {completionScript} from './completion.js';
import {OperatorClient, type Failure} from './client.js';
import {exitCodes} from './exit-codes.js';
import {formatStatus} from './status.js';
import {tellStory, type Story} from './story.js';
import {formatTable, type TableRow} from './table.js';

type GlobalOptions = {
	readonly address: string;
	readonly json: boolean;
};

const POLL_MS = 500;

export function createProgram(): Command {
	const program = new Command('pollenarch')
		.description('Operators\' client of pollenarch')
		.addOption(new Option('--address <url>', 'operator listener of a daemon').env('POLLENARCH_ADDRESS').default('http://127.0.0.1:8090'))
		.option('--json', 'print JSON', false)
		.exitOverride(error => {
			process.exitCode = error.exitCode === 0 ? exitCodes.done : exitCodes.usage;
			throw error;
		});
	addViews(program);
	addConfiguration(program);
	addProcess(program);
	program.command('story <request> [logs...]')
		.description('what logs of instances tell of a request: files, or standard input')
		.action((request: string, files: string[]) => {
			const texts = (files.length > 0 ? files : [0]).map(file => readFileSync(file, 'utf8'));
			printStory(tellStory(texts.join('\n'), request), request);
		});
	program.command('completion')
		.description('print a completion script for bash')
		.action(() => {
			process.stdout.write(completionScript(program));
		});
	return program;
}

function printStory({lines, unreadable}: Story, request: string): void {
	if (lines.length > 0) {
		process.stdout.write(`${lines.join('\n')}\n`);
	} else {
		process.stderr.write(`no line names the request ${request}; it may have reached another instance, or its lines were left out (event 209)\n`);
		process.exitCode = exitCodes.unknown;
	}

	if (unreadable > 0) {
		process.stderr.write(`${unreadable} lines could not be read\n`);
	}
}

const views = [
	['models', 'models with their copies'],
	['targets', 'targets with load and health'],
	['instances', 'instances of the system'],
] as const;

function addViews(program: Command): void {
	program.command('status')
		.description('one screen: zones, models, requests, leases, faults')
		.action(async () => {
			await show(program, '/status', formatStatus);
		});
	for (const [name, description] of views) {
		program.command(name).description(description).action(async () => {
			await show(program, `/${name}`, rows => formatTable(rows as TableRow[]));
		});
	}

	program.command('moves')
		.description('models loaded and unloaded by this instance')
		.action(async () => {
			await show(program, '/moves', rows => formatTable((rows as Array<TableRow & {atMs: number}>).map(({atMs, ...move}) => ({at: new Date(atMs).toISOString(), ...move}))));
		});
	program.command('explain <request>')
		.description('why a request was answered as it was')
		.action(async (id: string) => {
			await show(program, `/requests/${encodeURIComponent(id)}`, value => yaml.stringify(value).trimEnd());
		});
}

function addConfiguration(program: Command): void {
	program.command('config')
		.description('the configuration in force')
		.action(async () => {
			await show(program, '/configuration', value => yaml.stringify(value).trimEnd());
		});
	program.command('history')
		.description('accepted patches')
		.action(async () => {
			await show(program, '/configuration/history', rows => formatTable((rows as Array<TableRow & {atMs: number; patch: unknown}>).map(({version, operator, atMs, patch}) => ({
				version,
				at: new Date(atMs).toISOString(),
				operator,
				patch: JSON.stringify(patch).slice(0, 80),
			}))));
		});
	program.command('diff <from> <to>')
		.description('what changed between two versions, as a merge patch')
		.action(async (from: string, to: string) => {
			await diff(program, from, to);
		});
	program.command('patch <file>')
		.description('submit a patch (JSON or YAML; an object is a merge patch, an array a JSON patch)')
		.requiredOption('--base <version>', 'version that the patch was made against', Number)
		.option('--operator <name>', 'name for the history', process.env.USER ?? 'unknown')
		.option('--wait', 'wait until the version is in force on this instance', false)
		.action(async (file: string, options: {base: number; operator: string; wait: boolean}) => {
			await patch(program, file, options);
		});
}

function addProcess(program: Command): void {
	program.command('dump')
		.description('the whole state of the process as JSON')
		.action(async () => {
			const result = await clientOf(program).get('/dump');
			print(result, value => JSON.stringify(value));
		});
	program.command('drain')
		.description('take the instance out of service gracefully')
		.option('--wait', 'show progress until it has stopped', false)
		.action(async ({wait}: {wait: boolean}) => {
			const result = await clientOf(program).post('/drain', {});
			print(result, () => 'draining');
			if (wait && result.isRight()) {
				await followDrain(program);
			}
		});
}

function optionsOf(program: Command): GlobalOptions {
	return program.opts();
}

function clientOf(program: Command): OperatorClient {
	return new OperatorClient(optionsOf(program).address);
}

async function show(program: Command, path: string, format: (value: unknown) => string): Promise<void> {
	const result = await clientOf(program).get(path);
	print(result, optionsOf(program).json ? value => JSON.stringify(value) : format);
}

function print(result: Either<Failure, unknown>, format: (value: unknown) => string): void {
	result.caseOf({
		Left({exit, message}) {
			process.stderr.write(`${message}\n`);
			process.exitCode = exitCodes[exit];
		},
		Right(value) {
			process.stdout.write(`${format(value)}\n`);
		},
	});
}

async function diff(program: Command, from: string, to: string): Promise<void> {
	const client = clientOf(program);
	const before = await client.get(`/configuration/versions/${from}`);
	const after = await client.get(`/configuration/versions/${to}`);
	const {json} = optionsOf(program);
	const changes = before.chain(earlier => after.map(later => mergePatch.generate(documentOf(earlier), documentOf(later)) ?? {}));
	print(changes, value => json ? JSON.stringify(value) : yaml.stringify(value).trimEnd());
}

function documentOf(numbered: unknown): unknown {
	return (numbered as {configuration: unknown}).configuration;
}

async function patch(program: Command, file: string, options: {base: number; operator: string; wait: boolean}): Promise<void> {
	let document: unknown;
	try {
		document = yaml.parse(readFileSync(file, 'utf8'));
	} catch (error) {
		process.stderr.write(`${file}: ${error instanceof Error ? error.message : String(error)}\n`);
		process.exitCode = exitCodes.usage;
		return;
	}

	const result = await clientOf(program).post('/configuration/patches', {base: options.base, operator: options.operator, patch: document});
	print(result, value => optionsOf(program).json ? JSON.stringify(value) : `version ${String((value as {version: number}).version)}`);
	if (options.wait && result.isRight()) {
		await followRollout(program);
	}
}

type Status = {
	readonly models: {readonly configured: number; readonly reachable: number; readonly unreachable: readonly string[]};
	readonly requests: {readonly open: number; readonly waiting: number};
};

/** Shows how many models have a resident copy of their configured version, until all have. */
async function followRollout(program: Command): Promise<void> {
	for (;;) {
		const status = await clientOf(program).get('/status');
		const {models} = status.orDefault({models: {configured: 0, reachable: 0, unreachable: []}}) as Status;
		process.stderr.write(`${models.reachable}/${models.configured} models reachable\n`);
		if (status.isLeft() || models.reachable === models.configured) {
			return;
		}

		await delay();
	}
}

async function followDrain(program: Command): Promise<void> {
	for (;;) {
		const status = await clientOf(program).get('/status');
		if (status.isLeft()) {
			process.stderr.write('stopped\n');
			return;
		}

		const {requests} = status.extract() as Status;
		process.stderr.write(`${requests.open} requests open, ${requests.waiting} waiting\n`);
		await delay();
	}
}

async function delay(): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, POLL_MS);
	});
}
