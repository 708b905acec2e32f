/**
`npm run demo`: a short mixed load against a whole deployment. Exits 0 only if
every invariant that it can see held.
*/
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {formatTable} from '../src/cli/table.js';
import {answerWords} from '../test/standins/fake-engine.js';
import {LocalDeployment} from '../test/standins/local-deployment.js';
import {ENGINE_MB, modelName, petrovDeployment} from './petrov.js';

const WORDS = 24;
const STREAMS = 40;
const SIGN_OFFS = 15;
const MODELS = 14;
const SETTLE_MS = 500;

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

function textOf(stream: string): string {
	return stream.split('\n\n')
		.filter(event => event.startsWith('data: {'))
		.map(event => (JSON.parse(event.slice('data: '.length)) as {choices: Array<{delta: {content: string}}>}).choices[0]?.delta.content ?? '')
		.join('');
}

async function runStream(deployment: LocalDeployment, index: number): Promise<boolean> {
	const daemon = deployment.daemons[index % deployment.daemons.length];
	const prompt = `trench ${index}`;
	const {status, text} = await post(`${daemon?.addresses.callers}/v1/chat/completions`, {
		model: modelName(index % MODELS),
		stream: true,
		messages: [{role: 'user', content: prompt}],
	});
	return status === 200 && text.endsWith('data: [DONE]\n\n') && textOf(text) === answerWords(prompt, WORDS).join('');
}

async function signTwice(deployment: LocalDeployment, index: number): Promise<boolean> {
	const answers = await Promise.all([0, 1].map(async offset => {
		const daemon = deployment.daemons[(index + offset) % deployment.daemons.length];
		return post(`${daemon?.addresses.callers}/services/records-app/signoffs`, {trench: `trench-${index}`});
	}));
	return answers.every(({status}) => status === 200) && answers[0]?.text === answers[1]?.text;
}

async function run(deployment: LocalDeployment): Promise<Check[]> {
	await deployment.waitUntilReachable();
	const streams = Array.from({length: STREAMS}, async (_, index) => runStream(deployment, index));
	const signOffs = Array.from({length: SIGN_OFFS}, async (_, index) => signTwice(deployment, index));
	const unknown = await post(`${deployment.callerUrl}/v1/chat/completions`, {model: 'no-such-model', messages: []});
	await sleep(SETTLE_MS / 5);
	const [victim] = deployment.engines;
	await victim?.crash();
	await sleep(SETTLE_MS);
	await victim?.open();
	const streamed = await Promise.all(streams);
	const signed = await Promise.all(signOffs);
	const entries = new Map<string, number>();
	for (const [key, count] of deployment.services.flatMap(service => [...service.entryCounts])) {
		entries.set(key, (entries.get(key) ?? 0) + count);
	}

	const mostEntries = Math.max(...entries.values());
	const memory = Math.max(...deployment.engines.map(engine => engine.peakMemoryMb));
	await deployment.waitUntilReachable();
	return [
		{check: 'streams came whole, one engine killed meanwhile', seen: `${streamed.filter(Boolean).length} of ${STREAMS}`, held: streamed.every(Boolean)},
		{check: 'both callers of a sign-off got one answer', seen: `${signed.filter(Boolean).length} of ${SIGN_OFFS}`, held: signed.every(Boolean)},
		{check: 'each sign-off ran once', seen: `${entries.size} keys, at most ${mostEntries} times`, held: entries.size === SIGN_OFFS && mostEntries === 1},
		{check: 'an unknown model is refused', seen: `status ${unknown.status}`, held: unknown.status === 404 && unknown.text.includes('"ran":"no"')},
		{check: 'accelerator memory is kept', seen: `${memory} of ${ENGINE_MB} MB at most`, held: memory <= ENGINE_MB},
		{check: 'every model is reachable at the end', seen: `${MODELS} models`, held: true},
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
