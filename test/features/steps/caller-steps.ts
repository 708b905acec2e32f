/**
Steps of callers.
*/
import assert from 'node:assert/strict';
import {Then, When, type DataTable} from '@cucumber/cucumber';
import OpenAI from 'openai';
import {request} from 'undici';
import {answerWords} from '../../standins/fake-engine.js';
import {WORDS, type Answer, type ScenarioState} from './deployment-steps.js';

const PROMPT = 'compaction at trench 12?';
const KEY = 'trench-12';

type Sent = {
	readonly instance?: number;
	readonly method?: 'GET' | 'POST';
	readonly path?: string;
	readonly headers?: Record<string, string>;
	readonly body?: string;
};

async function send(state: ScenarioState, {instance = 0, method = 'POST', path = '/v1/chat/completions', headers = {}, body = ''}: Sent): Promise<Answer> {
	const daemon = state.running.daemons[instance];
	const answer = await request(`${daemon?.addresses.callers}${path}`, {
		method,
		headers: {'content-type': 'application/json', ...headers},
		body: method === 'GET' ? null : body,
	});
	return {status: answer.statusCode, text: await answer.body.text()};
}

async function signOff(state: ScenarioState, instance: number, headers: Record<string, string> = {}): Promise<Answer> {
	return send(state, {
		instance,
		path: '/services/records/signoffs',
		headers: {'idempotency-key': KEY, ...headers},
		body: JSON.stringify({verdict: 'compacted'}),
	});
}

function openai(state: ScenarioState): OpenAI {
	const baseURL = `${state.running.callerUrl}/v1`;
	// The open caller needs no token; the client insists on sending one.
	return new OpenAI({
		baseURL, apiKey: 'none', maxRetries: 0, defaultHeaders: {authorization: null},
	});
}

const chat = {model: 'verdict', messages: [{role: 'user' as const, content: PROMPT}]};

async function stream(state: ScenarioState): Promise<string> {
	let text = '';
	for await (const chunk of await openai(state).chat.completions.create({...chat, stream: true})) {
		text += chunk.choices[0]?.delta.content ?? '';
	}

	return text;
}

const ownWords = answerWords(PROMPT, WORDS).join('');

When('the OpenAI client asks for a whole answer', async function (this: ScenarioState) {
	const answer = await openai(this).chat.completions.create(chat);
	this.whole = answer.choices[0]?.message.content ?? '';
});

When('the OpenAI client asks for a streamed answer', async function (this: ScenarioState) {
	this.streamed = await stream(this);
});

Then('both answers are the engine\'s own words', function (this: ScenarioState) {
	assert.equal(this.whole, ownWords);
	assert.equal(this.streamed, ownWords);
});

Then('the streamed answer is the engine\'s own words', function (this: ScenarioState) {
	assert.equal(this.streamed, ownWords);
});

When('one sign-off is sent to two instances at the same time', async function (this: ScenarioState) {
	this.answers.push(...await Promise.all([signOff(this, 0), signOff(this, 1)]));
});

When('one sign-off is sent to two instances, one after the other', async function (this: ScenarioState) {
	this.answers.push(await signOff(this, 0));
	await this.running.waitUntil(() => this.running.daemons.every(({state}) => state.requests.settlements.size === 0));
	this.answers.push(await signOff(this, 1));
});

Then('both callers get the same answer', function (this: ScenarioState) {
	assert.equal(this.answers.length, 2);
	assert.equal(this.answers[0]?.status, 200);
	assert.deepEqual(this.answers[0], this.answers[1]);
});

Then('the service has one entry for it', function (this: ScenarioState) {
	assert.equal(entries(this), 1);
});

function entries(state: ScenarioState): number {
	return state.running.services.reduce((sum, service) => sum + (service.entryCounts.get(KEY) ?? 0), 0);
}

When('a sign-off is sent with {int} ms to its deadline', async function (this: ScenarioState, deadlineMs: number) {
	this.answers.push(await signOff(this, 0, {'x-deadline-ms': String(deadlineMs)}));
});

Then('its outcome is unknown to the caller at once', function (this: ScenarioState) {
	const problem = JSON.parse(this.answers[0]?.text ?? '{}') as {code: string; ran: string};
	assert.deepEqual([problem.code, problem.ran], ['PA-1302', 'unknown']);
});

Then('a repeat gets the recorded answer of the one run', async function (this: ScenarioState) {
	const answers = [await signOff(this, 1), await signOff(this, 0)];
	assert.deepEqual(answers.map(({status}) => status), [200, 200]);
	assert.equal(answers[0]?.text, answers[1]?.text);
	assert.equal(entries(this), 1);
});

