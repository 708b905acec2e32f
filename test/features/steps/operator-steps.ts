/**
Step definitions for patches and the command-line client.
*/
import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import {request} from 'undici';
import {type Patch} from '../../../src/core/configuration/patch.js';
import {createProgram} from '../../../src/cli/program.js';
import {type Daemon} from '../../../src/daemon/daemon.js';
import {ENGINE_MEMORY_MB, type HttpResponse, type ScenarioWorld} from './deployment-steps.js';

type Problem = {
	readonly code: string;
	readonly version: number;
	readonly mistakes: ReadonlyArray<{readonly path: string; readonly message: string}>;
};

async function submitPatch(daemon: Daemon | undefined, base: number, patch: Patch): Promise<HttpResponse> {
	const response = await request(`${daemon?.addresses.operators}/configuration/patches`, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({base, operator: 'test', patch}),
	});
	return {status: response.statusCode, text: await response.body.text()};
}

function parseProblem({text}: HttpResponse): Problem {
	return JSON.parse(text) as Problem;
}

When('two operators submit different patches against the current version', async function (this: ScenarioWorld) {
	const [first, second] = this.runningDeployment.daemons;
	this.responses.push(...await Promise.all([
		submitPatch(first, 1, {callers: {ana: {priority: 'urgent'}}}),
		submitPatch(second, 1, {callers: {boris: {priority: 'batch'}}}),
	]));
});

Then('exactly one patch is accepted and the other is rejected with the current version', function (this: ScenarioWorld) {
	const [accepted, rejected] = this.responses.toSorted((a, b) => a.status - b.status) as [HttpResponse, HttpResponse];
	assert.deepEqual([accepted.status, rejected.status], [200, 409]);
	assert.equal(parseProblem(rejected).code, 'PA-2001');
	assert.equal(parseProblem(rejected).version, 2);
});

Then('every instance adopts the accepted version', async function (this: ScenarioWorld) {
	const {daemons} = this.runningDeployment;
	await this.runningDeployment.waitUntil(() => daemons.every(({state}) => state.configuration.version === 2));
	const callers = daemons.map(({state}) => Object.keys(state.configuration.configuration.callers));
	assert.deepEqual(callers[0], callers[1]);
	assert.equal(callers[0]?.length, 2);
});

When('a patch adds models that exceed the accelerator memory', async function (this: ScenarioWorld) {
	const models = Object.fromEntries(Array.from({length: 4}, (_, index) => [`big-${index}`, {service: 'llm', memoryMb: ENGINE_MEMORY_MB - 100}]));
	this.responses.push(await submitPatch(this.runningDeployment.daemons[0], 1, {models}));
});

Then('it is rejected with {string} and the sizes', function (this: ScenarioWorld, code: string) {
	const problem = parseProblem(this.responses[0]!);
	assert.equal(problem.code, code);
	assert.match(problem.mistakes[0]?.message ?? '', /MB of models, 4000 MB of memory/v);
});

Then('the current version has not changed', function (this: ScenarioWorld) {
	assert.deepEqual(this.runningDeployment.daemons.map(({state}) => state.configuration.version), [1, 1]);
});

When('a patch with two errors is submitted', async function (this: ScenarioWorld) {
	this.responses.push(await submitPatch(this.runningDeployment.daemons[0], 1, {
		models: {verdict: {memoryMb: 'much'}},
		targets: {extra: {service: 'llm', zone: 'z', gateway: 'plain'}},
	}));
});

Then('it is rejected with {string} and both paths', function (this: ScenarioWorld, code: string) {
	const problem = parseProblem(this.responses[0]!);
	assert.equal(problem.code, code);
	assert.deepEqual(problem.mistakes.map(mistake => mistake.path).toSorted((a, b) => a.localeCompare(b)), ['models.verdict.memoryMb', 'targets.extra.address']);
});

When('a new instance starts', async function (this: ScenarioWorld) {
	await this.runningDeployment.addDaemon('late', 'haskovo');
});

Then('it gets the current version from its peers', async function (this: ScenarioWorld) {
	const newDaemon = this.runningDeployment.daemons.at(-1);
	await this.runningDeployment.waitUntil(() => newDaemon?.state.configuration.version === 1);
	assert.ok(Object.keys(newDaemon?.state.configuration.configuration.models ?? {}).includes('verdict'));
});

type CommandResult = {
	readonly output: string;
	readonly exitCode: number;
};

/** Runs the command-line client in this process and captures its output and exit code. */
async function runClient(world: ScenarioWorld, args: readonly string[]): Promise<CommandResult> {
	const chunks: string[] = [];
	const {write: originalStdoutWrite} = process.stdout;
	const {write: originalStderrWrite} = process.stderr;
	const capture = (chunk: string | Uint8Array) => {
		chunks.push(String(chunk));
		return true;
	};

	process.stdout.write = capture;
	process.stderr.write = capture;
	try {
		await createProgram().parseAsync(['node', 'pollenarch', '--address', world.runningDeployment.operatorUrl, ...args]);
	} finally {
		process.stdout.write = originalStdoutWrite;
		process.stderr.write = originalStderrWrite;
	}

	const exitCode = Number(process.exitCode ?? 0);
	process.exitCode = 0;
	return {output: chunks.join(''), exitCode};
}

const commands: ReadonlyArray<readonly [args: readonly string[], expected: RegExp]> = [
	[['status'], /2 of 2 reachable/v],
	[['models'], /verdict\s+llm\s+1/v],
	[['targets'], /engine-plovdiv-1\s+plovdiv/v],
	[['instances'], /haskovo-1\s+haskovo\s+live/v],
	[['moves'], /load-model|\(none\)/v],
	[['history'], /^1\s+\d{4}-/mv],
	[['diff', '0', '1'], /verdict/v],
	[['dump'], /^\{"self":/v],
	[['--json', 'models'], /^\[\{"model":/v],
	[['completion'], /complete -F/v],
];

When('the operator runs status, models, targets, instances, moves, history, diff and dump', async function (this: ScenarioWorld) {
	for (const [args, expected] of commands) {
		const {output, exitCode} = await runClient(this, args);
		assert.match(output, expected);
		assert.equal(exitCode, 0, args.join(' '));
		this.responses.push({status: exitCode, text: output});
	}
});

Then('each command prints the expected output and exits with code 0', function (this: ScenarioWorld) {
	assert.equal(this.responses.length, commands.length);
	const dump = this.responses.find(({text}) => text.startsWith('{"self":'));
	assert.doesNotThrow(() => JSON.parse(dump?.text ?? '') as unknown);
});

Then('a patch against an outdated version exits with code 3', async function (this: ScenarioWorld) {
	const directory = mkdtempSync(path.join(tmpdir(), 'pollenarch-'));
	try {
		const file = path.join(directory, 'patch.yaml');
		writeFileSync(file, 'callers:\n  ana: {priority: urgent}\n');
		const {exitCode} = await runClient(this, ['patch', file, '--base', '0']);
		assert.equal(exitCode, 3);
	} finally {
		rmSync(directory, {recursive: true});
	}
});
