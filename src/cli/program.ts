/**
Defines the commands of `pollenarch`. Output is text and tables for people by default, and
JSON for scripts with `--json`. Errors go to standard error and set an exit code.
*/
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {Command, CommanderError, Option} from 'commander';
import * as mergePatch from 'json-merge-patch';
import {type Either} from 'purify-ts';
import * as yaml from 'yaml';
import {checkFile, exitCodeOf, formatFinding} from './check.js';
import {completionScript} from './completion.js';
import {OperatorClient, type Failure} from './client.js';
import {type ConfigurationForm} from './configuration-form.js';
import {embeddedForm} from './embedded-form.js';
import {exitCodes} from './exit-codes.js';
import {formatStatus} from './status.js';
import {createStory, type Story} from './story.js';
import {formatTable, type TableRow} from './table.js';

type GlobalOptions = {
	readonly address: string;
	readonly json: boolean;
};

const POLL_INTERVAL_MS = 500;

/** Runs a command line; commander has already printed the help or mistake, and the exit code is set, when it throws. */
export async function runProgram(args: readonly string[], options: ProgramOptions = {}): Promise<void> {
	try {
		await createProgram(options).parseAsync([...args]);
	} catch (error) {
		if (!(error instanceof CommanderError)) {
			throw error;
		}
	}
}

export type ProgramOptions = {
	/** Forms of configurations that `check` knows. */
	readonly forms?: readonly ConfigurationForm[];
};