Then('no instance keeps anything of them', async function (this: ScenarioState) {
	await this.running.waitUntil(() => this.running.daemons.every(({exchanges, state}) => exchanges.size === 0 && state.requests.open.size === 0 && state.requests.settlements.size === 0));
});

Then('both answers have an unknown outcome', function (this: ScenarioState) {
	assert.deepEqual(this.answers.map(({text}) => (JSON.parse(text) as {ran: string}).ran), ['unknown', 'unknown']);
});

When('a model is asked and a sign-off is sent with {int} ms to its deadline', async function (this: ScenarioState, deadlineMs: number) {
	const [asked, signed] = await Promise.all([
		send(this, {body: JSON.stringify(chat)}),
		signOff(this, 0, {'x-deadline-ms': String(deadlineMs)}),
	]);
	this.answers.push(asked, signed);
});

Then('the model answers', function (this: ScenarioState) {
	assert.equal(this.answers[0]?.status, 200);
});

Then('the sign-off is refused with {string} as not run', function (this: ScenarioState, code: string) {
	assertRefused(this.answers[1], code);
	assert.equal(entries(this), 0);
});

When('the platform is back', function (this: ScenarioState) {
	this.running.platform.isDown = false;
});

Then('the same sign-off runs once', async function (this: ScenarioState) {
	const answers = [await signOff(this, 0), await signOff(this, 1)];
	assert.deepEqual(answers.map(({status}) => status), [200, 200]);
	assert.equal(entries(this), 1);
});

When('an instance drains while it streams and signs off', async function (this: ScenarioState) {
	const streaming = stream(this);
	const signing = signOff(this, 0);
	await this.running.waitUntil(() => (this.running.daemons[0]?.state.requests.open.size ?? 0) > 0);
	this.running.daemons[0]?.drain('operator');
	this.streamed = await streaming;
	this.answers.push(await signing);
});

Then('the stream and the sign-off come whole', function (this: ScenarioState) {
	assert.equal(this.streamed, ownWords);
	assert.equal(this.answers[0]?.status, 200);
});

Then('the instance stops', async function (this: ScenarioState) {
	await this.running.daemons[0]?.stopped;
	assert.equal(this.running.daemons[0]?.state.lifecycle, 'stopped');
});

const chatBody = JSON.stringify(chat);

const mistakes: Readonly<Record<string, Sent>> = {
	'bad JSON': {body: '{"model":'},
	'too large a body': {body: JSON.stringify({...chat, filler: 'x'.repeat(200_000)})},
	'an unknown model': {body: JSON.stringify({...chat, model: 'other'})},
	'an unknown service': {path: '/services/other/signoffs'},
	'no key': {path: '/services/records/signoffs', body: '{}'},
	'a reused key': {path: '/services/records/signoffs', headers: {'idempotency-key': 'used'}, body: '{"other":1}'},
	'a bad deadline': {body: chatBody, headers: {'x-deadline-ms': 'soon'}},
	'a bad priority': {body: chatBody, headers: {priority: 'u=9'}},
	'a passed deadline': {body: chatBody, headers: {'x-deadline-ms': '-1'}},
	'an unknown token': {body: chatBody, headers: {authorization: 'Bearer other'}},
	'an unknown path': {path: '/v2/other'},
	'no model': {body: JSON.stringify({messages: []})},
};

When('requests are sent with these mistakes', async function (this: ScenarioState, table: DataTable) {
	for (const [mistake = '', code = ''] of table.raw()) {
		if (mistake === 'a reused key') {
			await send(this, {path: '/services/records/signoffs', headers: {'idempotency-key': 'used'}, body: '{}'});
		}

		const wanted = mistakes[mistake];
		assert.ok(wanted, `no such mistake: ${mistake}`);
		const answer = await send(this, wanted);
		assertRefused(answer, code);
		this.answers.push(answer);
	}
});

Then('each is refused with its code as not run', function (this: ScenarioState) {
	assert.equal(this.answers.length, Object.keys(mistakes).length);
	assert.equal(this.running.engines.reduce((sum, engine) => sum + engine.executedPrompts.length, 0), 0);
	assert.equal(this.running.services.reduce((sum, service) => sum + (service.entryCounts.get('used') ?? 0), 0), 1);
});

function assertRefused(answer: Answer | undefined, code: string): void {
	const problem = JSON.parse(answer?.text ?? '{}') as {code: string; ran: string; status: number};
	assert.equal(problem.code, code);
	assert.equal(problem.ran, 'no');
	assert.equal(problem.status, answer?.status);
}
