/**
`npm run demo`: runs a short mixed workload against a complete local deployment. The exit
code is 0 only if all checks pass.
*/
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {formatTable} from '../src/cli/table.js';
import {answerWords} from '../test/standins/fake-engine.js';
import {LocalDeployment} from '../test/standins/local-deployment.js';
import {ENGINE_MB, modelName, petrovDeployment} from './petrov.js';

const WORDS_PER_STREAM = 24;
const STREAM_COUNT = 40;
const SIGN_OFF_COUNT = 15;
const MODEL_COUNT = 14;
/** How long one engine is down. A fifth of this time passes before it crashes. */
const OUTAGE_MS = 500;

type Check = {
	readonly check: string;
	readonly seen: string;
	readonly held: boolean;
};

async function post(url: string, body: unknown): Promise<{status: number; text: string}> {
	const answer = await request(url, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify(body),
	});
	return {status: answer.statusCode, text: await answer.body.text()};
}

function streamText(stream: string): string {
	return stream.split('\n\n')
		.filter(event => event.startsWith('data: {'))
		.map(event => (JSON.parse(event.slice('data: '.length)) as {choices: Array<{delta: {content: string}}>}).choices[0]?.delta.content ?? '')
		.join('');
}

async function runStream(deployment: LocalDeployment, index: number): Promise<boolean> {
	const daemon = deployment.daemons[index % deployment.daemons.length];
	const prompt = `trench ${index}`;
	const {status, text} = await post(`${daemon?.addresses.callers}/v1/chat/completions`, {
		model: modelName(index % MODEL_COUNT),
		stream: true,
		messages: [{role: 'user', content: prompt}],
	});
	return status === 200 && text.endsWith('data: [DONE]\n\n') && streamText(text) === answerWords(prompt, WORDS_PER_STREAM).join('');
}

async function postSignOffTwice(deployment: LocalDeployment, index: number): Promise<boolean> {
	const answers = await Promise.all([0, 1].map(async offset => {
		const daemon = deployment.daemons[(index + offset) % deployment.daemons.length];
		return post(`${daemon?.addresses.callers}/services/records-app/signoffs`, {trench: `trench-${index}`});
	}));
	return answers.every(({status}) => status === 200) && answers[0]?.text === answers[1]?.text;
}

async function run(deployment: LocalDeployment): Promise<Check[]> {
	await deployment.waitUntilReachable();
	const streams = Array.from({length: STREAM_COUNT}, async (_, index) => runStream(deployment, index));
	const signOffs = Array.from({length: SIGN_OFF_COUNT}, async (_, index) => postSignOffTwice(deployment, index));
	const unknownModel = await post(`${deployment.callerUrl}/v1/chat/completions`, {model: 'no-such-model', messages: []});
	await sleep(OUTAGE_MS / 5);
	const [crashedEngine] = deployment.engines;
	await crashedEngine?.crash();
	await sleep(OUTAGE_MS);
	await crashedEngine?.open();
	const streamResults = await Promise.all(streams);
	const signOffResults = await Promise.all(signOffs);
	const executionsByKey = new Map<string, number>();
	for (const [key, count] of deployment.services.flatMap(service => [...service.entryCounts])) {
		executionsByKey.set(key, (executionsByKey.get(key) ?? 0) + count);
	}

	const maxExecutions = Math.max(...executionsByKey.values());
	const maxMemoryMb = Math.max(...deployment.engines.map(engine => engine.peakMemoryMb));
	await deployment.waitUntilReachable();
	return [
		{check: 'streams came whole, one engine killed meanwhile', seen: `${streamResults.filter(Boolean).length} of ${STREAM_COUNT}`, held: streamResults.every(Boolean)},
		{check: 'both callers of a sign-off got one answer', seen: `${signOffResults.filter(Boolean).length} of ${SIGN_OFF_COUNT}`, held: signOffResults.every(Boolean)},
		{check: 'each sign-off ran once', seen: `${executionsByKey.size} keys, at most ${maxExecutions} times`, held: executionsByKey.size === SIGN_OFF_COUNT && maxExecutions === 1},
		{check: 'an unknown model is refused', seen: `status ${unknownModel.status}`, held: unknownModel.status === 404 && unknownModel.text.includes('"ran":"no"')},
		{check: 'accelerator memory is kept', seen: `${maxMemoryMb} of ${ENGINE_MB} MB at most`, held: maxMemoryMb <= ENGINE_MB},
		{check: 'every model is reachable at the end', seen: `${MODEL_COUNT} models`, held: true},
	];
}

const deployment = await LocalDeployment.start(petrovDeployment);
try {
	const checks = await run(deployment);
	process.stdout.write(`${formatTable(checks)}\n`);
	process.exitCode = checks.every(({held}) => held) ? 0 : 1;
} finally {
	await deployment.close();
}
