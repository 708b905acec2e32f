/**
Step definitions for requests of callers.
*/
import assert from 'node:assert/strict';
import {Then, When, type DataTable} from '@cucumber/cucumber';
import OpenAI from 'openai';
import {request} from 'undici';
import {answerWords} from '../../standins/fake-engine.js';
import {ANSWER_WORDS, type HttpResponse, type ScenarioWorld} from './deployment-steps.js';

const PROMPT = 'compaction at trench 12?';
const IDEMPOTENCY_KEY = 'trench-12';

type RequestOptions = {
	readonly instance?: number;
	readonly method?: 'GET' | 'POST';
	readonly path?: string;
	readonly headers?: Record<string, string>;
	readonly body?: string;
};

async function sendRequest(world: ScenarioWorld, {instance = 0, method = 'POST', path = '/v1/chat/completions', headers = {}, body = ''}: RequestOptions): Promise<HttpResponse> {
	const daemon = world.runningDeployment.daemons[instance];
	const response = await request(`${daemon?.addresses.callers}${path}`, {
		method,
		headers: {'content-type': 'application/json', ...headers},
		body: method === 'GET' ? null : body,
	});
	return {status: response.statusCode, text: await response.body.text()};
}

async function sendSignOff(world: ScenarioWorld, instance: number, headers: Record<string, string> = {}): Promise<HttpResponse> {
	return sendRequest(world, {
		instance,
		path: '/services/records/signoffs',
		headers: {'idempotency-key': IDEMPOTENCY_KEY, ...headers},
		body: JSON.stringify({verdict: 'compacted'}),
	});
}

function createOpenAiClient(world: ScenarioWorld): OpenAI {
	const baseURL = `${world.runningDeployment.callerUrl}/v1`;
	// The configured caller has no token; the client requires an API key and would send it as one.
	return new OpenAI({
		baseURL, apiKey: 'none', maxRetries: 0, defaultHeaders: {authorization: null},
	});
}

const chatRequest = {model: 'verdict', messages: [{role: 'user' as const, content: PROMPT}]};

async function streamChat(world: ScenarioWorld): Promise<string> {
	let streamedText = '';
	for await (const chunk of await createOpenAiClient(world).chat.completions.create({...chatRequest, stream: true})) {
		streamedText += chunk.choices[0]?.delta.content ?? '';
	}

	return streamedText;
}

const expectedText = answerWords(PROMPT, ANSWER_WORDS).join('');

When('the OpenAI client requests a non-streamed response', async function (this: ScenarioWorld) {
	const response = await createOpenAiClient(this).chat.completions.create(chatRequest);
	this.completeText = response.choices[0]?.message.content ?? '';
});

When('the OpenAI client requests a streamed response', async function (this: ScenarioWorld) {
	this.streamedText = await streamChat(this);
});

Then('both responses match the complete output of the engine', function (this: ScenarioWorld) {
	assert.equal(this.completeText, expectedText);
	assert.equal(this.streamedText, expectedText);
});

Then('the streamed response matches the complete output of the engine', function (this: ScenarioWorld) {
	assert.equal(this.streamedText, expectedText);
});

When('the same sign-off is sent to two instances concurrently', async function (this: ScenarioWorld) {
	this.responses.push(...await Promise.all([sendSignOff(this, 0), sendSignOff(this, 1)]));
});

When('the same sign-off is sent to two instances in sequence', async function (this: ScenarioWorld) {
	this.responses.push(await sendSignOff(this, 0));
	await this.runningDeployment.waitUntil(() => this.runningDeployment.daemons.every(({state}) => state.requests.settlements.size === 0));
	this.responses.push(await sendSignOff(this, 1));
});

Then('both callers get the same response', function (this: ScenarioWorld) {
	assert.equal(this.responses.length, 2);
	assert.equal(this.responses[0]?.status, 200);
	assert.deepEqual(this.responses[0], this.responses[1]);
});

Then('the service has exactly one entry for its key', function (this: ScenarioWorld) {
	assert.equal(countEntries(this), 1);
});

function countEntries(world: ScenarioWorld): number {
	return world.runningDeployment.services.reduce((sum, service) => sum + (service.entryCounts.get(IDEMPOTENCY_KEY) ?? 0), 0);
}

When('a sign-off is sent with a deadline of {int} ms', async function (this: ScenarioWorld, deadlineMs: number) {
	this.responses.push(await sendSignOff(this, 0, {'x-deadline-ms': String(deadlineMs)}));
});

Then('the caller is told at the deadline that the outcome is unknown', function (this: ScenarioWorld) {
	const problem = JSON.parse(this.responses[0]?.text ?? '{}') as {code: string; ran: string};
	assert.deepEqual([problem.code, problem.ran], ['PA-1302', 'unknown']);
});

Then('retries get the recorded answer of the single execution', async function (this: ScenarioWorld) {
	const responses = [await sendSignOff(this, 1), await sendSignOff(this, 0)];
	assert.deepEqual(responses.map(({status}) => status), [200, 200]);
	assert.equal(responses[0]?.text, responses[1]?.text);
	assert.equal(countEntries(this), 1);
});

