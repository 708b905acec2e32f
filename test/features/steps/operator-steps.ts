/**
Steps of operators.
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
import {ENGINE_MB, type Answer, type ScenarioState} from './deployment-steps.js';

type Problem = {
	readonly code: string;
	readonly version: number;
	readonly mistakes: ReadonlyArray<{readonly path: string; readonly message: string}>;
};

async function submit(daemon: Daemon | undefined, base: number, patch: Patch): Promise<Answer> {
	const answer = await request(`${daemon?.addresses.operators}/configuration/patches`, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({base, operator: 'test', patch}),
	});
	return {status: answer.statusCode, text: await answer.body.text()};
}

function problemOf({text}: Answer): Problem {
	return JSON.parse(text) as Problem;
}

When('two operators submit different patches against the version in force', async function (this: ScenarioState) {
	const [first, second] = this.running.daemons;
	this.answers.push(...await Promise.all([
		submit(first, 1, {callers: {ana: {priority: 'urgent'}}}),
		submit(second, 1, {callers: {boris: {priority: 'batch'}}}),
	]));
});

Then('exactly one of them is accepted and the other gets the version in force', function (this: ScenarioState) {
	const [accepted, refused] = this.answers.toSorted((a, b) => a.status - b.status) as [Answer, Answer];
	assert.deepEqual([accepted.status, refused.status], [200, 409]);
	assert.equal(problemOf(refused).code, 'PA-2001');
	assert.equal(problemOf(refused).version, 2);
});

Then('the accepted version is in force at every instance', async function (this: ScenarioState) {
	const {daemons} = this.running;
	await this.running.waitUntil(() => daemons.every(({state}) => state.configuration.version === 2));
	const callers = daemons.map(({state}) => Object.keys(state.configuration.configuration.callers));
	assert.deepEqual(callers[0], callers[1]);
	assert.equal(callers[0]?.length, 2);
});

When('a patch adds models beyond the accelerator memory', async function (this: ScenarioState) {
	const models = Object.fromEntries(Array.from({length: 4}, (_, index) => [`big-${index}`, {service: 'llm', memoryMb: ENGINE_MB - 100}]));
	this.answers.push(await submit(this.running.daemons[0], 1, {models}));
});

Then('it is rejected with {string} and the numbers', function (this: ScenarioState, code: string) {
	const problem = problemOf(this.answers[0]!);
	assert.equal(problem.code, code);
	assert.match(problem.mistakes[0]?.message ?? '', /MB of models, 4000 MB of memory/v);
});

Then('the version in force has not changed', function (this: ScenarioState) {
	assert.deepEqual(this.running.daemons.map(({state}) => state.configuration.version), [1, 1]);
});

When('a patch has two mistakes', async function (this: ScenarioState) {
	this.answers.push(await submit(this.running.daemons[0], 1, {
		models: {verdict: {memoryMb: 'much'}},
		targets: {extra: {service: 'llm', zone: 'z', gateway: 'plain'}},
	}));
});

Then('it is rejected with {string} and both paths', function (this: ScenarioState, code: string) {
	const problem = problemOf(this.answers[0]!);
	assert.equal(problem.code, code);
	assert.deepEqual(problem.mistakes.map(mistake => mistake.path).toSorted((a, b) => a.localeCompare(b)), ['models.verdict.memoryMb', 'targets.extra.address']);
});

When('a new instance starts', async function (this: ScenarioState) {
	await this.running.addDaemon('late', 'haskovo');
});

Then('it has the version in force from its peers', async function (this: ScenarioState) {
	const late = this.running.daemons.at(-1);
	await this.running.waitUntil(() => late?.state.configuration.version === 1);
	assert.ok(Object.keys(late?.state.configuration.configuration.models ?? {}).includes('verdict'));
});

type Printed = {
	readonly out: string;
	readonly exit: number;
};

/** Runs the client in this process and returns what it printed. */
async function runClient(state: ScenarioState, args: readonly string[]): Promise<Printed> {
	const written: string[] = [];
	const {write} = process.stdout;
	const {write: writeError} = process.stderr;
	const capture = (chunk: string | Uint8Array) => {
		written.push(String(chunk));
		return true;
	};

	process.stdout.write = capture;
	process.stderr.write = capture;
	try {
		await createProgram().parseAsync(['node', 'pollenarch', '--address', state.running.operatorUrl, ...args]);
	} finally {
		process.stdout.write = write;
		process.stderr.write = writeError;
	}

	const exit = Number(process.exitCode ?? 0);
	process.exitCode = 0;
	return {out: written.join(''), exit};
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

When('the operator runs status, models, targets, instances, moves, history, diff and dump', async function (this: ScenarioState) {
	for (const [args, expected] of commands) {
		const {out, exit} = await runClient(this, args);
		assert.match(out, expected);
		assert.equal(exit, 0, args.join(' '));
		this.answers.push({status: exit, text: out});
	}
});

Then('each prints what it should and exits with 0', function (this: ScenarioState) {
	assert.equal(this.answers.length, commands.length);
	const dump = this.answers.find(({text}) => text.startsWith('{"self":'));
	assert.doesNotThrow(() => JSON.parse(dump?.text ?? '') as unknown);
});

Then('a patch against an old version exits with 3', async function (this: ScenarioState) {
	const folder = mkdtempSync(path.join(tmpdir(), 'pollenarch-'));
	try {
		const file = path.join(folder, 'patch.yaml');
		writeFileSync(file, 'callers:\n  ana: {priority: urgent}\n');
		const {exit} = await runClient(this, ['patch', file, '--base', '0']);
		assert.equal(exit, 3);
	} finally {
		rmSync(folder, {recursive: true});
	}
});