export function createProgram({forms = [embeddedForm]}: ProgramOptions = {}): Command {
	const program = new Command('pollenarch')
		.description('Command line client for operators of pollenarch')
		.addOption(new Option('--address <url>', 'base URL of a daemon\'s operator listener').env('POLLENARCH_ADDRESS').default('http://127.0.0.1:8090'))
		.option('--json', 'print JSON', false)
		.exitOverride(error => {
			process.exitCode = error.exitCode === 0 ? exitCodes.done : exitCodes.usage;
			throw error;
		});
	addViewCommands(program);
	addConfigurationCommands(program);
	addProcessCommands(program);
	addCheckCommand(program, forms);
	program.command('story <request> [logs...]')
		.description('log records of one request in order of time, from log files or standard input')
		.action((request: string, files: string[]) => {
			const texts = (files.length > 0 ? files : [0]).map(file => readFileSync(file, 'utf8'));
			printStory(createStory(texts.join('\n'), request), request);
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
		process.stderr.write(`no log record of request ${request} found; it may have reached another instance, or its records were dropped (event 209)\n`);
		process.exitCode = exitCodes.unknown;
	}

	if (unreadable > 0) {
		process.stderr.write(`${unreadable} lines could not be parsed\n`);
	}
}

const listCommands = [
	['models', 'models with their resident copies'],
	['targets', 'targets with their load and health'],
	['instances', 'instances of the deployment'],
] as const;

function addViewCommands(program: Command): void {
	program.command('status')
		.description('overview of zones, models, requests, leases and open faults')
		.action(async () => {
			await printView(program, '/status', formatStatus);
		});
	for (const [name, description] of listCommands) {
		program.command(name).description(description).action(async () => {
			await printView(program, `/${name}`, rows => formatTable(rows as TableRow[]));
		});
	}

	program.command('moves')
		.description('models loaded and unloaded by this instance')
		.action(async () => {
			await printView(program, '/moves', rows => formatTable((rows as Array<TableRow & {atMs: number}>).map(({atMs, ...move}) => ({at: new Date(atMs).toISOString(), ...move}))));
		});
	program.command('explain <request>')
		.description('decisions that led to the outcome of a request')
		.action(async (id: string) => {
			await printView(program, `/requests/${encodeURIComponent(id)}`, value => yaml.stringify(value).trimEnd());
		});
}

function addConfigurationCommands(program: Command): void {
	program.command('config')
		.description('the configuration in force')
		.action(async () => {
			await printView(program, '/configuration', value => yaml.stringify(value).trimEnd());
		});
	program.command('history')
		.description('accepted patches')
		.action(async () => {
			await printView(program, '/configuration/history', rows => formatTable((rows as Array<TableRow & {atMs: number; patch: unknown}>).map(({version, operator, atMs, patch}) => ({
				version,
				at: new Date(atMs).toISOString(),
				operator,
				patch: JSON.stringify(patch).slice(0, 80),
			}))));
		});
	program.command('diff <from> <to>')
		.description('changes between two versions as a merge patch')
		.action(async (from: string, to: string) => {
			await printDiff(program, from, to);
		});
	program.command('patch <file>')
		.description('submit a patch (JSON or YAML; an object is a merge patch, an array a JSON patch)')
		.requiredOption('--base <version>', 'version that the patch is based on', Number)
		.option('--operator <name>', 'operator name recorded in the history', process.env.USER ?? 'unknown')
		.option('--wait', 'wait until the version is in force on this instance', false)
		.action(async (file: string, options: {base: number; operator: string; wait: boolean}) => {
			await submitPatch(program, file, options);
		});
}

function addCheckCommand(program: Command, forms: readonly ConfigurationForm[]): void {
	program.command('check <file>')
		.description('check a configuration before it is sent (JSON or YAML; - for standard input)')
		.option('--against <file>', 'the version in force: also print what differs from it')
		.action((file: string, {against}: {against?: string}) => {
			try {
				const result = checkFile({file, against, forms});
				const lines = globalOptions(program).json ? [JSON.stringify(result.findings)] : result.findings.map(finding => formatFinding(finding));
				process.stdout.write(lines.map(line => `${line}\n`).join(''));
				process.exitCode = exitCodeOf(result);
			} catch (error) {
				process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
				process.exitCode = exitCodes.usage;
			}
		});
}

function addProcessCommands(program: Command): void {
	program.command('dump')
		.description('complete state of the process as JSON')
		.action(async () => {
			const result = await createClient(program).get('/dump');
			printResult(result, value => JSON.stringify(value));
		});
	program.command('drain')
		.description('drain the instance and stop it')
		.option('--wait', 'show progress until the instance has stopped', false)
		.action(async ({wait}: {wait: boolean}) => {
			const result = await createClient(program).post('/drain', {});
			printResult(result, () => 'draining');
			if (wait && result.isRight()) {
				await followDrain(program);
			}
		});
}

function globalOptions(program: Command): GlobalOptions {
	return program.opts();
}

function createClient(program: Command): OperatorClient {
	return new OperatorClient(globalOptions(program).address);
}

async function printView(program: Command, path: string, format: (value: unknown) => string): Promise<void> {
	const result = await createClient(program).get(path);
	printResult(result, globalOptions(program).json ? value => JSON.stringify(value) : format);
}

function printResult(result: Either<Failure, unknown>, format: (value: unknown) => string): void {
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

async function printDiff(program: Command, from: string, to: string): Promise<void> {
	const client = createClient(program);
	const before = await client.get(`/configuration/versions/${from}`);
	const after = await client.get(`/configuration/versions/${to}`);
	const {json} = globalOptions(program);
	const changes = before.chain(earlier => after.map(later => mergePatch.generate(configurationOf(earlier), configurationOf(later)) ?? {}));
	printResult(changes, value => json ? JSON.stringify(value) : yaml.stringify(value).trimEnd());
}

function configurationOf(versioned: unknown): unknown {
	return (versioned as {configuration: unknown}).configuration;
}

async function submitPatch(program: Command, file: string, options: {base: number; operator: string; wait: boolean}): Promise<void> {
	let document: unknown;
	try {
		document = yaml.parse(readFileSync(file, 'utf8'));
	} catch (error) {
		process.stderr.write(`${file}: ${error instanceof Error ? error.message : String(error)}\n`);
		process.exitCode = exitCodes.usage;
		return;
	}

	const result = await createClient(program).post('/configuration/patches', {base: options.base, operator: options.operator, patch: document});
	printResult(result, value => globalOptions(program).json ? JSON.stringify(value) : `version ${String((value as {version: number}).version)}`);
	if (options.wait && result.isRight()) {
		await followRollout(program);
	}
}

type StatusView = {
	readonly models: {readonly configured: number; readonly reachable: number; readonly unreachable: readonly string[]};
	readonly requests: {readonly open: number; readonly waiting: number};
};

/** Polls the status until every model has a resident copy of its configured version, and prints the progress. */
async function followRollout(program: Command): Promise<void> {
	for (;;) {
		const status = await createClient(program).get('/status');
		const {models} = status.orDefault({models: {configured: 0, reachable: 0, unreachable: []}}) as StatusView;
		process.stderr.write(`${models.reachable}/${models.configured} models reachable\n`);
		if (status.isLeft() || models.reachable === models.configured) {
			return;
		}

		await delay();
	}
}

/** Polls the status until the operator listener is closed, and prints the number of remaining requests. */
async function followDrain(program: Command): Promise<void> {
	for (;;) {
		const status = await createClient(program).get('/status');
		if (status.isLeft()) {
			process.stderr.write('stopped\n');
			return;
		}

		const {requests} = status.extract() as StatusView;
		process.stderr.write(`${requests.open} requests open, ${requests.waiting} waiting\n`);
		await delay();
	}
}

async function delay(): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, POLL_INTERVAL_MS);
	});
}