Then('no instance retains state of these requests', async function (this: ScenarioWorld) {
	await this.runningDeployment.waitUntil(() => this.runningDeployment.daemons.every(({exchanges, state}) => exchanges.size === 0
		&& state.requests.open.size === 0
		&& state.requests.settlements.size === 0));
});

Then('both responses report an unknown outcome', function (this: ScenarioWorld) {
	assert.deepEqual(this.responses.map(({text}) => (JSON.parse(text) as {ran: string}).ran), ['unknown', 'unknown']);
});

When('a model request and a sign-off with a deadline of {int} ms are sent', async function (this: ScenarioWorld, deadlineMs: number) {
	const [chatResponse, signOffResponse] = await Promise.all([
		sendRequest(this, {body: JSON.stringify(chatRequest)}),
		sendSignOff(this, 0, {'x-deadline-ms': String(deadlineMs)}),
	]);
	this.responses.push(chatResponse, signOffResponse);
});

Then('the model request succeeds', function (this: ScenarioWorld) {
	assert.equal(this.responses[0]?.status, 200);
});

Then('the sign-off is refused with {string} as not executed', function (this: ScenarioWorld, code: string) {
	assertRefused(this.responses[1], code);
	assert.equal(countEntries(this), 0);
});

When('the platform is available again', function (this: ScenarioWorld) {
	this.runningDeployment.platform.isDown = false;
});

Then('the same sign-off is executed once', async function (this: ScenarioWorld) {
	const responses = [await sendSignOff(this, 0), await sendSignOff(this, 1)];
	assert.deepEqual(responses.map(({status}) => status), [200, 200]);
	assert.equal(countEntries(this), 1);
});

When('an instance is drained while a stream and a sign-off are in flight', async function (this: ScenarioWorld) {
	const pendingStream = streamChat(this);
	const pendingSignOff = sendSignOff(this, 0);
	await this.runningDeployment.waitUntil(() => (this.runningDeployment.daemons[0]?.state.requests.open.size ?? 0) > 0);
	this.runningDeployment.daemons[0]?.drain('operator');
	this.streamedText = await pendingStream;
	this.responses.push(await pendingSignOff);
});

Then('the stream and the sign-off complete', function (this: ScenarioWorld) {
	assert.equal(this.streamedText, expectedText);
	assert.equal(this.responses[0]?.status, 200);
});

Then('the instance stops', async function (this: ScenarioWorld) {
	await this.runningDeployment.daemons[0]?.stopped;
	assert.equal(this.runningDeployment.daemons[0]?.state.lifecycle, 'stopped');
});

const chatRequestBody = JSON.stringify(chatRequest);

const invalidRequests: Readonly<Record<string, RequestOptions>> = {
	'invalid JSON': {body: '{"model":'},
	'body too large': {body: JSON.stringify({...chatRequest, filler: 'x'.repeat(200_000)})},
	'unknown model': {body: JSON.stringify({...chatRequest, model: 'other'})},
	'unknown service': {path: '/services/other/signoffs'},
	'missing idempotency key': {path: '/services/records/signoffs', body: '{}'},
	'reused idempotency key': {path: '/services/records/signoffs', headers: {'idempotency-key': 'used'}, body: '{"other":1}'},
	'invalid deadline': {body: chatRequestBody, headers: {'x-deadline-ms': 'soon'}},
	'invalid priority': {body: chatRequestBody, headers: {priority: 'u=9'}},
	'expired deadline': {body: chatRequestBody, headers: {'x-deadline-ms': '-1'}},
	'unknown token': {body: chatRequestBody, headers: {authorization: 'Bearer other'}},
	'unknown path': {path: '/v2/other'},
	'missing model': {body: JSON.stringify({messages: []})},
};

When('these invalid requests are sent', async function (this: ScenarioWorld, table: DataTable) {
	for (const [label = '', code = ''] of table.raw()) {
		if (label === 'reused idempotency key') {
			await sendRequest(this, {path: '/services/records/signoffs', headers: {'idempotency-key': 'used'}, body: '{}'});
		}

		const invalidRequest = invalidRequests[label];
		assert.ok(invalidRequest, `no such invalid request: ${label}`);
		const response = await sendRequest(this, invalidRequest);
		assertRefused(response, code);
		this.responses.push(response);
	}
});

Then('each is refused with its code as not executed', function (this: ScenarioWorld) {
	assert.equal(this.responses.length, Object.keys(invalidRequests).length);
	assert.equal(this.runningDeployment.engines.reduce((sum, engine) => sum + engine.executedPrompts.length, 0), 0);
	assert.equal(this.runningDeployment.services.reduce((sum, service) => sum + (service.entryCounts.get('used') ?? 0), 0), 1);
});

function assertRefused(response: HttpResponse | undefined, code: string): void {
	const problem = JSON.parse(response?.text ?? '{}') as {code: string; ran: string; status: number};
	assert.equal(problem.code, code);
	assert.equal(problem.ran, 'no');
	assert.equal(problem.status, response?.status);
}
